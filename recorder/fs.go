package recorder

import (
	"io"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
)

// FS is the file system that a Recorder uses. Tests replace it with one that
// crashes, tears writes and fails syncs.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names of the files in a folder, in any order.
	List(dir string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create creates a file, or truncates it if it exists.
	Create(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the creation, renaming and removal of files in a folder
	// durable.
	SyncDir(dir string) error
	// Lock acquires an exclusive lock on a file. It returns an error if another
	// process holds the lock. The lock is released when the Closer is closed or
	// the process ends.
	Lock(path string) (io.Closer, error)
}

// File is a file that is open for writing.
type File interface {
	io.Writer
	// Sync returns once all written data is durable.
	Sync() error
	Close() error
}

// OSFS is the FS of the operating system.
type OSFS struct{}

var _ FS = OSFS{}

// Permissions of new folders and files: only the owner can read them.
const (
	dirMode  = 0o700
	fileMode = 0o600
)

// MkdirAll implements FS.
func (OSFS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// List implements FS.
func (OSFS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, nil
}

// ReadFile implements FS.
func (OSFS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FS.
func (OSFS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Rename implements FS.
func (OSFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OSFS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OSFS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.CombineErrors(d.Sync(), d.Close())
}

// Lock implements FS.
func (OSFS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "another process uses it"), f.Close())
	}
	return f, nil
}
