package routing

import "time"

// target is what this entry knows of one target.
type target struct {
	Target

	// hash is that of AgentID.
	hash uint64
	// own is what this entry has in flight there.
	own     int
	history history
	// reported is the target's load by its last report, without what this
	// entry itself had there; reportedAt is zero before the first report.
	reported   int
	reportedAt time.Time
	limit      int

	slots      int
	creditEnds time.Time
	// wanted is how many slots were last asked for.
	wanted int
	askAt  time.Time
	// fullUntil is set by a refusal for want of room.
	fullUntil time.Time
	// stoppedUntil is set by the agent's word that it takes nothing new. It runs
	// out, for an agent whose configuration lags would park its target for good.
	stoppedUntil time.Time
	// warmUpAt is when the cold target may next get work that a warm one could take.
	warmUpAt time.Time

	health health
}

// takesNew reports whether the target may get new work at all.
func (t *target) takesNew() bool { return !t.Leaving && !t.ZoneOut }

// credited reports whether a credit is in force.
func (t *target) credited(now time.Time) bool { return now.Before(t.creditEnds) }

// room returns how many more requests this entry may send to the target. A cold
// target gets only what its agent reserved for this entry. A warm one may get
// more where it seems to have room: its agent refuses what it can't take.
func (t *target) room(now time.Time, s *Settings, others float64) int {
	if now.Before(t.fullUntil) {
		return 0
	}

	reserved := 0
	if t.credited(now) {
		reserved = t.slots - t.own
	}

	switch {
	case t.Cold:
		return reserved
	case t.reportedAt.IsZero():
		return max(reserved, s.FirstContact-t.own)
	default:
		return max(reserved, int(float64(t.bears()-t.own)-others))
	}
}

// bears returns how many requests the target bears at once, at least 1.
func (t *target) bears() int {
	switch {
	case t.limit > 0:
		return t.limit
	case t.Capacity > 0:
		return t.Capacity
	default:
		return 1
	}
}

// others estimates what other entries have in flight there: the last report
// while it is young, the pool's mean share as it ages. A report that once
// showed an idle target otherwise draws every entry to it (herding).
func (t *target) others(now time.Time, life time.Duration, meanLoad float64) float64 {
	mean := meanLoad * float64(t.bears())
	if t.reportedAt.IsZero() {
		return mean
	}

	age := now.Sub(t.reportedAt)
	if age <= 0 {
		return float64(t.reported)
	}

	weight := float64(life) / float64(life+age)

	return weight*float64(t.reported) + (1-weight)*mean
}

// count sets what this entry has in flight there.
func (t *target) count(now time.Time, n int) {
	t.own = n
	t.history.set(now, n)
}

// wants is how many slots this entry asks for. At a cold target they are all it
// may use. At a warm one a reservation only parks room that other entries could
// use, and what is in flight counts there anyway: one will do.
func (t *target) wants(s *Settings) int {
	if !t.Cold {
		return 1
	}

	return min(t.own+max(s.FirstContact, t.own/2), max(t.bears(), t.own+1))
}

// needsAsk reports whether credits are asked for ahead: of a cold target, whose
// slots no request may do without, and of one that cannot be reached, where the
// asks find out for the requests when it is back.
func (t *target) needsAsk() bool { return t.Cold || t.health.aside.unreachable() }

// shouldAsk reports whether a new credit is due.
func (t *target) shouldAsk(now time.Time, wanted int, renewBefore time.Duration) bool {
	if now.Before(t.askAt) {
		return false
	}

	short := t.Cold && t.slots <= t.own

	return short || !t.creditEnds.After(now.Add(renewBefore)) || wanted > t.wanted || 2*wanted < t.wanted
}

// asked records an ask. One that finds no slot at a cold target is repeated
// soon: agents serve those first that have asked longest, and forget who does
// not come back.
func (t *target) asked(now time.Time, wanted int, s *Settings) {
	t.wanted = wanted

	switch {
	case t.health.aside.unreachable():
		t.askAt = now.Add(s.AskDownEvery)
	case t.Cold && t.slots <= t.own:
		t.askAt = now.Add(s.AskColdEvery)
	default:
		t.askAt = now.Add(s.AskEvery)
	}
}
