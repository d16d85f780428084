// Package durablefile replaces small files atomically: a crash at any moment leaves either the old or
// the new content, never a mixture.
package durablefile

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

const (
	folderMode      = 0o755
	temporarySuffix = ".tmp"
)

// Replace writes the data to a temporary file in the same folder, syncs it, renames it to path and
// syncs the folder. It creates the folder if it is missing. It returns nil only once the new content
// is durable. Only one process may replace a file at a time.
func Replace(path string, data []byte) error {
	folder := filepath.Dir(path)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "create the folder; check the data folder's permissions")
	}
	temporary := path + temporarySuffix
	if err := writeSynced(temporary, data); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return errors.Wrap(err, "rename the new file; check the data folder's permissions")
	}
	return syncFolder(folder)
}

func writeSynced(path string, data []byte) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the file; check the data folder's permissions and free space")
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "write and sync the file; check the disk and its free space")
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open the folder; check the data folder's permissions")
	}
	err = folder.Sync()
	if closeErr := folder.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "sync the folder; check the disk")
}
