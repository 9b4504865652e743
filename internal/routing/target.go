package routing

import "time"

// target is what this entry knows of one target.
type target struct {
	Target

	// hash is that of AgentID.
	hash uint64
	// inFlight is what this entry has in flight there.
	inFlight int
	history  history
	// othersReported is the target's load by its last report, without what this
	// entry itself had there; reportedAt is zero before the first report.
	othersReported int
	reportedAt     time.Time
	limit          int

	creditSlots     int
	creditExpiresAt time.Time
	// requestedSlots is how many slots were last asked for.
	requestedSlots      int
	nextCreditRequestAt time.Time
	// fullUntil is set by a refusal for want of room.
	fullUntil time.Time
	// stoppedUntil is set by the agent's word that it takes nothing new. It runs
	// out, for an agent whose configuration lags would park its target for good.
	stoppedUntil time.Time
	// nextWarmUpAt is when the cold target may next get work that a warm one could take.
	nextWarmUpAt time.Time

	health health
}

// acceptsNew reports whether the target may get new work at all.
func (t *target) acceptsNew() bool { return !t.Leaving && !t.ZoneOut }

// hasCredit reports whether a credit is in force.
func (t *target) hasCredit(now time.Time) bool { return now.Before(t.creditExpiresAt) }

// headroom returns how many more requests this entry may send to the target. A cold
// target gets only what its agent reserved for this entry. A warm one may get
// more where it seems to have room: its agent refuses what it can't take.
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

// maxInFlight returns how many requests the target bears at once, at least 1.
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

// othersInFlight estimates what other entries have in flight there: the last report
// while it is young, the pool's mean share as it ages. A report that once
// showed an idle target otherwise draws every entry to it (herding).
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

// setInFlight sets what this entry has in flight there.
func (t *target) setInFlight(now time.Time, n int) {
	t.inFlight = n
	t.history.set(now, n)
}

// desiredSlots is how many slots this entry asks for. At a cold target they are all it
// may use. At a warm one a reservation only parks room that other entries could
// use, and what is in flight counts there anyway: one will do.
func (t *target) desiredSlots(s *Settings) int {
	if !t.Cold {
		return 1
	}

	return min(t.inFlight+max(s.InitialSlots, t.inFlight/2), max(t.maxInFlight(), t.inFlight+1))
}

// requestsCreditAhead reports whether credits are asked for ahead: of a cold target, whose
// slots no request may do without, and of one that cannot be reached, where the
// asks find out for the requests when it is back.
func (t *target) requestsCreditAhead() bool { return t.Cold || t.health.ejectedFor.unreachable() }

// creditRequestDue reports whether a new credit is due.
func (t *target) creditRequestDue(now time.Time, slots int, renewBefore time.Duration) bool {
	if now.Before(t.nextCreditRequestAt) {
		return false
	}

	lacksSlot := t.Cold && t.creditSlots <= t.inFlight

	return lacksSlot || !t.creditExpiresAt.After(now.Add(renewBefore)) || slots > t.requestedSlots || 2*slots < t.requestedSlots
}

// creditRequested records an ask. One that finds no slot at a cold target is repeated
// soon: agents serve those first that have asked longest, and forget who does
// not come back.
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
