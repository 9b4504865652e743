package admission

import (
	"time"
)

// Core decides about all requests to one target. Set the exported fields before the
// first call of a method. Core is not safe for concurrent use.
type Core struct {
	AgentID     string
	Incarnation uint64
	// Started is the start time of the incarnation and tick 0 of its credits.
	Started  time.Time
	Settings Settings

	ready        bool
	view         View
	draining     bool
	target       target
	ramp         ramp
	attempts     attemptStore
	allocator    allocator
	unknown      unknownWork
	running      map[string]*attempt
	meanDuration time.Duration
	// restUntil is the end of the rest that the target has asked for.
	restUntil time.Time
	// lastExpiry is the latest expiry of all credits granted so far.
	lastExpiry time.Time
}

// target is the state of the target as of its last announcement.
type target struct {
	up          bool
	announced   bool
	bootID      string
	service     string
	capacity    uint32
	announcedAt time.Time
}

// prepare fills in defaults and initial state at the first event.
func (c *Core) prepare() {
	if c.ready {
		return
	}

	c.ready = true
	c.Settings.fill()
	c.running = make(map[string]*attempt)
	c.allocator.entries = make(map[string]*entry)
	c.ramp.setBounds(0, 0, 0)
	c.ramp.reset(c.Started, c.Settings.RampInterval)
}

// ChangeView applies a view of the control configuration. A view with an older version
// than the current one is ignored, so that the configuration never reverts.
func (c *Core) ChangeView(now time.Time, v View) {
	c.prepare()

	if v == c.view || v.Version < c.view.Version {
		return
	}

	readmitted := c.view.excluded() && !v.excluded()
	c.view = v
	c.updateBounds(now)

	// A target without work may have been scaled down or lost its caches. When a
	// zone returns to service, all of its targets get work again immediately.
	if readmitted {
		c.ramp.reset(now, c.Settings.RampInterval)
	}
}

// updateBounds applies the limits of the view and the target's capacity. If the floor
// is lowered while the target is ramping, the ramp restarts from the new floor, since
// the current limit grew from the old one.
func (c *Core) updateBounds(now time.Time) {
	ramping := c.ramp.ramping()
	if c.ramp.setBounds(c.view.ColdLimit, c.view.WarmLimit, c.target.capacity) && ramping {
		c.ramp.reset(now, c.Settings.RampInterval)
	}
}

// Announce applies an announcement of the target.
func (c *Core) Announce(now time.Time, a Announcement) {
	c.prepare()
	c.Tick(now)

	first := !c.target.announced
	inFlightKnown := a.InFlightKnown && a.BootID == c.target.bootID
	cold := !c.target.up || a.BootID != c.target.bootID || (a.Cold && !c.ramp.engineCold)
	previous := c.target.announcedAt

	if a.BootID != c.target.bootID {
		c.restUntil = time.Time{}
	}

	c.target = target{up: true, announced: true, bootID: a.BootID, service: a.Service, capacity: a.Capacity, announcedAt: now}
	c.updateBounds(now)
	c.ramp.engineCold = a.Cold

	if cold {
		c.ramp.reset(now, c.Settings.RampInterval)
	}

	if first {
		c.unknown.addInherited(c.Started, now.Add(c.Settings.UnknownWorkTTL))
	}

	// The first in-flight count of a boot may be older than the last work sent to the
	// target, so it cannot show that this work has ended.
	if inFlightKnown {
		c.unknown.reconcile(int(a.InFlight), previous, c.runningAdmittedBefore(previous))
	}
}

// ReportCold records that the engine reported itself cold in the headers of an answer.
// Without it, an engine that turns cold between two announcements would get the load of
// a warm one for up to a second. The next announcement may report it warm again.
func (c *Core) ReportCold(now time.Time) {
	c.prepare()

	if !c.target.up || c.ramp.engineCold {
		return
	}

	c.ramp.engineCold = true
	c.ramp.reset(now, c.Settings.RampInterval)
}

// Rest records that the target, which could not serve a request, wants no more of them until a time.
func (c *Core) Rest(until time.Time) {
	c.prepare()

	if until.After(c.restUntil) {
		c.restUntil = until
	}
}

func (c *Core) isResting(now time.Time) bool { return now.Before(c.restUntil) }

// runningAdmittedBefore returns how many of the running attempts were admitted before at.
func (c *Core) runningAdmittedBefore(at time.Time) int {
	n := 0

	for _, a := range c.running {
		if a.admittedAt.Before(at) {
			n++
		}
	}

	return n
}

// TargetDown records that the target appears to be down.
func (c *Core) TargetDown(now time.Time) {
	c.prepare()

	if !c.target.up {
		return
	}

	c.target.up = false
	c.ramp.reset(now, c.Settings.RampInterval)
}

// Drain stops grants and admissions from now on. Requests in flight run to their end.
func (c *Core) Drain() {
	c.prepare()
	c.draining = true
}

// Drained reports whether the agent is draining and no request is in flight.
func (c *Core) Drained() bool { return c.draining && len(c.running) == 0 }

// Tick removes expired state, marks the target as down if its announcements have stopped,
// and drops the limit to its floor if first tokens are overdue.
func (c *Core) Tick(now time.Time) {
	c.prepare()
	c.attempts.expire(now)
	c.unknown.expire(now)
	c.allocator.sweep(now)

	if c.target.up && !now.Before(c.target.announcedAt.Add(c.Settings.AnnounceTimeout)) {
		c.TargetDown(now)
	}

	if c.ramp.limit > c.ramp.floor && c.firstTokensOverdue(now) {
		c.ramp.reset(now, c.Settings.RampInterval)
	}
}

// firstTokensOverdue reports whether so many requests have waited so long for their
// first token that the target must have turned cold. Without this check a cold target
// would be detected only when its late first tokens arrive, and would get full load
// until then.
func (c *Core) firstTokensOverdue(now time.Time) bool {
	if c.ramp.baseline.threshold == 0 {
		return false
	}

	overdue, waiting := 0, 0

	for _, a := range c.running {
		if a.firstTokenSeen {
			continue
		}

		waiting++

		if c.ramp.baseline.isSlow(a.firstTokenSample(now)) {
			overdue++
		}
	}

	return overdue >= slowStreakLimit && 2*overdue > waiting
}

// Load returns the load of the target.
func (c *Core) Load() Load {
	c.prepare()

	return Load{
		InFlight: uint32(len(c.running)),
		Limit:    uint32(c.limit()),
		Cold:     c.ramp.ramping(),
		Leaving:  c.draining || c.view.Retired,
		Unknown:  uint32(c.unknownCount()),
	}
}

// Memory returns how much state the core holds.
func (c *Core) Memory() MemoryUse {
	c.prepare()

	return MemoryUse{
		Attempts:    len(c.attempts.byID),
		AnswerBytes: c.attempts.answerBytes,
		Entries:     len(c.allocator.entries),
		Waiting:     c.allocator.total.waiting,
	}
}

// unknownCount returns how much unknown work counts against the limit now. On a warm
// target a canceled request frees its slot at once.
func (c *Core) unknownCount() int {
	return c.unknown.count(c.ramp.ramping())
}

// limit returns how many requests the target may hold now.
func (c *Core) limit() int {
	if !c.target.up {
		return 0
	}

	return c.ramp.current()
}
