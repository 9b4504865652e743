package retries

import (
	"math"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/shares"
)

// SharedBudget is one entry's part of a retry budget shared by all entries. In any window,
// the retries of a service are limited to a fraction of its requests plus a fixed slack.
// Entries do not synchronize their counts. Each may retry the fraction of its own requests of
// the last window, at any time in it: a group of targets that fails has all its requests
// retried at once. The slack is divided among the entries, and each unit used becomes
// available again after a window.
type SharedBudget struct {
	// Ratio is the number of retries that each request earns. Slack is the number of
	// additional retries per Window, for all entries together. The fields must be set before
	// the first call.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// StartedAt is when this entry started. If it has restarted, it may have used all of its
	// slack just before, so the slack grows slowly at first. Zero means the time of the first
	// request.
	StartedAt time.Time

	mu       sync.Mutex
	accounts map[string]*account
}

const (
	// usableFraction is the fraction of the budget that entries use. The rest is reserved
	// for entries that have joined and are not counted yet, and for windows of others that
	// begin between those of this entry.
	usableFraction = 0.85
	// bucketsPerWindow is the resolution with which requests are counted.
	bucketsPerWindow = 20
	// initialSlackFraction is the fraction of its slack that an entry has reached by the
	// end of its first window.
	initialSlackFraction = 0.3
)

// account holds the retries that an entry may make for one service.
type account struct {
	// requests counts the requests of the last window.
	requests []bucket
	// initial is the fraction of a retry that counts as earned from the start.
	initial float64
	// earnedAt and slackAt hold the times of the retries within the last window that were
	// charged to the requests, and to the slack.
	earnedAt []time.Time
	slackAt  []time.Time
}

// bucket is the number of requests that arrived from a time on.
type bucket struct {
	from  time.Time
	count int
}

// record counts a request.
func (a *account) record(now time.Time, width time.Duration) {
	if n := len(a.requests); n > 0 && now.Sub(a.requests[n-1].from) < width {
		a.requests[n-1].count++

		return
	}

	a.requests = append(a.requests, bucket{from: now, count: 1})
}

// requestCount returns the number of requests of the last window.
func (a *account) requestCount() int {
	n := 0
	for _, b := range a.requests {
		n += b.count
	}

	return n
}

// earned returns the number of retries that the requests of the last window allow.
func (a *account) earned(ratio float64) int { return int(ratio*float64(a.requestCount()) + a.initial) }

// Usage is what was counted for a service in the last window.
type Usage struct {
	// Requests are new requests, Retries those that were charged to the budget.
	Requests, Retries int
}

// Usage returns what this entry counted for a service in the last window.
func (s *SharedBudget) Usage(now time.Time, service string) Usage {
	s.mu.Lock()
	defer s.mu.Unlock()

	a := s.accounts[service]
	if a == nil {
		return Usage{}
	}

	a.expire(now.Add(-s.Window))

	return Usage{Requests: a.requestCount(), Retries: len(a.earnedAt) + len(a.slackAt)}
}

// RecordRequest records a new request for a service. share is this entry's share of the
// budget.
func (s *SharedBudget) RecordRequest(now time.Time, service string, share shares.Share) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.account(now, service, share).record(now, s.Window/bucketsPerWindow)
}

// Allow reports whether a request may be retried now. If so, it takes one retry from the
// budget.
func (s *SharedBudget) Allow(now time.Time, service string, share shares.Share) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	a := s.account(now, service, share)

	if len(a.earnedAt) < a.earned(s.Ratio*usableFraction) {
		a.earnedAt = append(a.earnedAt, now)

		return true
	}

	if len(a.slackAt) >= share.Units(now, s.availableSlack(now.Sub(s.StartedAt))) {
		return false
	}

	a.slackAt = append(a.slackAt, now)

	return true
}

// availableSlack returns the slack of all entries together per window, given the time since
// this entry started. During the first window it grows linearly from zero to initialSlackFraction
// of the usable slack. Afterwards it is all of the usable slack.
func (s *SharedBudget) availableSlack(running time.Duration) float64 {
	usable := s.Slack * usableFraction
	if running >= s.Window {
		return usable
	}

	return usable * initialSlackFraction * running.Seconds() / s.Window.Seconds()
}

// account returns the account of a service with expired entries removed.
func (s *SharedBudget) account(now time.Time, service string, share shares.Share) *account {
	if s.accounts == nil {
		s.accounts = make(map[string]*account)
	}

	if s.StartedAt.IsZero() {
		s.StartedAt = now
	}

	a := s.accounts[service]
	if a == nil {
		a = &account{initial: initialFraction(share)}
		s.accounts[service] = a
	}

	a.expire(now.Add(-s.Window))

	return a
}

// expire removes what was counted until from.
func (a *account) expire(from time.Time) {
	a.earnedAt = after(a.earnedAt, from)
	a.slackAt = after(a.slackAt, from)

	for len(a.requests) > 0 && !a.requests[0].from.After(from) {
		a.requests = a.requests[1:]
	}
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
