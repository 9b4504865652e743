package journal

import (
	"io/fs"
	"slices"
	"sync"
)

// memory is a folder that is gone with its process.
type memory struct {
	mu    sync.Mutex
	files map[string]*memoryFile
}

type memoryFile struct{ data []byte }

// MemoryFiles returns an empty folder in memory, for a replica that has no disk and
// therefore no vote: it is filled anew by the others at each start.
func MemoryFiles() Files {
	m := &memory{files: map[string]*memoryFile{}}

	return Files{
		MakeDir: func(string) error { return nil },
		Lock:    func(string) (func() error, error) { return func() error { return nil }, nil },
		Read:    m.read,
		Create:  m.create,
		Rename:  m.rename,
		SyncDir: func(string) error { return nil },
	}
}

func (m *memory) read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	f := m.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}

	return slices.Clone(f.data), nil
}

func (m *memory) create(name string) (*File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	f := &memoryFile{}
	m.files[name] = f

	write := func(p []byte) (int, error) {
		m.mu.Lock()
		defer m.mu.Unlock()

		f.data = append(f.data, p...)

		return len(p), nil
	}
	nothing := func() error { return nil }

	return &File{Write: write, Sync: nothing, Close: nothing}, nil
}

func (m *memory) rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()

	f := m.files[from]
	if f == nil {
		return fs.ErrNotExist
	}

	delete(m.files, from)
	m.files[to] = f

	return nil
}
