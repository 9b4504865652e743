package retries

import (
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/shares"
)

// SharedBudget is one entry's part of a retry budget shared by all entries. In any window,
// the retries of a service are limited to a fraction of its requests plus a fixed slack.
// Each entry may retry the fraction of its own requests of the last window, at any time in it:
// a group of targets that fails has all its requests retried at once. The slack is divided among
// the entries, and each unit used becomes available again after a window.
//
// These parts alone add up to the budget only while requests stay with their entries. If they move to
// others, what they earned can be spent at both within one window, and an entry that restarts
// forgets what it has spent. So control VMs report what the other entries have counted. Once any of
// them has retried, an entry also keeps to its part of what is left of the whole. An entry without such
// a report retries only as many requests as the fraction of the last window or of the one before it
// allows, whichever had fewer.
//
// The budget limits what targets receive, so a retry counts until a window after its target has received it. See
// Delivery.
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
	// OnRetries, if set, is called when so many retries have been made that they should be reported
	// before the next poll. It must not call the budget.
	OnRetries func()

	mu       sync.Mutex
	accounts map[string]*account
	reports  map[netip.AddrPort]receivedReport
	// unanswered holds attempts of retried requests that their targets may not have read yet, by the address of the
	// target and in the order in which they ended.
	unanswered map[netip.AddrPort][]unansweredAttempt
}

const (
	// usableFraction is the fraction of the budget that entries use. The rest is reserved
	// for entries that have joined and are not counted yet, and for windows of others that
	// begin between those of this entry.
	usableFraction = 0.85
	// bucketsPerWindow is the resolution with which requests are counted.
	bucketsPerWindow = 20
	// initialSlackFraction is the fraction of its slack that an entry has reached by the
	// end of its first window, if it knows what was spent before it started.
	initialSlackFraction = 0.3
	// unknownSlackFraction is that fraction if it does not. Together with usableFraction it is the
	// whole slack, as all of the usable one may have been spent just before.
	unknownSlackFraction = 0.15
)

// account holds the retries that an entry may make for one service.
type account struct {
	// requests counts the requests of the last two windows.
	requests []bucket
	// initial is the fraction of a retry that counts as earned from the start.
	initial float64
	// earned and slack hold the retries that were charged to the requests, and to the slack.
	earned, slack charges
	// decidedAt holds when the retries of the last window were decided.
	decidedAt []time.Time
	// unreported counts the retries since the last report.
	unreported int
}

// charges are the retries that count against one part of the budget.
type charges struct {
	// open is the number of retries that targets may still receive. endedAt holds when those of the last window were
	// received.
	open    int
	endedAt []time.Time
}

func (c *charges) count() int { return c.open + len(c.endedAt) }

// end records that a target has received a retry.
func (c *charges) end(now time.Time) {
	c.open--
	c.endedAt = append(c.endedAt, now)
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

// requestsSince returns the number of requests after from, and of those before.
func (a *account) requestsSince(from time.Time) (after, before int) {
	for _, b := range a.requests {
		if b.from.After(from) {
			after += b.count
		} else {
			before += b.count
		}
	}

	return after, before
}

// usage returns what was counted in the last window, which began at from.
func (a *account) usage(from time.Time) Usage {
	n, _ := a.requestsSince(from)

	return Usage{Requests: n, Retries: a.earned.count() + a.slack.count(), Unread: a.earned.open + a.slack.open}
}

// earnedBy returns the number of retries that the requests of the last window allow, which began at
// from. isCurrent says whether the entry knows what the others have spent.
func (a *account) earnedBy(from time.Time, ratio float64, isCurrent bool) int {
	n, before := a.requestsSince(from)

	switch {
	case isCurrent:
	case before == 0:
		return 0
	default:
		n = min(n, before+1) // Steady load differs by one.
	}

	return int(ratio*float64(n) + a.initial)
}

// Usage is what was counted for a service in the last window.
type Usage struct {
	// Requests are new requests, Retries those that were charged to the budget. Unread are those of Retries that targets
	// may still read.
	Requests, Retries, Unread int
}

// Usage returns what this entry counted for a service in the last window.
func (s *SharedBudget) Usage(now time.Time, service string) Usage {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.expireUnanswered(now)

	a := s.accounts[service]
	if a == nil {
		return Usage{}
	}

	a.expire(now, s.Window)

	return a.usage(now.Add(-s.Window))
}

// RecordRequest records a new request for a service. share is this entry's share of the
// budget.
func (s *SharedBudget) RecordRequest(now time.Time, service string, share shares.Share) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.account(now, service, share).record(now, s.Window/bucketsPerWindow)
}

// Allow reports whether a request may be retried now. If so, it takes one retry from the
// budget, for the request of d.
func (s *SharedBudget) Allow(now time.Time, service string, share shares.Share, d *Delivery) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.expireUnanswered(now)

	a := s.account(now, service, share)
	from := now.Add(-s.Window)
	others := s.othersUsage(now, service)

	if others.Retries > 0 && s.hasUsedPart(now, a, &others, share) {
		return false
	}

	earned := a.earnedBy(from, s.Ratio*usableFraction, others.isCurrent)
	slack := share.Units(now, s.availableSlack(now.Sub(s.StartedAt), others.isCurrent))

	var charged *charges

	switch {
	case a.earned.count() < earned:
		charged = &a.earned
	case a.slack.count() < slack:
		charged = &a.slack
	default:
		return false
	}

	a.decidedAt = append(a.decidedAt, now)
	s.charge(d, charged)

	if a.unreported++; a.unreported*reportsPerWindow >= earned+slack && s.OnRetries != nil {
		s.OnRetries()
	}

	return true
}

// availableSlack returns the slack of all entries together per window, given the time since
// this entry started. During the first window it grows linearly from zero to a fraction of the slack
// that depends on whether the entry knows what was spent before. Afterwards it is all of the usable
// slack.
func (s *SharedBudget) availableSlack(running time.Duration, isCurrent bool) float64 {
	usable := s.Slack * usableFraction

	switch {
	case running >= s.Window:
		return usable
	case isCurrent:
		return usable * initialSlackFraction * running.Seconds() / s.Window.Seconds()
	default:
		return s.Slack * unknownSlackFraction * running.Seconds() / s.Window.Seconds()
	}
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

	a.expire(now, s.Window)

	return a
}

// expire removes the retries that were received before the last window, and the requests before the window before it.
func (a *account) expire(now time.Time, window time.Duration) {
	a.earned.endedAt = after(a.earned.endedAt, now.Add(-window))
	a.slack.endedAt = after(a.slack.endedAt, now.Add(-window))
	a.decidedAt = after(a.decidedAt, now.Add(-window))

	for from := now.Add(-2 * window); len(a.requests) > 0 && !a.requests[0].from.After(from); {
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
