package role

import (
	"math"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/lockstep"
)

const (
	// minSkewChange is the relative change of the skew from which it is reported anew. It is small
	// compared with what entries keep free of the passes that callers accept.
	minSkewChange = 0.05
	// skewTTL is how long a skew is reported after the last poll that gave it.
	skewTTL = time.Second
)

// mapSkew is the skew of the expert map in use, as the directing agent of a group last found it.
type mapSkew struct {
	mu         sync.Mutex
	group      string
	epoch      uint64
	skew       float64
	validUntil time.Time
	// changed receives a value when the skew has changed by more than minSkewChange.
	changed chan struct{}
}

// newMapSkew returns a mapSkew of which nothing is known.
func newMapSkew() *mapSkew { return &mapSkew{changed: make(chan struct{}, 1)} }

// set records the skew of the group of r. Small changes are dropped, because each one would be
// reported to all entries.
func (m *mapSkew) set(now time.Time, r lockstep.Report, skew float64) {
	m.mu.Lock()
	defer m.mu.Unlock()

	skew = max(1, skew) // It can be less only by a rounding error.
	same := now.Before(m.validUntil) && m.group == r.Group && m.epoch == r.Epoch
	m.group, m.epoch, m.validUntil = r.Group, r.Epoch, now.Add(skewTTL)

	if same && math.Abs(skew/m.skew-1) <= minSkewChange {
		return
	}

	m.skew = skew

	select {
	case m.changed <- struct{}{}:
	default: // The last change has not been reported yet.
	}
}

// at returns the skew of the group of r, or 0 if it is not known.
func (m *mapSkew) at(now time.Time, r lockstep.Report) float64 {
	if m == nil {
		return 0
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	if m.group != r.Group || m.epoch != r.Epoch || !now.Before(m.validUntil) {
		return 0
	}

	return m.skew
}
