package journal_test

import (
	"errors"
	"io/fs"
	"maps"
	"path/filepath"

	"github.com/parsleygate/parsleygate/internal/journal"
)

var errCrash = errors.New("crash")

// unsyncedTail determines what remains of unsynced bytes after a power cut.
type unsyncedTail int

const (
	tailLost  unsyncedTail = iota // nothing remains
	tailHalf                      // the first half remains
	tailZeros                     // the length remains, the bytes read as zero
	tailKept                      // all bytes remain
)

// inode is the content of one file.
type inode struct {
	data   []byte
	synced int
}

// disk simulates a data folder in which only synced state is sure to survive a power cut.
type disk struct {
	files     map[string]*inode
	durable   map[string]*inode // as of the last sync of the folder
	opCount   int               // operations so far
	crashAtOp int               // number of the operation at which the power fails, 0 for never
	tail      unsyncedTail
	// keepRenames determines whether unsynced renames survive.
	keepRenames  bool
	failSync     bool
	shortWriteBy int
}

func newDisk() *disk {
	return &disk{files: map[string]*inode{}, durable: map[string]*inode{}}
}

// countOp counts one operation and reports whether the power has failed.
func (d *disk) countOp() bool {
	d.opCount++

	return d.crashAtOp > 0 && d.opCount >= d.crashAtOp
}

// powerCycle replaces the content by what remains after a power cut.
func (d *disk) powerCycle() {
	if !d.keepRenames {
		d.files = maps.Clone(d.durable)
	}

	for _, f := range d.files {
		n := len(f.data) - f.synced
		switch d.tail {
		case tailLost:
			f.data = f.data[:f.synced]
		case tailHalf:
			f.data = f.data[:f.synced+n/2]
		case tailZeros:
			clear(f.data[f.synced:])
		case tailKept:
		}

		f.synced = len(f.data)
	}

	d.durable = maps.Clone(d.files)
	d.crashAtOp = 0
	d.failSync = false
	d.shortWriteBy = 0
}

func (d *disk) fileOps() journal.Files {
	return journal.Files{
		MakeDir: func(string) error { return nil },
		Lock:    func(string) (func() error, error) { return func() error { return nil }, nil },
		Read: func(name string) ([]byte, error) {
			f := d.files[filepath.Base(name)]
			if f == nil {
				return nil, fs.ErrNotExist
			}

			return append([]byte(nil), f.data...), nil
		},
		Create: func(name string) (*journal.File, error) {
			if d.countOp() {
				return nil, errCrash
			}

			f := &inode{}
			d.files[filepath.Base(name)] = f

			return d.open(f), nil
		},
		Rename: func(from, to string) error {
			crashed := d.crashAtOp > 0 && d.opCount >= d.crashAtOp
			if d.countOp(); !crashed {
				d.files[filepath.Base(to)] = d.files[filepath.Base(from)]
				delete(d.files, filepath.Base(from))
			}

			return d.crashError()
		},
		SyncDir: func(string) error {
			if d.countOp() {
				return errCrash
			}

			d.durable = maps.Clone(d.files)

			return nil
		},
	}
}

// crashError returns errCrash once the power has failed.
func (d *disk) crashError() error {
	if d.crashAtOp > 0 && d.opCount >= d.crashAtOp {
		return errCrash
	}

	return nil
}

func (d *disk) open(f *inode) *journal.File {
	return &journal.File{
		Write: func(p []byte) (int, error) {
			crashed := d.crashError() != nil
			d.countOp()

			if crashed {
				return 0, errCrash
			}

			p = p[:len(p)-min(d.shortWriteBy, len(p))]
			f.data = append(f.data, p...)

			return len(p), d.crashError()
		},
		Sync: func() error {
			if d.countOp() {
				return errCrash
			}

			if d.failSync {
				return errors.New("input/output error")
			}

			f.synced = len(f.data)

			return nil
		},
		Close: func() error { return nil },
	}
}
