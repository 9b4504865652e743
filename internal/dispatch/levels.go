package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/priority"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// levels applies the admission level of a prioritized service. Its methods do nothing on nil, for
// services that are not prioritized.
//
// Load pattern: all entries together have more requests than the service can serve, unevenly over
// entries and levels. See internal/priority.
type levels struct {
	// counter counts demand and refusals. Placements are counted by group.
	counter   priority.Counter
	admission priority.Admission
	// pressedUntil is one second after a request waited or was refused last. pressedSince is when
	// this began.
	pressedUntil, pressedSince time.Time
	// refused counts the requests refused by the admission level.
	refused int64
	// beyondShare is set while targets are chosen for a request that may exceed this entry's share.
	beyondShare bool
	// openBeyondShare are the targets open to such requests. They are valid if found is set.
	openBeyondShare openTargets
	found           bool
}

// groupLevels is what an entry knows about the levels of one group.
type groupLevels struct {
	placed priority.Counter
	// sums are the last sums over all entries, valid until validUntil.
	sums       priority.Counts
	validUntil time.Time
}

const (
	// pressureTTL is how long a service counts as under pressure after a request waited or was
	// refused.
	pressureTTL = time.Second
	// sumsWait is how long sums may be missing under pressure until this counts as a fault. It is
	// their validity, and the time to report counts and to receive the sums.
	sumsWait = priority.ReportTTL + 2*priority.CountWindow
	// spareUtilization is the fraction of the group's limit up to which requests above the
	// admission level are placed. The rest is for urgent requests that arrive in the meantime.
	// Workspaces above their share use less of it, or their callers would take all places that
	// become free by repeating refused requests at once.
	spareUtilization           = 0.9
	spareUtilizationAboveShare = 0.8
)

func (s *service) setLevels(r *rand.Rand) {
	switch {
	case !s.Prioritized:
		s.levels = nil
	case s.levels == nil:
		s.levels = &levels{admission: priority.Admission{Phase: r.Float64()}}
	}
}

func clampLevel(l priority.Level) priority.Level { return min(l, priority.NumLevels-1) }

// wasAtTarget reports whether a request has been at a target before. It was counted and admitted at
// that time.
func wasAtTarget(r *Request) bool { return r.Sent || len(r.Excluded) > 0 }

// admit reports whether the admission level admits a request that has just arrived.
func (l *levels) admit(now time.Time, r *Request) bool {
	return l == nil || wasAtTarget(r) || l.admission.Admit(now, clampLevel(r.Level), r.Workspace)
}

// recordDemand records a request. What each workspace requests matters under pressure only.
func (l *levels) recordDemand(now time.Time, r *Request) {
	if l == nil || wasAtTarget(r) {
		return
	}

	level := clampLevel(r.Level)
	l.counter.At(now)[level].Demand++

	if l.isPressed(now) || l.admission.InForce(now) {
		l.admission.Arrive(now, level, r.Workspace)
	}
}

func (l *levels) recordPlaced(now time.Time, g *group, level priority.Level) {
	if l != nil {
		g.levels.placed.At(now)[clampLevel(level)].Placed++
	}
}

// recordRefused records a refused request. Only refusals for lack of capacity count: others say
// nothing about how much the group can serve.
func (l *levels) recordRefused(now time.Time, level priority.Level, cause verdict.Cause) {
	if l != nil && cause == verdict.CauseOverload {
		l.counter.At(now)[clampLevel(level)].Refused++
		l.recordPressure(now)
	}
}

func (l *levels) recordWaiting(now time.Time, n int) {
	if l != nil && n > 0 {
		l.recordPressure(now)
	}
}

func (l *levels) recordPressure(now time.Time) {
	if !now.Before(l.pressedUntil) {
		l.pressedSince = now
	}

	l.pressedUntil = now.Add(pressureTTL)
}

func (l *levels) isPressed(now time.Time) bool { return now.Before(l.pressedUntil) }

// mayExceedShare reports whether the requests of a level may exceed this entry's share of the
// group. The sums say that all of them fit, but not at which entries they arrive.
func (l *levels) mayExceedShare(now time.Time, level priority.Level) bool {
	return l != nil && l.admission.MayExceedShare(now, clampLevel(level))
}

func (l *levels) exceedsShare() bool { return l != nil && l.beyondShare }

// beginPlacement invalidates the targets found for an earlier placement.
func (l *levels) beginPlacement() {
	if l != nil {
		l.found = false
	}
}

// chooseBeyondShare returns the target with the lowest cost for r among those at which this entry
// may exceed its share. late also allows targets in groups whose streams are late.
func (d *Dispatcher) chooseBeyondShare(now time.Time, s *service, r *Request, late bool) *target {
	l := s.levels
	l.beyondShare = true

	defer func() { l.beyondShare = false }()

	if !l.found {
		l.openBeyondShare = openTargets{timely: l.openBeyondShare.timely[:0], late: l.openBeyondShare.late[:0]}
		l.found = true

		for _, t := range s.sorted {
			if d.blockReason(now, s, t) == blockNone {
				l.openBeyondShare.add(t)
			}
		}
	}

	// Requests that were placed since may have blocked targets.
	isBlocked := func(t *target) bool { return d.blockReason(now, s, t) != blockNone }

	for _, open := range []*[]*target{&l.openBeyondShare.timely, &l.openBeyondShare.late} {
		if !late && open == &l.openBeyondShare.late {
			break
		}

		for {
			t := d.choose(now, *open, r)
			if t == nil {
				break
			}

			if !isBlocked(t) {
				return t
			}

			*open = slices.DeleteFunc(*open, func(o *target) bool { return o == t })
		}
	}

	return nil
}

