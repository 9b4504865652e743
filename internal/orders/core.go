package orders

import "time"

// Core decides about the orders of one engine. Set the exported fields before the
// first event. It is not safe for concurrent use.
type Core struct {
	AgentID     string
	Incarnation uint64
	// UnsettledTimeout is how long an order that got no answer, or one that an earlier agent
	// may have sent, bars later ones at an engine that ignores numbers.
	UnsettledTimeout time.Duration

	highestKnown bool
	highest      uint64
	// last is the order with the highest number, state says how far it has come.
	last   Order
	state  orderState
	result Result
	// running is the number of the order at the engine, 0 for none.
	running  uint64
	bootID   string
	enforces bool
	leaving  bool
	// unsettledUntil is until when the engine may still carry out an order that
	// nobody waits for any more.
	unsettledSince time.Time
	unsettledUntil time.Time
	reportedAt     time.Time
	initialized    bool
}

// Submit decides about one order.
func (c *Core) Submit(now time.Time, o Order) Decision {
	c.init(now)

	if cause := c.rejectionCause(o); cause != CauseNone {
		return c.reject(cause)
	}

	if o.FencingNumber == c.highest {
		if d, known := c.repeat(o); known {
			return d
		}
	}

	c.highest = o.FencingNumber
	c.last = o
	c.state = stateNotSent

	switch {
	case c.running != 0:
		return c.reject(CauseBusy)
	case !c.enforces && now.Before(c.unsettledUntil):
		return c.reject(CauseUnsettled)
	}

	c.state = stateRunning
	c.running = o.FencingNumber

	return Decision{Action: ActionSend, Highest: c.highest}
}

// init assumes the worst about an agent's predecessor: that its last order is
// still worked on.
func (c *Core) init(now time.Time) {
	if c.initialized {
		return
	}

	c.initialized = true
	if c.UnsettledTimeout == 0 {
		c.UnsettledTimeout = DefaultUnsettledTimeout
	}

	c.markUnsettled(now)
}

// markUnsettled bars other orders, as the engine may work on one that nobody waits for.
func (c *Core) markUnsettled(now time.Time) {
	c.unsettledSince = now
	c.unsettledUntil = now.Add(c.UnsettledTimeout)
}

// rejectionCause says why o is not even looked at, or CauseNone.
func (c *Core) rejectionCause(o Order) Cause {
	switch {
	case o.FencingNumber == 0 || o.Kind == KindNone || o.Kind > KindSwitchMap:
		return CauseMalformed
	case o.AgentID != c.AgentID || o.Incarnation != c.Incarnation:
		return CauseIncarnation
	case !c.highestKnown:
		return CauseHighestUnknown
	case o.FencingNumber < c.highest:
		return CauseFenced
	case c.leaving && o.FencingNumber != c.running:
		return CauseLeaving
	default:
		return CauseNone
	}
}

func (c *Core) reject(cause Cause) Decision {
	return Decision{Action: ActionRefuse, Result: Result{Cause: cause}, Highest: c.highest}
}

// repeat answers an order with the highest number; it isn't known if that one came
// and wasn't sent yet.
func (c *Core) repeat(o Order) (Decision, bool) {
	switch {
	case c.state == stateUnknown:
		return c.reject(CauseAnswerLost), true
	case o != c.last:
		return c.reject(CauseConflict), true
	case c.state == stateRunning:
		return Decision{Action: ActionJoin, Highest: c.highest}, true
	case c.state == stateEnded:
		return Decision{Action: ActionAnswer, Result: c.result, Highest: c.highest}, true
	default:
		return Decision{}, false
	}
}

// Completed takes the engine's answer to the order with this number.
//
// An answer to any other order than the one at the engine changes nothing: it
// comes late, of an order that was given up, and a later one may be in force.
func (c *Core) Completed(now time.Time, number uint64, r Result) {
	if !c.finish(number, r) {
		return
	}

	c.unsettledUntil = now
}

// Unanswered takes the end of an order without the engine's answer. The engine may
// still carry it out, so one that ignores numbers gets no other order for a while:
// the late effect of this one would undo the later one's.
func (c *Core) Unanswered(now time.Time, number uint64) {
	c.init(now)

	if c.finish(number, Result{Cause: CauseUnanswered}) {
		c.markUnsettled(now)
	}
}

// finish clears the engine of the order with this number.
func (c *Core) finish(number uint64, r Result) bool {
	if number == 0 || number != c.running {
		return false
	}

	c.running = 0

	if number == c.highest {
		c.state = stateEnded
		c.result = r
	}

	return true
}

// Report takes the engine's word on itself.
func (c *Core) Report(now time.Time, r Report) {
	c.init(now)

	if c.bootID != "" && r.BootID != c.bootID {
		// What the former process worked on is gone with it.
		c.finish(c.running, Result{Cause: CauseEngineRestarted})
		c.unsettledUntil = now
	}

	c.bootID = r.BootID
	c.enforces = r.EnforcesFencing

	if r.HasHighest {
		c.ObserveNumber(r.Highest)
	}

	// A report that was on its way may be older than the order. The engine writes one
	// after the other, so only one that follows another since then tells.
	if r.Idle && c.running == 0 && !c.reportedAt.Before(c.unsettledSince) {
		c.unsettledUntil = now
	}

	c.reportedAt = now
}

// ObserveNumber takes a number that was used before, from the engine or from the control
// configuration. Until then a restarted agent takes no order: it could be one that
// a later one has replaced.
func (c *Core) ObserveNumber(number uint64) {
	c.highestKnown = true

	if number > c.highest {
		c.highest = number
		c.last = Order{}
		c.state = stateUnknown
	}
}

// Drain refuses new orders for good; a running one ends.
func (c *Core) Drain() { c.leaving = true }

// Running is the number of the order at the engine, 0 for none.
func (c *Core) Running() uint64 { return c.running }

// Highest is the highest number seen.
func (c *Core) Highest() uint64 { return c.highest }
