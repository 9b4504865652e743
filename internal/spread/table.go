package spread

import (
	"sync"
	"time"
)

// Table keeps a Spread for each of a few keys. Its zero value is ready, and its methods
// may be called concurrently.
type Table[K comparable] struct {
	mu   sync.Mutex
	rows map[K]*Spread
}

// Learn takes in a duration of key k.
func (t *Table[K]) Learn(k K, d time.Duration, memory int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.rows == nil {
		t.rows = make(map[K]*Spread)
	}

	s := t.rows[k]
	if s == nil {
		s = &Spread{}
		t.rows[k] = s
	}

	s.Learn(d, memory)
}

// Within is Spread.Within of key k.
func (t *Table[K]) Within(k K, margin int) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	s := t.rows[k]
	if s == nil {
		return 0, false
	}

	return s.Within(margin)
}