// submitSpare places a request that the admission level does not admit if there is capacity to
// spare, and refuses it at once otherwise.
func (d *Dispatcher) submitSpare(now time.Time, s *service, r Request) []Action {
	var out []Action

	utilization := spareUtilization
	if s.levels.admission.IsAboveShare(clampLevel(r.Level), r.Workspace) {
		utilization = spareUtilizationAboveShare
	}

	if d.hasSpareCapacity(now, s, utilization) {
		s.waiting = append(s.waiting, waiting{Request: r, since: now})

		out = d.place(now, s)
		if !slices.ContainsFunc(s.waiting, func(w waiting) bool { return w.ID == r.ID }) {
			return out
		}

		s.removeWaiting(r.ID)
	}

	s.levels.refused++
	s.levels.recordRefused(now, r.Level, verdict.CauseOverload)

	wait := s.levels.admission.AdmittedAt(now, clampLevel(r.Level)).Sub(now)

	return append(out, Action{ID: r.ID, Cause: verdict.CauseOverload, RetryAt: now.Add(d.retryAfter(wait)), ExpectedWait: wait, Capacity: d.capacity(now, s)})
}

// hasSpareCapacity reports whether a group whose streams are in time has less load than
// a fraction of its limit, as far as this entry knows.
func (d *Dispatcher) hasSpareCapacity(now time.Time, s *service, utilization float64) bool {
	for _, g := range s.groups {
		if s.Streams && g.isLate(now) {
			continue
		}

		if g.plan.Valid {
			if g.plan.load+1 <= utilization*g.plan.limit {
				return true
			}

			continue
		}

		load, limit := 1.0, 0.0

		for _, t := range g.targets {
			switch d.blockReason(now, s, t) {
			case blockNone, blockFull:
				load += t.load(now, &d.Settings)
				limit += s.limit(now, t, &d.Settings)
			default:
			}
		}

		if load <= utilization*limit {
			return true
		}
	}

	return false
}

// LevelReport is what an entry reports about one group to the agent beside its rank 0.
type LevelReport struct {
	Service, Group string
	// Counts holds the demand and the refusals of the service, and the placements in the group.
	Counts priority.Counts
	// Pressed is set if a request of the service waited or was refused in the last second.
	Pressed bool
	// SumsMissing is set if the service has been under pressure for a while without valid sums of
	// the group.
	SumsMissing bool
}

// LevelReports returns the reports for the groups of all prioritized services.
func (d *Dispatcher) LevelReports(now time.Time) []LevelReport {
	var out []LevelReport

	for _, s := range d.services {
		if s.levels == nil {
			continue
		}

		counts, pressed := s.levels.counter.LastSecond(now), s.levels.isPressed(now)

		for _, g := range s.groups {
			if g.name == "" || len(g.targets) == 0 {
				continue
			}

			r := LevelReport{Service: s.Name, Group: g.name, Counts: counts, Pressed: pressed}
			placed := g.levels.placed.LastSecond(now)
			r.Counts.Add(&placed)

			r.SumsMissing = pressed && now.Sub(s.levels.pressedSince) >= sumsWait && !now.Before(g.levels.validUntil)
			out = append(out, r)
		}
	}

	slices.SortFunc(out, func(a, b LevelReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Group, b.Group))
	})

	return out
}

// ReportLevels records the sums over all entries for a group. It returns an error, and ignores the
// sums, if they are larger than the group could ever cause. entries is the number of entries. A
// single entry needs no sums: its own order of requests is that of all.
func (d *Dispatcher) ReportLevels(now time.Time, groupName string, c priority.Counts, entries int) error {
	if entries <= 1 {
		return nil
	}

	for _, s := range d.services {
		g := s.groups[groupName]
		if s.levels == nil || g == nil {
			continue
		}

		if err := c.Check(g.ownPlaces(), entries); err != nil {
			return err
		}

		g.levels.sums, g.levels.validUntil = c, now.Add(priority.ReportTTL)
		s.levels.admission.SetSums(now, groupName, c, s.servingGroups())
	}

	return nil
}

// ownPlaces returns this entry's part of the places at the group's targets.
func (g *group) ownPlaces() float64 {
	places := 0.0
	for _, t := range g.targets {
		places += t.slots() / float64(max(1, t.Share.Entries))
	}

	return places
}

// servingGroups returns the names of the groups that have targets and are not broken.
func (s *service) servingGroups() []string {
	out := make([]string, 0, len(s.groups))

	for name, g := range s.groups {
		if len(g.targets) > 0 && g.brokenSince.IsZero() {
			out = append(out, name)
		}
	}

	return out
}
