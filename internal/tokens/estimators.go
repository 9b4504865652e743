package tokens

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// MaxRoutes is the number of routes that Estimators remembers.
const MaxRoutes = 4096

// Estimators holds an Estimator for each of the MaxRoutes routes that were used last. The zero value
// is ready to use, and its methods are safe for concurrent use.
type Estimators[K comparable] struct {
	mu     sync.Mutex
	routes *simplelru.LRU[K, *Estimator]
}

// Estimate returns the estimate of Estimator.Estimate for a route.
func (t *Estimators[K]) Estimate(route K, r Request) (tokens float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.estimator(route).Estimate(r)
}

// Observe records an answer of a route.
func (t *Estimators[K]) Observe(route K, r Request, tokens float64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.estimator(route).Observe(r, tokens)
}

// Len returns the number of routes that are remembered.
func (t *Estimators[K]) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.routes == nil {
		return 0
	}

	return t.routes.Len()
}

// estimator returns the estimator of a route. The caller holds mu.
func (t *Estimators[K]) estimator(route K) *Estimator {
	if t.routes == nil {
		t.routes, _ = simplelru.NewLRU[K, *Estimator](MaxRoutes, nil) // The only error is a size below 1.
	}

	e, ok := t.routes.Get(route)
	if !ok {
		e = &Estimator{}
		t.routes.Add(route, e)
	}

	return e
}
