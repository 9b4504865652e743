package priority

import (
	"fmt"
	"time"
)

const (
	// floorShare is the part of the requests of each level that is admitted at least, so that no
	// kind of request is starved.
	floorShare = 1.0 / 20
	// headroom is the ratio of the admitted demand to the placements. With a ratio of 1, the level
	// fell further whenever an admitted request was not placed at once.
	headroom = 1.05
	// riseTime is how long the admission level takes to rise by one level. The requests that it
	// admits take that long to show in the sums.
	riseTime = time.Second
	// maxToCapacity is the ratio to the places of the group above which a sum is absurd.
	maxToCapacity = 100
)

// InvalidSumError means that a sum is larger than the group could ever cause.
type InvalidSumError struct {
	Level Level
	Value uint32
	Limit float64
}

func (e *InvalidSumError) Error() string {
	return fmt.Sprintf("priority: the sum for level %d is %d a second, limit %.0f", e.Level, e.Value, e.Limit)
}

// Check returns an error if a sum is more than a hundred times the number of places in the group.
// places is the number of places that this entry has there, entries the number of entries.
func (c *Counts) Check(places float64, entries int) error {
	limit := maxToCapacity * places * float64(max(1, entries))

	for i, n := range c {
		if largest := max(n.Demand, n.Placed, n.Refused); float64(largest) > limit {
			return &InvalidSumError{Level: Level(i), Value: largest, Limit: limit}
		}
	}

	return nil
}

// Admission decides which levels of a service are admitted, from the sums over all entries.
//
// Load pattern: together the entries have more requests than the groups of the service can serve,
// for seconds. Every entry computes the same level from the same sums, so urgent requests get the
// places wherever they arrive, and others are refused at once instead of waiting in vain.
type Admission struct {
	// Phase is the offset of the turns, 0 to 1. If it was the same at all entries, they would all
	// admit a request at the same time.
	Phase float64

	groups map[string]groupSums
	// demand has, by level, the demand of the last sums.
	demand Counts
	// limit is the admission level: levels below it are admitted, and the one that contains it in
	// part. NumLevels admits all. It was computed at updatedAt and counts until validUntil.
	limit                 float64
	updatedAt, validUntil time.Time
	turns                 [NumLevels]turns
}

// groupSums holds the last sums of a group.
type groupSums struct {
	counts     Counts
	validUntil time.Time
}

// SetSums records the sums of a group and updates the level. groups lists the groups of the service
// that serve requests; without valid sums of each, no level applies.
func (a *Admission) SetSums(now time.Time, group string, c Counts, groups []string) {
	if a.groups == nil {
		a.groups = make(map[string]groupSums)

		for i := range a.turns {
			a.turns[i].next = a.Phase
		}
	}

	for name, s := range a.groups {
		if !now.Before(s.validUntil) {
			delete(a.groups, name)
		}
	}

	a.groups[group] = groupSums{counts: c, validUntil: now.Add(ReportTTL)}
	a.update(now, groups)
}

func (a *Admission) update(now time.Time, groups []string) {
	validUntil := now.Add(ReportTTL)

	var all Counts

	for _, name := range groups {
		s, ok := a.groups[name]
		if !ok {
			a.validUntil = time.Time{}

			return
		}

		if s.validUntil.Before(validUntil) {
			validUntil = s.validUntil
		}

		// Each entry reports the demand and the refusals of the whole service for each group.
		for i, n := range s.counts {
			all[i].Demand = max(all[i].Demand, n.Demand)
			all[i].Refused = max(all[i].Refused, n.Refused)
			all[i].Placed = saturate(uint64(all[i].Placed) + uint64(n.Placed))
		}
	}

	limit := all.admissible()
	if a.isValid(now) {
		limit = min(limit, a.risen(now, &all))
	}

	a.demand, a.limit, a.updatedAt, a.validUntil = all, limit, now, validUntil
}

// admissible returns the admission level at which the admitted demand is headroom times the
// placements. It returns NumLevels if nothing was refused.
func (c *Counts) admissible() float64 {
	total := c.Total()
	if total.Refused == 0 {
		return NumLevels
	}

	left := headroom * float64(total.Placed)
	for _, n := range c {
		left -= n.floor()
	}

	for i, n := range c {
		needed := float64(n.Demand) - n.floor()
		if needed > left {
			return float64(i) + max(0, left/needed)
		}

		left -= needed
	}

	return NumLevels
}

// floor returns how many requests of a level are admitted at least. Callers that repeat refused
// requests raise the demand without bound, but not the placements.
func (n Count) floor() float64 { return min(floorShare*float64(n.Demand), float64(n.Placed)) }

// risen returns how far the level may have risen since the last update. Levels without demand are
// skipped.
func (a *Admission) risen(now time.Time, c *Counts) float64 {
	rise := float64(now.Sub(a.updatedAt)) / float64(riseTime)
	limit := a.limit

	for limit < NumLevels && (rise > 0 || c[int(limit)].Demand == 0) {
		next := float64(int(limit) + 1)

		if c[int(limit)].Demand > 0 {
			step := min(rise, next-limit)
			rise -= step
			next = limit + step
		}

		limit = next
	}

	return limit
}

func (a *Admission) isValid(now time.Time) bool { return now.Before(a.validUntil) }

// InForce reports whether some level is admitted only in part.
func (a *Admission) InForce(now time.Time) bool { return a.isValid(now) && a.limit < NumLevels }

// Limit returns the admission level, and whether the sums that it was computed from are valid.
func (a *Admission) Limit(now time.Time) (limit float64, valid bool) {
	if !a.isValid(now) {
		return NumLevels, false
	}

	return a.limit, true
}

// MayExceedShare reports whether the level is in force and admits requests of l, in full or in part.
// The admitted requests of all entries fit then, but arrive unevenly. Only those of the most urgent
// level, which is admitted whole, may be more than fit.
func (a *Admission) MayExceedShare(now time.Time, l Level) bool {
	return a.InForce(now) && float64(l) < a.limit
}

// Admit reports whether a request that has just arrived is admitted. The requests of a level that is
// admitted in part are admitted by turns.
func (a *Admission) Admit(now time.Time, l Level, workspace string) bool {
	// Among the requests of the most urgent level there are none to prefer.
	if !a.InForce(now) || a.isFirst(l) {
		return true
	}

	part := min(max(a.limit-float64(l), 0), 1)
	if part == 1 {
		return true
	}

	return a.turns[l].admit(now, workspace, floorShare+(1-floorShare)*part, part == 0)
}

// Arrive records a request, before Admit.
func (a *Admission) Arrive(now time.Time, l Level, workspace string) {
	a.turns[l].arrive(now, workspace)
}

// IsAboveShare reports whether a workspace has requested more than its share at a level lately.
func (a *Admission) IsAboveShare(l Level, workspace string) bool {
	return a.turns[l].isAboveShare(workspace)
}

// isFirst reports whether no more urgent level has demand.
func (a *Admission) isFirst(l Level) bool {
	for i := range l {
		if a.demand[i].Demand > 0 {
			return false
		}
	}

	return true
}

// AdmittedAt returns the earliest time at which all requests of a level are admitted.
func (a *Admission) AdmittedAt(now time.Time, l Level) time.Time {
	if !a.InForce(now) {
		return now
	}

	levels := 0.0

	for i := int(a.limit); i <= int(l); i++ {
		if a.demand[i].Demand > 0 || i == int(l) {
			levels += float64(i) + 1 - max(float64(i), a.limit)
		}
	}

	return now.Add(time.Duration(levels * float64(riseTime)))
}
