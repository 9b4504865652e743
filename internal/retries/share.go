package retries

import (
	"sync"
	"time"
)

// Share is one entry's part of a retry budget that all entries hold together: in
// any window, a service gets at most a ratio of its fresh requests and a slack of
// sends beyond the first of each request. Entries do not count together, so each
// keeps to a part of the slack that stays safe while others are unknown or have
// just restarted.
type Share struct {
	// Ratio is how many sends a fresh request pays for, Slack how many are free in
	// Window, for all entries together. They are set before the first call.
	Ratio  float64
	Slack  float64
	Window time.Duration

	mu       sync.Mutex
	services map[string]*bucket
}

// saved is the part of an entry's share of the slack that it may save up. The rest
// flows in over the window: saved and flowing together never exceed the share.
const saved = 0.7

// margin is kept free for entries that have joined and are not counted yet.
const margin = 0.85

type bucket struct {
	tokens float64
	at     time.Time
}

// Fresh records a new request of a caller for a service.
func (s *Share) Fresh(now time.Time, service string, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	b := s.filled(now, service, entries)
	b.tokens = min(b.tokens+s.Ratio*margin, s.most(entries))
}

// Take reports whether a request may be sent once more, and counts it if so.
func (s *Share) Take(now time.Time, service string, entries int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	b := s.filled(now, service, entries)
	if b.tokens < 1 {
		return false
	}

	b.tokens--

	return true
}

func (s *Share) most(entries int) float64 { return s.part(entries) * saved }

func (s *Share) part(entries int) float64 { return s.Slack * margin / float64(max(1, entries)) }

// filled returns the service's bucket as of now. A new one is empty: before a
// restart this entry may just have spent all.
func (s *Share) filled(now time.Time, service string, entries int) *bucket {
	if s.services == nil {
		s.services = make(map[string]*bucket)
	}

	b := s.services[service]
	if b == nil {
		b = &bucket{at: now}
		s.services[service] = b
	}

	if passed := now.Sub(b.at); passed > 0 {
		flow := s.part(entries) * (1 - saved) / s.Window.Seconds()
		b.tokens = min(b.tokens+flow*passed.Seconds(), s.most(entries))
		b.at = now
	}

	return b
}
