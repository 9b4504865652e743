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
	accounts map[string]*account
}

const (
	// usableFraction is the part of the budget that entries use. The rest is kept free for entries
	// that have joined and are not counted yet, and for what was paid for before a window
	// and is used in it.
	usableFraction = 0.85
	// earnedTTL is how long a send that was paid for may be used. It covers the time until
	// a request that paid for it fails at a target.
	earnedTTL = 1500 * time.Millisecond
	// initialSlackFraction is the part of the slack that an entry has by the end of its first window.
	initialSlackFraction = 0.3
)

// account is what an entry may send again to one service.
type account struct {
	// createdAt is when it was opened: before a restart this entry may just have used all of
	// its slack.
	createdAt time.Time
	// earnedFraction is the part of a next send that fresh requests have paid for, paid when each
	// whole one was.
	earnedFraction float64
	earned         []time.Time
	// usedSlack is when units of the slack were used within the last window.
	usedSlack []time.Time
}

// RecordRequest records a new request of a caller for a service. Of is this entry's share of what
// all entries together may send again.
func (s *SharedBudget) RecordRequest(now time.Time, service string, share shares.Share) {
	s.mu.Lock()
	defer s.mu.Unlock()

	a := s.account(now, service, share)

	if a.earnedFraction += s.Ratio * usableFraction; a.earnedFraction >= 1 {
		a.earnedFraction--
		a.earned = append(a.earned, now)
	}
}

// Allow reports whether a request may be sent once more, and counts it if so.
func (s *SharedBudget) Allow(now time.Time, service string, share shares.Share) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	a := s.account(now, service, share)

	if len(a.earned) > 0 {
		a.earned = a.earned[1:]

		return true
	}

	if len(a.usedSlack) >= share.Units(now, s.availableSlack(now.Sub(a.createdAt))) {
		return false
	}

	a.usedSlack = append(a.usedSlack, now)

	return true
}

// availableSlack is what all entries together may use of the slack within a window, where this one's
// account is so old.
func (s *SharedBudget) availableSlack(age time.Duration) float64 {
	usable := s.Slack * usableFraction
	if age >= s.Window {
		return usable
	}

	return usable * initialSlackFraction * age.Seconds() / s.Window.Seconds()
}

// account returns a service's account as of now.
func (s *SharedBudget) account(now time.Time, service string, share shares.Share) *account {
	if s.accounts == nil {
		s.accounts = make(map[string]*account)
	}

	a := s.accounts[service]
	if a == nil {
		a = &account{createdAt: now, earnedFraction: initialFraction(share)}
		s.accounts[service] = a
	}

	a.earned = after(a.earned, now.Add(-earnedTTL))
	a.usedSlack = after(a.usedSlack, now.Add(-s.Window))

	return a
}

// initialFraction returns which part of a send counts as paid for at first: another one at each
// entry, evenly spread. Entries with few requests each would else all pay for a whole one
// at the same time, or none for long.
func initialFraction(share shares.Share) float64 {
	_, fraction := math.Modf(float64(share.Index) * (math.Phi - 1))

	return fraction
}

// after returns those of some times, in order, that come after from.
func after(times []time.Time, from time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(from) {
		times = times[1:]
	}

	return times
}
