package journal

import (
	"io/fs"
	"slices"
	"sync"
)

// memoryDir is a folder in memory, which is lost when the process ends.
type memoryDir struct {
	mu    sync.Mutex
	files map[string]*memoryFile
}

type memoryFile struct{ data []byte }

// MemoryFiles returns an empty folder in memory, for a replica that has no disk and
// therefore no vote. The other replicas send it the complete state after each start.
func MemoryFiles() Files {
	m := &memoryDir{files: map[string]*memoryFile{}}

	return Files{
		MakeDir: func(string) error { return nil },
		Lock:    func(string) (func() error, error) { return func() error { return nil }, nil },
		Read:    m.read,
		Create:  m.create,
		Rename:  m.rename,
		SyncDir: func(string) error { return nil },
	}
}

func (m *memoryDir) read(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	f := m.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}

	return slices.Clone(f.data), nil
}

func (m *memoryDir) create(name string) (*File, error) {
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
	noop := func() error { return nil }

	return &File{Write: write, Sync: noop, Close: noop}, nil
}

func (m *memoryDir) rename(from, to string) error {
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
