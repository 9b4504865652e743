package control

import (
	"context"
	"sync"
	"time"
)

// MemoryLog is an in-memory log of a single VM, for tests and the local role. Its content
// is lost when the process ends.
type MemoryLog struct {
	// Apply executes a command. It must be set before the first Propose.
	Apply func(index uint64, command []byte) []byte

	mu    sync.Mutex
	index uint64
}

// Propose applies the command before it returns.
func (l *MemoryLog) Propose(_ context.Context, command []byte) (index uint64, result []byte, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.index++

	return l.index, l.Apply(l.index, command), nil
}

// ReadIndex returns the current time and the last index.
func (l *MemoryLog) ReadIndex(context.Context) (asOf time.Time, index uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return time.Now(), l.index, nil
}
