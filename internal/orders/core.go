package orders

import "time"

// Core decides about the orders for one engine. Set the exported fields before the
// first call of a method. Core is not safe for concurrent use.
type Core struct {
	AgentID     string
	Incarnation uint64
	// UnsettledTimeout is how long later orders are rejected after an order without an
	// answer, or after a restart of the agent, whose previous incarnation may have sent
	// one. It applies only to engines that ignore fencing numbers.
	UnsettledTimeout time.Duration

	highestKnown bool
	highest      uint64
	// last is the order with the highest number, state its progress, and result its
	// result once it has ended.
	last   Order
	state  orderState
	result Result
	// running is the number of the order that the engine is carrying out, or 0.
	running         uint64
	bootID          string
	enforcesFencing bool
	draining        bool
	// Between unsettledSince and unsettledUntil the engine may still carry out an
	// order whose answer is no longer awaited.
	unsettledSince time.Time
	unsettledUntil time.Time
	reportedAt     time.Time
	initialized    bool
}

// Submit decides whether o is sent to the engine, joined to the same running order,
// answered from the recorded result, or rejected.
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
	case !c.enforcesFencing && now.Before(c.unsettledUntil):
		return c.reject(CauseUnsettled)
	}

	c.state = stateRunning
	c.running = o.FencingNumber

	return Decision{Action: ActionSend, Highest: c.highest}
}

// init fills in the default timeout. It assumes the worst case, in which the engine
// is still working on an order of the agent's previous incarnation.
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

// markUnsettled blocks other orders for UnsettledTimeout, because the engine may still
// be working on an order whose answer is no longer awaited.
func (c *Core) markUnsettled(now time.Time) {
	c.unsettledSince = now
	c.unsettledUntil = now.Add(c.UnsettledTimeout)
}

// rejectionCause returns why o is rejected before it is compared with the last order,
// or CauseNone.
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
	case c.draining && o.FencingNumber != c.running:
		return CauseLeaving
	default:
		return CauseNone
	}
}

func (c *Core) reject(cause Cause) Decision {
	return Decision{Action: ActionReject, Result: Result{Cause: cause}, Highest: c.highest}
}

// repeat decides about an order with the highest number seen so far. It reports false
// if that order was received but never sent, so that it can be sent now.
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

// Completed records the engine's answer to the order with this number.
//
// An answer to an order that is not running is ignored. It is the late answer to an
// order recorded as unanswered, and a later order may have replaced that one.
func (c *Core) Completed(now time.Time, number uint64, r Result) {
	if !c.finish(number, r) {
		return
	}

	c.unsettledUntil = now
}

// Unanswered records that an order ended without the engine's answer. The engine may
// still carry it out. An engine that ignores fencing numbers therefore gets no other
// order for UnsettledTimeout, since the late effect of this one would undo the other.
func (c *Core) Unanswered(now time.Time, number uint64) {
	c.init(now)

	if c.finish(number, Result{Cause: CauseUnanswered}) {
		c.markUnsettled(now)
	}
}

// finish ends the running order if it has this number, and reports whether it did.
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

// Report records a status report of the engine.
func (c *Core) Report(now time.Time, r Report) {
	c.init(now)

	if c.bootID != "" && r.BootID != c.bootID {
		// The order ended with the previous engine process.
		c.finish(c.running, Result{Cause: CauseEngineRestarted})
		c.unsettledUntil = now
	}

	c.bootID = r.BootID
	c.enforcesFencing = r.EnforcesFencing

	if r.HasHighest {
		c.ObserveNumber(r.Highest)
	}

	// A report received after the order ended may have been written before. The engine
	// writes its reports one after the other, so an idle report is conclusive only
	// if another report has been received since the order ended.
	if r.Idle && c.running == 0 && !c.reportedAt.Before(c.unsettledSince) {
		c.unsettledUntil = now
	}

	c.reportedAt = now
}

// ObserveNumber records a fencing number that was used before, as reported by the
// engine or by the control configuration. Until the first such number a restarted
// agent rejects all orders, because a later order may have replaced them.
func (c *Core) ObserveNumber(number uint64) {
	c.highestKnown = true

	if number > c.highest {
		c.highest = number
		c.last = Order{}
		c.state = stateUnknown
	}
}

// Drain rejects all new orders from now on. A running order is carried out to its end.
func (c *Core) Drain() { c.draining = true }

// Running returns the number of the order that the engine is carrying out, or 0.
func (c *Core) Running() uint64 { return c.running }

// Highest returns the highest fencing number seen.
func (c *Core) Highest() uint64 { return c.highest }
