package routing

import "time"

// target is what this entry knows of one target.
type target struct {
	Target

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
	// fullUntil is set by a refusal for want of room.
	fullUntil time.Time

	health health
}

// takesNew reports whether the target may get new work at all.
func (t *target) takesNew() bool { return !t.Leaving && !t.ZoneOut }

// credited reports whether a credit is in force.
func (t *target) credited(now time.Time) bool { return now.Before(t.creditEnds) }

// room returns how many more requests this entry may send to the target. A cold
// target without a credit gets none: only its agent knows what it can bear.
func (t *target) room(now time.Time, firstContact int) int {
	switch {
	case now.Before(t.fullUntil):
		return 0
	case t.credited(now):
		return t.slots - t.own
	case t.Cold:
		return 0
	default:
		return firstContact - t.own
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
