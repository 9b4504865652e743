package dispatch

import "time"

// RateLimit is what a target's answer says about the requests per second that the target accepts
// from all entries together. The zero value is an answer that states no limit.
type RateLimit struct {
	PerSecond float64
	Stated    bool
}

// backpressure is what this entry knows about how many requests a target accepts, and how many it
// has sent there. It outlives the target's directory entry: a target that is listed again
// after a while still means what it has said.
type backpressure struct {
	// startTime identifies the incarnation of the target that has said so.
	startTime int64
	// listedAt is when the target was listed last.
	listedAt time.Time
	// sentAt holds the times at which this entry sent requests to the target, oldest first.
	sentAt []time.Time
	// rateLimit is the limit that the target states, heard last at rateLimitHeardAt.
	rateLimit        RateLimit
	rateLimitHeardAt time.Time
	// restUntil is the end of the rest that the target has asked for. It is zero if the target has
	// not asked for one, or has answered a request since without asking for another.
	restUntil time.Time
	// trialAt is when a request was sent after a rest whose answer has not arrived; zero if there
	// is none.
	trialAt time.Time
	// leavingUntil is until when the target counts as leaving; zero if it has not said so.
	leavingUntil time.Time
}

// backpressureTTL is how long what is known about a target is kept after it was listed last.
const backpressureTTL = 5 * time.Minute

// leavingTTL is how long a target counts as leaving that is still listed. One that has said so in
// error is used again afterwards.
const leavingTTL = 5 * time.Minute

// sentWindow is the longest period over which the requests sent to a target are counted.
const sentWindow = 5 * time.Second

// send records a request that this entry sends.
func (b *backpressure) send(now time.Time) {
	from := now.Add(-sentWindow)

	i := 0
	for i < len(b.sentAt) && !b.sentAt[i].After(from) {
		i++
	}

	b.sentAt = append(b.sentAt[i:], now)

	if !b.restUntil.IsZero() {
		b.trialAt = now
	}
}

// sentSince returns the number of requests sent after from, which is at most sentWindow ago.
func (b *backpressure) sentSince(from time.Time) int {
	i := len(b.sentAt)
	for i > 0 && b.sentAt[i-1].After(from) {
		i--
	}

	return len(b.sentAt) - i
}

// reportRateLimit records the limit in the answer to a request sent at sentAt. Answers on different
// connections may overtake each other, so only the answer to a request that was sent after the
// limit had been heard ends it.
func (b *backpressure) reportRateLimit(now, sentAt time.Time, l RateLimit) {
	if !l.Stated && !sentAt.After(b.rateLimitHeardAt) {
		return
	}

	b.rateLimit = l
	if l.Stated {
		b.rateLimitHeardAt = now
	}
}

// backpressureOf returns what is known about the incarnation of t.
func (d *Dispatcher) backpressureOf(now time.Time, t *Target) *backpressure {
	b := d.backpressure[t.ID]
	if b == nil || t.StartTime > b.startTime {
		b = &backpressure{startTime: t.StartTime}

		if d.backpressure == nil {
			d.backpressure = make(map[string]*backpressure)
		}

		d.backpressure[t.ID] = b
	}

	b.listedAt = now

	return b
}

// knownBackpressure returns what is known about the target of a placed request, or nil if another
// incarnation has taken its place.
func (d *Dispatcher) knownBackpressure(placed Action) *backpressure {
	if b := d.backpressure[placed.Target.ID]; b != nil && b.startTime == placed.Target.StartTime {
		return b
	}

	return nil
}

// expireBackpressure drops what is known about targets that have not been listed for a while.
func (d *Dispatcher) expireBackpressure(now time.Time) {
	for id, b := range d.backpressure {
		if now.Sub(b.listedAt) > backpressureTTL {
			delete(d.backpressure, id)
		}
	}
}

// ReportRateLimit records the limit in a target's answer to a placed request. It returns the
// previous limit, and how many requests this entry has sent there in the last seconds.
func (d *Dispatcher) ReportRateLimit(now time.Time, placed Action, l RateLimit) (previous RateLimit, sent int) {
	b := d.knownBackpressure(placed)
	if b == nil {
		return RateLimit{}, 0
	}

	previous = b.rateLimit
	b.reportRateLimit(now, placed.PlacedAt, l)

	return previous, b.sentSince(now.Add(-sentWindow))
}

// ReportRest records that a target that has turned a placed request away wants nothing more from
// this entry until a time. A zero time means that it has answered the request without asking for
// rest.
func (d *Dispatcher) ReportRest(placed Action, until time.Time) {
	b := d.knownBackpressure(placed)

	switch {
	case b == nil:
	case !until.IsZero():
		b.restUntil = latest(b.restUntil, until)
		b.trialAt = time.Time{}
	case !placed.PlacedAt.Before(b.restUntil):
		b.restUntil, b.trialAt = time.Time{}, time.Time{}
	}
}

// endTrial records that a placed request has ended. If it was the one that tried a target after a
// rest and has got no answer, another one may try.
func (b *backpressure) endTrial(placed Action) {
	if placed.PlacedAt.Equal(b.trialAt) {
		b.trialAt = time.Time{}
	}
}

// ReportLeaving records that the target of a placed request is leaving. It reports whether this
// is new.
func (d *Dispatcher) ReportLeaving(now time.Time, placed Action) bool {
	b := d.knownBackpressure(placed)
	if b == nil || b.isLeaving(now) {
		return false
	}

	b.leavingUntil = now.Add(leavingTTL)

	return true
}

// isResting reports whether the target rests, or a request that tries it after a rest has got no
// answer.
func (b *backpressure) isResting(now time.Time) bool {
	return now.Before(b.restUntil) || !b.trialAt.IsZero()
}

func (b *backpressure) isLeaving(now time.Time) bool { return now.Before(b.leavingUntil) }

// BackpressureSummary counts the targets by what they have said in their answers.
type BackpressureSummary struct {
	// RateLimited targets state a limit of requests per second, resting ones have asked for no
	// more requests for a while, leaving ones are about to end.
	RateLimited, Resting, Leaving int
}

// Backpressure counts the targets that have said how many requests they accept.
func (d *Dispatcher) Backpressure(now time.Time) BackpressureSummary {
	var s BackpressureSummary

	for _, b := range d.backpressure {
		if b.rateLimit.Stated {
			s.RateLimited++
		}

		if b.isResting(now) {
			s.Resting++
		}

		if b.isLeaving(now) {
			s.Leaving++
		}
	}

	return s
}
