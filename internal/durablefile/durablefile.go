// Package durablefile replaces small files so that a crash at any moment leaves the
// old or the new content, and never a mixture.
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

// Replace writes the file beside its place, syncs it, renames it and syncs the folder, which it
// creates if it is missing. It returns nil only once all of it is durable. One process may replace
// a file at a time.
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
