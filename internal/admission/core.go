package admission

import (
	"time"
)

// Core decides about all work of one target. Set the exported fields before the
// first event. It is not safe for concurrent use.
type Core struct {
	AgentID     string
	Incarnation uint64
	// Started is when the incarnation began: tick 0 of its credits.
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
	// lastExpiry is the latest expiry of a credit that was granted.
	lastExpiry time.Time
}

// target is what the target last said of itself.
type target struct {
	up          bool
	announced   bool
	bootID      string
	service     string
	capacity    uint32
	announcedAt time.Time
}

// prepare fills what the caller left out, at the first event.
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

// ChangeView takes the control configuration into account. A version that is
// older than the known one is ignored, so that the view never reverts.
func (c *Core) ChangeView(now time.Time, v View) {
	c.prepare()

	if v == c.view || v.Version < c.view.Version {
		return
	}

	readmitted := c.view.excluded() && !v.excluded()
	c.view = v
	c.updateBounds(now)

	// A target that got no work for a while may have been scaled down or lost its
	// caches, and with a whole zone all of its targets get work again at once.
	if readmitted {
		c.ramp.reset(now, c.Settings.RampInterval)
	}
}

// updateBounds takes the limits over. A target that is still ramping must not keep
// a limit that came from a floor which the operators have lowered since.
func (c *Core) updateBounds(now time.Time) {
	ramping := c.ramp.ramping()
	if c.ramp.setBounds(c.view.ColdLimit, c.view.WarmLimit, c.target.capacity) && ramping {
		c.ramp.reset(now, c.Settings.RampInterval)
	}
}

// Announce takes the target's own word.
func (c *Core) Announce(now time.Time, a Announcement) {
	c.prepare()
	c.Tick(now)

	first := !c.target.announced
	inFlightKnown := a.InFlightKnown && a.BootID == c.target.bootID
	cold := !c.target.up || a.BootID != c.target.bootID || (a.Cold && !c.ramp.engineCold)
	previous := c.target.announcedAt

	c.target = target{up: true, announced: true, bootID: a.BootID, service: a.Service, capacity: a.Capacity, announcedAt: now}
	c.updateBounds(now)
	c.ramp.engineCold = a.Cold

	if cold {
		c.ramp.reset(now, c.Settings.RampInterval)
	}

	if first {
		c.unknown.inherit(c.Started, now.Add(c.Settings.UnknownWorkTTL))
	}

	// A first count may have been taken before the work was sent that it would deny.
	if inFlightKnown {
		c.unknown.reconcile(int(a.InFlight), previous, c.runningSince(previous))
	}
}

// ReportCold takes the target's word, on the head of an answer, that it is cold. It
// guards against an engine that turns cold between two announcements: for up to
// a second it would get as much as a warm one. The next announcement may lift it.
func (c *Core) ReportCold(now time.Time) {
	c.prepare()

	if !c.target.up || c.ramp.engineCold {
		return
	}

	c.ramp.engineCold = true
	c.ramp.reset(now, c.Settings.RampInterval)
}

// runningSince counts the running attempts that were admitted before at.
func (c *Core) runningSince(at time.Time) int {
	n := 0

	for _, a := range c.running {
		if a.admittedAt.Before(at) {
			n++
		}
	}

	return n
}

// TargetDown takes a sign that the target is gone.
func (c *Core) TargetDown(now time.Time) {
	c.prepare()

	if !c.target.up {
		return
	}

	c.target.up = false
	c.ramp.reset(now, c.Settings.RampInterval)
}

// Drain stops grants and admissions for good; work in flight finishes.
func (c *Core) Drain() {
	c.prepare()
	c.draining = true
}

// Drained reports whether the agent is leaving and nothing is in flight.
func (c *Core) Drained() bool { return c.draining && len(c.running) == 0 }

// Tick drops what has expired and looks for a target that has gone silent or cold.
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

// firstTokensOverdue reports whether first tokens are missing on so many requests, for so
// long, that the target must have turned cold. Without it a cold target would be
// found out only once its late first tokens have come, and be filled until then.
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

// Load reports on the target.
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

// Memory reports what is remembered.
func (c *Core) Memory() MemoryUse {
	c.prepare()

	return MemoryUse{
		Attempts:    len(c.attempts.byID),
		AnswerBytes: c.attempts.answerBytes,
		Entries:     len(c.allocator.entries),
		Waiting:     c.allocator.total.waiting,
	}
}

// unknownCount is how much unknown work counts against the limit now. On a warm
// target cancelled work frees its place at once.
func (c *Core) unknownCount() int {
	return c.unknown.count(c.ramp.ramping())
}

// limit is how many requests the target may hold now.
func (c *Core) limit() int {
	if !c.target.up {
		return 0
	}

	return c.ramp.current()
}
