package latency

import (
	"sync"
	"time"
)

// Estimators keeps a Spread for each of a few keys. Its zero value is ready, and its methods
// may be called concurrently.
type Estimators[K comparable] struct {
	mu   sync.Mutex
	rows map[K]*Estimator
}

// Observe takes in a duration of key k.
func (t *Estimators[K]) Observe(k K, d time.Duration, memory int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.rows == nil {
		t.rows = make(map[K]*Estimator)
	}

	s := t.rows[k]
	if s == nil {
		s = &Estimator{}
		t.rows[k] = s
	}

	s.Observe(d, memory)
}

// UpperBound is Spread.Within of key k.
func (t *Estimators[K]) UpperBound(k K, margin int) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	s := t.rows[k]
	if s == nil {
		return 0, false
	}

	return s.UpperBound(margin)
}
