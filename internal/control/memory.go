package control

import (
	"context"
	"sync"
	"time"
)

// MemoryLog is a log of one VM without a disk, for tests and the local role. It
// loses everything when the process ends.
type MemoryLog struct {
	// Apply carries out a command; set it before the first Propose.
	Apply func(index uint64, command []byte) []byte

	mu    sync.Mutex
	index uint64
}

// Propose applies the command at once.
func (l *MemoryLog) Propose(_ context.Context, command []byte) (index uint64, result []byte, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.index++

	return l.index, l.Apply(l.index, command), nil
}

// ReadIndex returns the present instant and the last index.
func (l *MemoryLog) ReadIndex(context.Context) (asOf time.Time, index uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return time.Now(), l.index, nil
}
