package dispatch

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/forecast"
)

// capacityPlan is how many requests a group of a prioritized service may run, all entries together.
// It follows the forecast of the group's passes instead of the limits that follow observed event
// gaps. All ranks wait for each other, so only the sum over the group matters: a limit for each
// target would refuse requests while other targets have places.
//
// Load pattern: a busy group whose demand for experts shifts every few seconds, and entries that
// receive different numbers of requests.
type capacityPlan struct {
	forecast.Decision

	// limit is the number of requests that all entries may have at the targets of the group that
	// this entry uses, and share this entry's part of it. load and own are the numbers now.
	limit, share float64
	load, own    float64
	// usable is the number of targets that count.
	usable float64
	// unknownLoad is the part of limit at targets whose load is not known well enough to borrow.
	unknownLoad float64
	// otherEntries is the mean number of other entries at a target.
	otherEntries float64
	// passUntil is when the present pass has ended for certain, if the forecast is right. started is
	// the number of requests that this entry has started in it.
	passUntil time.Time
	started   float64
	// unusedStarts is the part of a start that was left over from earlier passes, below 1.
	unusedStarts float64
	// borrowUntil is when the load of others that is known now will be out of date. borrowLimit is
	// how many requests this entry may have until then.
	borrowUntil time.Time
	borrowLimit float64
}

// borrowInterval is how long the entries' placements take to become known to all of them: the
// interval of load reports, and the way there.
const borrowInterval = 150 * time.Millisecond

// updatePlans updates the plan of each group. It does nothing for a service that is not prioritized.
func (s *service) updatePlans(now time.Time, cfg *Settings) {
	if !s.Prioritized {
		return
	}

	for _, g := range s.groups {
		g.updatePlan(now, s, cfg)
	}
}

func (g *group) updatePlan(now time.Time, s *service, cfg *Settings) {
	p := &g.plan

	if len(g.targets) == 0 {
		p.Decision = forecast.Decision{}

		return
	}

	g.configureForecast(now, s)

	if g.isSlow(now) {
		p.Decision = forecast.Decision{}

		return
	}

	p.usable, p.load, p.own, p.otherEntries = 0, 0, 0, 0
	// sequences are those of all targets. parts is the sum of this entry's parts of the usable ones,
	// settling the number of new ones, and settlingLoad their load.
	sequences, parts, settling, settlingLoad := 0.0, 0.0, 0.0, 0.0

	for _, t := range g.targets {
		load, entries := t.load(now, cfg), float64(max(1, t.Share.Entries))
		sequences += load

		if t.isDraining(now) || t.Broken {
			continue
		}

		p.usable++
		p.load += load
		p.own += float64(t.inFlight)
		p.otherEntries += entries - 1
		parts += 1 / entries

		if t.isSettling(now) {
			settling++
			settlingLoad += load
		}
	}

	p.Decision = g.forecast.Decide(now, sequences/float64(len(g.targets)))
	if !p.Valid {
		return
	}

	p.limit, p.share = p.Limit*p.usable, p.Limit*parts
	p.unknownLoad = max(0, p.Limit*settling-settlingLoad)
	p.otherEntries /= max(1, p.usable)

	if !now.Before(p.passUntil) {
		p.startPass(now)
	}

	if !now.Before(p.borrowUntil) {
		p.borrowUntil = now.Add(borrowInterval)
		p.borrowLimit = max(p.own, p.ownShare()) + max(1, p.free(cfg)/(1+p.otherEntries))
	}
}

// configureForecast passes on what the forecast depends on and does not observe itself.
func (g *group) configureForecast(now time.Time, s *service) {
	g.forecast.Configure(forecast.Parameters{
		Figures: s.Engine, EventGap: s.EventGap, Timeout: s.Timeout, EventTimeout: s.EventTimeout, Slots: g.slots,
	})

	if now.After(g.slowdownsUntil) {
		g.updateSlowdowns(now)
	}

	g.forecast.SetSlowdown(g.maxSlowdown)
}

func (p *capacityPlan) startPass(now time.Time) {
	p.unusedStarts = min(max(0, p.ownStarts()-p.started), 1)
	p.passUntil, p.started = now.Add(time.Duration(passTolerance*float64(p.Pass))), 0
}

// passTolerance is how much longer than forecast a pass may take before another one is assumed to
// have begun without being observed.
const passTolerance = 1.5

