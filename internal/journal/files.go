package journal

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// File is an open file. Tests replace its fields to inject faults.
type File struct {
	Write func(p []byte) (int, error)
	Sync  func() error
	Close func() error
}

// Files are the file operations that a Journal uses, by path. Tests replace them to inject
// failed syncs, short writes and crashes.
type Files struct {
	MakeDir func(dir string) error
	// Lock locks the folder against other processes until release is called.
	Lock func(name string) (release func() error, err error)
	// Read returns the content of a file, or an error that matches fs.ErrNotExist.
	Read func(name string) ([]byte, error)
	// Create creates an empty file for writing and replaces any existing file.
	Create  func(name string) (*File, error)
	Rename  func(from, to string) error
	SyncDir func(dir string) error
}

// OSFiles returns the file operations of the operating system.
func OSFiles() Files {
	return Files{
		MakeDir: func(dir string) error { return eris.Wrap(os.MkdirAll(dir, dirMode), "create data folder") },
		Lock:    lock,
		Read: func(name string) ([]byte, error) {
			return os.ReadFile(filepath.Clean(name)) //nolint:wrapcheck // callers look for fs.ErrNotExist
		},
		Create:  create,
		Rename:  func(from, to string) error { return eris.Wrap(os.Rename(from, to), "rename") },
		SyncDir: syncDir,
	}
}

const (
	dirMode  fs.FileMode = 0o750
	fileMode fs.FileMode = 0o600
)

func create(name string) (*File, error) {
	f, err := os.OpenFile(filepath.Clean(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, eris.Wrap(err, "create")
	}

	return &File{Write: f.Write, Sync: f.Sync, Close: f.Close}, nil
}

func syncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return eris.Wrap(err, "open data folder")
	}

	return eris.Wrap(errors.Join(d.Sync(), d.Close()), "sync data folder")
}

// lock takes an advisory lock. The operating system releases it at the latest when the
// process ends.
func lock(name string) (func() error, error) {
	f, err := os.OpenFile(filepath.Clean(name), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, eris.Wrap(err, "open lock file")
	}

	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(eris.Wrap(err, "data folder is in use"), f.Close())
	}

	return f.Close, nil
}
