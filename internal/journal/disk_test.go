package journal_test

import (
	"errors"
	"io/fs"
	"maps"
	"path/filepath"

	"github.com/parsleygate/parsleygate/internal/journal"
)

var errCrash = errors.New("crash")

// tail says what is left of unsynced bytes after a power cut.
type tail int

const (
	tailGone  tail = iota // nothing
	tailHalf              // the first half
	tailZeros             // the length, but not the bytes
	tailWhole             // all
)

// inode is one file's content.
type inode struct {
	bytes  []byte
	synced int
}

// disk is a data folder that survives power cuts as far as it was synced.
type disk struct {
	files   map[string]*inode
	durable map[string]*inode // as of the last sync of the folder
	ops     int               // so far
	crashAt int               // 0: never
	tail    tail
	// keepNames says whether unsynced renames survive.
	keepNames bool
	failSync  bool
	shortBy   int
}

func newDisk() *disk {
	return &disk{files: map[string]*inode{}, durable: map[string]*inode{}}
}

// crashes counts one operation and reports whether the power is gone.
func (d *disk) crashes() bool {
	d.ops++

	return d.crashAt > 0 && d.ops >= d.crashAt
}

// restart is what a power cut leaves.
func (d *disk) restart() {
	if !d.keepNames {
		d.files = maps.Clone(d.durable)
	}

	for _, f := range d.files {
		n := len(f.bytes) - f.synced
		switch d.tail {
		case tailGone:
			f.bytes = f.bytes[:f.synced]
		case tailHalf:
			f.bytes = f.bytes[:f.synced+n/2]
		case tailZeros:
			clear(f.bytes[f.synced:])
		case tailWhole:
		}

		f.synced = len(f.bytes)
	}

	d.durable = maps.Clone(d.files)
	d.crashAt = 0
	d.failSync = false
	d.shortBy = 0
}

func (d *disk) operations() journal.Files {
	return journal.Files{
		MakeDir: func(string) error { return nil },
		Lock:    func(string) (func() error, error) { return func() error { return nil }, nil },
		Read: func(name string) ([]byte, error) {
			f := d.files[filepath.Base(name)]
			if f == nil {
				return nil, fs.ErrNotExist
			}

			return append([]byte(nil), f.bytes...), nil
		},
		Create: func(name string) (*journal.File, error) {
			if d.crashes() {
				return nil, errCrash
			}

			f := &inode{}
			d.files[filepath.Base(name)] = f

			return d.open(f), nil
		},
		Rename: func(from, to string) error {
			dead := d.crashAt > 0 && d.ops >= d.crashAt
			if d.crashes(); !dead {
				d.files[filepath.Base(to)] = d.files[filepath.Base(from)]
				delete(d.files, filepath.Base(from))
			}

			return d.dead()
		},
		SyncDir: func(string) error {
			if d.crashes() {
				return errCrash
			}

			d.durable = maps.Clone(d.files)

			return nil
		},
	}
}

// dead returns errCrash once the power is gone.
func (d *disk) dead() error {
	if d.crashAt > 0 && d.ops >= d.crashAt {
		return errCrash
	}

	return nil
}

func (d *disk) open(f *inode) *journal.File {
	return &journal.File{
		Write: func(p []byte) (int, error) {
			dead := d.dead() != nil
			d.crashes()

			if dead {
				return 0, errCrash
			}

			p = p[:len(p)-min(d.shortBy, len(p))]
			f.bytes = append(f.bytes, p...)

			return len(p), d.dead()
		},
		Sync: func() error {
			if d.crashes() {
				return errCrash
			}

			if d.failSync {
				return errors.New("input/output error")
			}

			f.synced = len(f.bytes)

			return nil
		},
		Close: func() error { return nil },
	}
}
