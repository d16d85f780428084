package storage

import (
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/pkg/errors"
)

// Permissions of folders and files: only the process's own user has access.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// FS is the part of a file system that storage needs. The content of a file is durable only once the
// file has been synced, and its name only once its folder has been synced.
type FS interface {
	// MkdirAll creates a folder and its parents.
	MkdirAll(folder string) error
	// Create creates a file and opens it for writing; it truncates an existing one.
	Create(path string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(path string) (File, error)
	// ReadFile returns the whole content. The error is fs.ErrNotExist for a missing file.
	ReadFile(path string) ([]byte, error)
	// List returns the sorted names in a folder. A missing folder has no names.
	List(folder string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// Truncate shortens a file to the size in bytes and syncs it.
	Truncate(path string, size int64) error
	// SyncFolder makes the names in a folder durable.
	SyncFolder(folder string) error
}

// File is a file open for writing.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// osFS is the file system of the operating system.
type osFS struct{}

// NewFS returns the file system of the operating system.
func NewFS() FS {
	return osFS{}
}

func (osFS) MkdirAll(folder string) error {
	return errors.WithStack(os.MkdirAll(folder, folderMode))
}

func (osFS) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	return f, errors.WithStack(err)
}

func (osFS) Append(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
	return f, errors.WithStack(err)
}

func (osFS) ReadFile(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	return content, errors.WithStack(err)
}

func (osFS) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	sort.Strings(names)
	return names, nil
}

func (osFS) Rename(from, to string) error {
	return errors.WithStack(os.Rename(from, to))
}

func (osFS) Remove(path string) error {
	return errors.WithStack(os.Remove(path))
}

func (osFS) Truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := f.Truncate(size); err != nil {
		_ = f.Close()
		return errors.WithStack(err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return errors.WithStack(err)
	}
	return errors.WithStack(f.Close())
}

func (osFS) SyncFolder(folder string) error {
	f, err := os.Open(filepath.Clean(folder))
	if err != nil {
		return errors.WithStack(err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return errors.WithStack(err)
	}
	return errors.WithStack(f.Close())
}
