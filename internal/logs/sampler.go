package logs

import (
	"sync"
	"time"
)

// Sampler limits how many lines of one kind are logged per second, so that routine lines
// don't displace those that explain a failure. Set its fields before use.
type Sampler struct {
	PerSecond int

	mu         sync.Mutex
	second     time.Time
	written    int
	suppressed int64
}

// Allow reports whether a line may be logged at time now.
func (s *Sampler) Allow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if now.Sub(s.second) >= time.Second {
		s.second = now
		s.written = 0
	}

	if s.written >= s.PerSecond {
		s.suppressed++

		return false
	}

	s.written++

	return true
}

// Suppressed returns how many lines were left out so far.
func (s *Sampler) Suppressed() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.suppressed
}
