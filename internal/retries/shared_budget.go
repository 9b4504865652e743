package retries

import (
	"math"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/shares"
)

// SharedBudget is one entry's part of a retry budget shared by all entries. In any window,
// the retries of a service are limited to a fraction of its requests plus a fixed slack.
// Entries do not synchronize their counts. Retries earned by an entry's own requests need
// no division: they are used soon or expire. The slack is divided among the entries, and
// each unit used becomes available again after a window.
type SharedBudget struct {
	// Ratio is the number of retries that each request earns. Slack is the number of
	// additional retries per Window, for all entries together. All three must be set before
	// the first call.
	Ratio  float64
	Slack  float64
	Window time.Duration

	mu       sync.Mutex
	accounts map[string]*account
}

const (
	// usableFraction is the fraction of the budget that entries use. The rest is reserved
	// for entries that have joined and are not counted yet, and for retries earned before a
	// window and used in it.
	usableFraction = 0.85
	// earnedTTL is how long an earned retry remains usable. It covers the time until the
	// request that earned it fails at a target.
	earnedTTL = 1500 * time.Millisecond
	// initialSlackFraction is the fraction of its slack that an entry has reached by the
	// end of its first window.
	initialSlackFraction = 0.3
)

// account holds the retries that an entry may make for one service.
type account struct {
	// createdAt is when the account was created. If this entry has restarted, it may have
	// used all of its slack just before, so the slack grows slowly at first.
	createdAt time.Time
	// earnedFraction is the fraction of the next retry earned so far. earned holds the
	// times at which whole retries were earned.
	earnedFraction float64
	earned         []time.Time
	// usedSlack holds the times at which units of the slack were used within the last
	// window.
	usedSlack []time.Time
}

// RecordRequest records a new request for a service. share is this entry's share of the
// budget.
func (s *SharedBudget) RecordRequest(now time.Time, service string, share shares.Share) {
	s.mu.Lock()
	defer s.mu.Unlock()

	a := s.account(now, service, share)

	if a.earnedFraction += s.Ratio * usableFraction; a.earnedFraction >= 1 {
		a.earnedFraction--
		a.earned = append(a.earned, now)
	}
}

// Allow reports whether a request may be retried now. If so, it takes one retry from the
// budget.
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

// availableSlack returns the slack of all entries together per window, given the age of this
// entry's account. During the first window it grows linearly from zero to initialSlackFraction
// of the usable slack. Afterwards it is all of the usable slack.
func (s *SharedBudget) availableSlack(age time.Duration) float64 {
	usable := s.Slack * usableFraction
	if age >= s.Window {
		return usable
	}

	return usable * initialSlackFraction * age.Seconds() / s.Window.Seconds()
}

// account returns the account of a service with expired entries removed.
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

// initialFraction returns the fraction of a retry that counts as earned at the start. The
// fractions are evenly distributed over the entries. Otherwise entries with few requests
// each would all earn a retry at the same time, or none of them for a long time.
func initialFraction(share shares.Share) float64 {
	_, fraction := math.Modf(float64(share.Index) * (math.Phi - 1))

	return fraction
}

// after returns the tail of times, which are sorted, that is later than from.
func after(times []time.Time, from time.Time) []time.Time {
	for len(times) > 0 && !times[0].After(from) {
		times = times[1:]
	}

	return times
}
