package retries

import (
	"math"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/shares"
)

// SharedBudget is one entry's part of a retry budget that all entries hold together: in
// any window, a service gets at most a ratio of its fresh requests and a slack of
// sends beyond the first of each request. Entries do not count together. What an entry's
// own requests paid for needs no dividing: it is used soon, or lost. The slack is divided,
// and each unit that was used comes back after a window.
type SharedBudget struct {
	// Ratio is how many sends a fresh request pays for, Slack how many are free in
	// Window, for all entries together. They are set before the first call.
	Ratio  float64
	Slack  float64
	Window time.Duration

	mu       sync.Mutex
	services map[string]*account
}

const (
	// margin is the part of the budget that entries use. The rest is kept free for entries
	// that have joined and are not counted yet, and for what was paid for before a window
	// and is used in it.
	margin = 0.85
	// paidLife is how long a send that was paid for may be used. It covers the time until
	// a request that paid for it fails at a target.
	paidLife = 1500 * time.Millisecond
	// firstPart is the part of the slack that an entry has by the end of its first window.
	firstPart = 0.3
)

// account is what an entry may send again to one service.
type account struct {
	// openedAt is when it was opened: before a restart this entry may just have used all of
	// its slack.
	openedAt time.Time
	// saved is the part of a next send that fresh requests have paid for, paid when each
	// whole one was.
	saved float64
	paid  []time.Time
	// used is when units of the slack were used within the last window.
	used []time.Time
}

// RecordRequest records a new request of a caller for a service. Of is this entry's share of what
// all entries together may send again.
func (s *SharedBudget) RecordRequest(now time.Time, service string, of shares.Share) {
	s.mu.Lock()
	defer s.mu.Unlock()

	a := s.account(now, service, of)

	if a.saved += s.Ratio * margin; a.saved >= 1 {
		a.saved--
		a.paid = append(a.paid, now)
	}
}

// Allow reports whether a request may be sent once more, and counts it if so.
func (s *SharedBudget) Allow(now time.Time, service string, of shares.Share) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	a := s.account(now, service, of)

	if len(a.paid) > 0 {
		a.paid = a.paid[1:]

		return true
	}

	if len(a.used) >= of.Units(now, s.slack(now.Sub(a.openedAt))) {
		return false
	}

	a.used = append(a.used, now)

	return true
}

// slack is what all entries together may use of the slack within a window, where this one's
// account is so old.
func (s *SharedBudget) slack(age time.Duration) float64 {
	whole := s.Slack * margin
	if age >= s.Window {
		return whole
	}

	return whole * firstPart * age.Seconds() / s.Window.Seconds()
}

// account returns a service's account as of now.
func (s *SharedBudget) account(now time.Time, service string, of shares.Share) *account {
	if s.services == nil {
		s.services = make(map[string]*account)
	}

	a := s.services[service]
	if a == nil {
		a = &account{openedAt: now, saved: start(of)}
		s.services[service] = a
	}

	a.paid = since(a.paid, now.Add(-paidLife))
	a.used = since(a.used, now.Add(-s.Window))

	return a
}

// start returns which part of a send counts as paid for at first: another one at each
// entry, evenly spread. Entries with few requests each would else all pay for a whole one
// at the same time, or none for long.
func start(of shares.Share) float64 {
	_, part := math.Modf(float64(of.Index) * (math.Phi - 1))

	return part
}

// since returns those of some times, in order, that come after from.
func since(times []time.Time, from time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(from) {
		times = times[1:]
	}

	return times
}
