package routing

import "time"

// target is this entry's state of one target.
type target struct {
	Target

	// hash is the hash of AgentID.
	hash uint64
	// inFlight is how many requests this entry has in flight there.
	inFlight int
	history  history
	// othersReported is the load in the last report, less this entry's own requests
	// when it was taken. reportedAt is zero before the first report.
	othersReported int
	reportedAt     time.Time
	limit          int

	creditSlots     int
	creditExpiresAt time.Time
	// requestedSlots is how many slots were last requested.
	requestedSlots      int
	nextCreditRequestAt time.Time
	// fullUntil is set by a refusal for lack of capacity.
	fullUntil time.Time
	// stoppedUntil is set when the agent reports that it accepts no new requests. It
	// expires, because otherwise an agent with an outdated configuration would keep its
	// target unused indefinitely.
	stoppedUntil time.Time
	// nextWarmUpAt is when the cold target may next get a request that a warm one could
	// handle.
	nextWarmUpAt time.Time

	health health
}

// acceptsNew reports whether the target may get new requests at all.
func (t *target) acceptsNew() bool { return !t.Draining && !t.ZoneOut }

// hasCredit reports whether this entry holds a valid credit.
func (t *target) hasCredit(now time.Time) bool { return now.Before(t.creditExpiresAt) }

// headroom returns how many more requests this entry may send to the target. A cold
// target gets only what its agent reserved for this entry. A warm one may get more if
// it seems to have capacity, because its agent refuses what exceeds its limit.
func (t *target) headroom(now time.Time, s *Settings, others float64) int {
	if now.Before(t.fullUntil) {
		return 0
	}

	reserved := 0
	if t.hasCredit(now) {
		reserved = t.creditSlots - t.inFlight
	}

	switch {
	case t.Cold:
		return reserved
	case t.reportedAt.IsZero():
		return max(reserved, s.InitialSlots-t.inFlight)
	default:
		return max(reserved, int(float64(t.maxInFlight()-t.inFlight)-others))
	}
}

// maxInFlight returns how many requests the target can handle at once, at least 1.
func (t *target) maxInFlight() int {
	switch {
	case t.limit > 0:
		return t.limit
	case t.Capacity > 0:
		return t.Capacity
	default:
		return 1
	}
}

// othersInFlight estimates how many requests of other entries are in flight there. It
// uses the last report while it is recent, and shifts to the pool's mean share as the
// report ages. Otherwise a report of an idle target would attract the requests of all
// entries at once (herding).
func (t *target) othersInFlight(now time.Time, halfWeightAge time.Duration, meanLoad float64) float64 {
	mean := meanLoad * float64(t.maxInFlight())
	if t.reportedAt.IsZero() {
		return mean
	}

	age := now.Sub(t.reportedAt)
	if age <= 0 {
		return float64(t.othersReported)
	}

	weight := float64(halfWeightAge) / float64(halfWeightAge+age)

	return weight*float64(t.othersReported) + (1-weight)*mean
}

// setInFlight sets how many requests this entry has in flight there.
func (t *target) setInFlight(now time.Time, n int) {
	t.inFlight = n
	t.history.set(now, n)
}

// desiredSlots returns how many slots this entry should request. At a cold target it
// may use no others. At a warm one a reservation only blocks capacity that other
// entries could use, and requests in flight count there in any case, so one is enough.
func (t *target) desiredSlots(s *Settings) int {
	if !t.Cold {
		return 1
	}

	return min(t.inFlight+max(s.InitialSlots, t.inFlight/2), max(t.maxInFlight(), t.inFlight+1))
}

// requestsCreditAhead reports whether credits are requested ahead of requests: for a
// cold target, because requests can't go there without one, and for an unreachable one,
// where the credit requests find out when it is back.
func (t *target) requestsCreditAhead() bool { return t.Cold || t.health.ejectedFor.unreachable() }

// creditRequestDue reports whether a new credit should be requested.
func (t *target) creditRequestDue(now time.Time, slots int, renewBefore time.Duration) bool {
	if now.Before(t.nextCreditRequestAt) {
		return false
	}

	lacksSlot := t.Cold && t.creditSlots <= t.inFlight

	return lacksSlot || !t.creditExpiresAt.After(now.Add(renewBefore)) || slots > t.requestedSlots || 2*slots < t.requestedSlots
}

// creditRequested records a credit request. At a cold target without a free slot it is
// repeated soon, because agents serve the entries that have waited longest and drop
// those that do not ask again.
func (t *target) creditRequested(now time.Time, slots int, s *Settings) {
	t.requestedSlots = slots

	switch {
	case t.health.ejectedFor.unreachable():
		t.nextCreditRequestAt = now.Add(s.UnreachableCreditRequestInterval)
	case t.Cold && t.creditSlots <= t.inFlight:
		t.nextCreditRequestAt = now.Add(s.ColdCreditRequestInterval)
	default:
		t.nextCreditRequestAt = now.Add(s.CreditRequestInterval)
	}
}
