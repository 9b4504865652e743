package dispatch

import (
	"slices"
	"time"
)

const (
	// shortRateWindow is the period over which requests to a target with a rate limit are
	// counted. It is sentWindow if the limit has less than one request a second for each entry: then
	// entries have whole requests to share, and a few that arrive late do not add up with the
	// next ones.
	shortRateWindow = time.Second
	// minRateQuota is the number of requests per sentWindow that all entries together send to a
	// target whatever limit it states: only an answer can tell that the limit has ended.
	minRateQuota = 1
)

// rateQuota returns the number of requests per window that all entries together may send to t,
// which states a rate limit.
func (t *target) rateQuota(cfg *Settings) (total float64, window time.Duration) {
	perSecond := t.backpressure.rateLimit.PerSecond * cfg.RateLimitUtilization
	if perSecond >= float64(max(1, t.Share.Entries)) {
		return perSecond, shortRateWindow
	}

	return max(minRateQuota, perSecond*sentWindow.Seconds()), sentWindow
}

// rateUnits returns the number of requests per window that this entry may send to t. An entry that
// has just started may know only a few of the others, so it uses only a part of its share.
func (d *Dispatcher) rateUnits(now time.Time, t *target) (units int, window time.Duration) {
	total, window := t.rateQuota(&d.Settings)

	units = t.Share.Units(now, total)
	if d.isNew(now) {
		units = (units + settlingDivisor - 1) / settlingDivisor
	}

	return units, window
}

// isRateLimited reports whether this entry has used its share of the rate limit that t states.
func (d *Dispatcher) isRateLimited(now time.Time, t *target) bool {
	if !t.backpressure.rateLimit.Stated {
		return false
	}

	units, window := d.rateUnits(now, t)

	return t.backpressure.sentSince(now.Add(-window)) >= units
}

// nextSends returns the next n times at which the rate limit of t allows this entry to send there.
func (d *Dispatcher) nextSends(now time.Time, t *target, n int) []time.Time {
	from := t.availableAt(now)
	units, window := d.rateUnits(now, t)

	if units == 0 {
		total, _ := t.rateQuota(&d.Settings)
		from = latest(from, t.Share.NextUnit(now, total))
		units = 1
	}

	sentAt := t.backpressure.sentAt
	sentAt = slices.Clone(sentAt[max(0, len(sentAt)-units):])
	out := make([]time.Time, 0, n)

	for range n {
		at := from
		if len(sentAt) >= units {
			at = latest(from, sentAt[len(sentAt)-units].Add(window))
		}

		sentAt = append(sentAt, at)
		out = append(out, at)
	}

	return out
}

// sendTimes says when the targets of a service can be sent the requests that wait.
type sendTimes struct {
	// limited holds the times of the next requests to targets that state a rate limit.
	limited []time.Time
	// unlimitedAt is when the first target without a rate limit is available; zero if there is
	// none.
	unlimitedAt time.Time
}

// sendTimes returns when targets can be sent as many requests as wait. It returns false if no
// target states a rate limit.
func (d *Dispatcher) sendTimes(now time.Time, s *service) (times sendTimes, limited bool) {
	for _, t := range s.sorted {
		switch {
		case t.isDraining(now) || t.group.isDown(now, &d.Settings):
		case t.backpressure.rateLimit.Stated:
			limited = true
		default:
			if at := t.availableAt(now); times.unlimitedAt.IsZero() || at.Before(times.unlimitedAt) {
				times.unlimitedAt = at
			}
		}
	}

	if !limited || times.unlimitedAt.Equal(now) {
		return times, limited
	}

	for _, t := range s.sorted {
		if !t.isDraining(now) && !t.group.isDown(now, &d.Settings) && t.backpressure.rateLimit.Stated {
			times.limited = append(times.limited, d.nextSends(now, t, len(s.waiting))...)
		}
	}

	slices.SortFunc(times.limited, time.Time.Compare)

	return times, true
}

// after returns when a request can be sent that has n others ahead.
func (s *sendTimes) after(n int) time.Time {
	switch {
	case n >= len(s.limited):
		return s.unlimitedAt
	case s.unlimitedAt.IsZero() || s.limited[n].Before(s.unlimitedAt):
		return s.limited[n]
	default:
		return s.unlimitedAt
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}

	return a
}