// ownStarts returns this entry's part of the requests that may start in a pass.
func (p *capacityPlan) ownStarts() float64 {
	return p.Starts*p.usable/(1+p.otherEntries) + p.unusedStarts
}

// place counts a request that is placed in the group.
func (p *capacityPlan) place() {
	p.load++
	p.own++
	p.started++
}

// ownShare returns this entry's share of the group. An entry may always have one request.
func (p *capacityPlan) ownShare() float64 { return max(1, p.share) }

// isFull reports whether the group has no place for another request of this entry if only the given
// part of its limit may be used. If beyondShare is set, the entry's share does not matter.
func (p *capacityPlan) isFull(part float64, beyondShare bool, cfg *Settings) bool {
	// Its share is an entry's whatever the others have. Otherwise an entry that knows a lower limit
	// than the others gets no place at all.
	if p.own+1 <= part*p.ownShare() {
		return false
	}

	if beyondShare {
		return p.load+p.unknownLoad+1 > part*p.limit
	}

	return p.load+1 > part*p.limit || !p.mayBorrow(part, cfg)
}

// mayBorrow reports whether this entry may exceed its share. Until the load of others is known
// again, each entry takes only its part of the places that are free: after a limit has risen, all
// of them would take all.
func (p *capacityPlan) mayBorrow(part float64, cfg *Settings) bool {
	return p.own+1 <= p.borrowLimit && p.free(cfg)-(1-part)*p.limit >= 1
}

// free returns how many more requests all entries together may have, as far as this one knows, with
// a reserve for those of the others that are not known yet.
func (p *capacityPlan) free(cfg *Settings) float64 {
	return p.limit - p.load - p.unknownLoad - cfg.BorrowReserve*p.otherEntries
}

// mayStart reports whether this entry may start another request in the present pass. A pass that
// reads many prompts at once is long, and makes all running streams late.
func (p *capacityPlan) mayStart() bool { return p.started+1 <= p.ownStarts() }

// isSettling reports whether too little is known about the load of a new target to borrow there.
func (t *target) isSettling(now time.Time) bool {
	return now.Before(t.settlingUntil) && t.reports < settlingReports
}

// isPlanned reports whether the forecast limits the requests in the group of t.
func (s *service) isPlanned(t *target) bool { return s.Prioritized && t.group.plan.Valid }

// latePart returns the part of the group's limit that requests may use which are late already. If
// no stream can be in time, there are no others to keep places for.
func (p *capacityPlan) latePart(cfg *Settings) float64 {
	if p.Aim == forecast.MostLate {
		return 1
	}

	return max(cfg.LateUtilization, plannedLatePart)
}

// plannedLatePart is the part of a forecast limit that late requests may use. The limit is close to
// the usual load, as it keeps places free for shifts: with less, callers that return after a refusal
// would be refused again at usual load.
const plannedLatePart = 0.9

// isStartBlocked reports whether the passes of the group of t are too long to start a request now.
func (s *service) isStartBlocked(now time.Time, t *target) bool {
	if s.isPlanned(t) {
		return !t.group.plan.mayStart()
	}

	return s.Streams && t.group.startLimit.blocked(now)
}

// ReportGapDuration records the time between two events of a stream. It adds to what ReportEventGap
// records of the same gap.
func (d *Dispatcher) ReportGapDuration(now time.Time, placed Action, gap time.Duration) {
	s := d.services[placed.Target.Service]
	if s == nil || !s.Prioritized {
		return
	}

	g := s.groupOf(placed)
	if g == nil || len(g.targets) == 0 {
		return
	}

	pass, ok := g.forecast.DetectPass(now, gap)
	if !ok {
		return
	}

	load, own := 0.0, 0.0
	for _, t := range g.targets {
		load += t.load(now, &d.Settings)
		own += float64(t.inFlight)
	}

	// Requests that were placed during the pass run from the next one on. The other entries have
	// placed as many as this one, in proportion.
	if own > 0 {
		load *= max(0, 1-g.plan.started/own)
	}

	g.forecast.ObservePass(now, pass, load/float64(len(g.targets)))
	g.plan.startPass(now)
}

// ReportSkew records the skew of the expert map that a group uses, for its demand now.
func (d *Dispatcher) ReportSkew(now time.Time, serviceName, groupName string, skew float64) []Action {
	s := d.services[serviceName]
	if s == nil || !s.Prioritized || s.groups[groupName] == nil {
		return nil
	}

	s.groups[groupName].forecast.ObserveSkew(now, skew)

	return d.place(now, s)
}
