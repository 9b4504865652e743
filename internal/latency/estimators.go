package latency

import (
	"sync"
	"time"
)

// Estimators holds an Estimator for each key. The zero value is ready to use, and its
// methods are safe for concurrent use.
type Estimators[K comparable] struct {
	mu         sync.Mutex
	estimators map[K]*Estimator
}

// Observe adds a duration for key k.
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

// UpperBound returns the bound of Estimator.UpperBound for key k.
func (t *Estimators[K]) UpperBound(k K, deviations int) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	s := t.estimators[k]
	if s == nil {
		return 0, false
	}

	return s.UpperBound(deviations)
}
