package latency

import (
	"sync"
	"time"
)

// Estimators keeps a Spread for each of a few keys. Its zero value is ready, and its methods
// may be called concurrently.
type Estimators[K comparable] struct {
	mu         sync.Mutex
	estimators map[K]*Estimator
}

// Observe takes in a duration of key k.
func (t *Estimators[K]) Observe(k K, d time.Duration, window int) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.estimators == nil {
		t.estimators = make(map[K]*Estimator)
	}

	s := t.estimators[k]
	if s == nil {
		s = &Estimator{}
		t.estimators[k] = s
	}

	s.Observe(d, window)
}

// UpperBound is Spread.Within of key k.
func (t *Estimators[K]) UpperBound(k K, deviations int) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	s := t.estimators[k]
	if s == nil {
		return 0, false
	}

	return s.UpperBound(deviations)
}
