package expertmap

import (
	"time"
)

// Tick sends unanswered orders and entries again and aborts a switch that has
// timed out.
func (c *Coordinator) Tick(now time.Time) []Action {
	if !c.leading {
		return nil
	}
	out := c.abortExpired(now)
	if now.Before(c.resendAt) {
		return out
	}
	c.resendAt = now.Add(c.ResendInterval)
	out = c.appendPending(out)
	for r := range c.ranks {
		out = c.resendOrder(r, out)
	}

	return out
}

// abortExpired aborts a switch whose deadline has passed. A switch whose commit
// has been proposed is not aborted; the log decides it.
func (c *Coordinator) abortExpired(now time.Time) []Action {
	if c.progress.phase == phaseIdle || c.progress.deadline.IsZero() || now.Before(c.progress.deadline) {
		return nil
	}
	v := c.progress.version
	switch c.progress.phase {
	case phaseBeginning:
		c.progress = switchProgress{}

		return []Action{{Kind: ActionDone, Version: v, Outcome: Aborted}}
	case phaseStaging, phasePreparing:
		c.progress.phase = phaseAborting
		c.resendAt = now
	case phaseIdle, phaseCommitting, phaseAborting:
	}

	return nil
}

// appendPending proposes the entry that the switch waits for.
func (c *Coordinator) appendPending(out []Action) []Action {
	e := Entry{Fence: c.progress.fence}
	switch c.progress.phase {
	case phaseBeginning:
		e = Entry{Kind: EntryBegin, Version: c.progress.version}
	case phaseCommitting:
		e.Kind, e.Step = EntryCommit, c.progress.step
	case phaseAborting:
		e.Kind = EntryAbort
	case phaseIdle, phaseStaging, phasePreparing:
		return out
	}

	return append(out, Action{Kind: ActionAppend, Entry: e})
}

// resendOrder sends rank r the order or entry that it is waiting for.
func (c *Coordinator) resendOrder(r int, out []Action) []Action {
	v := &c.ranks[r]
	s := &v.status
	switch {
	case !v.reported:
		return out
	case !s.Confirmed:
		if c.record.Open.Fence != 0 {
			return out // the open switch is decided first
		}
		v.confirming = s.Incarnation

		return append(out, Action{Kind: ActionAppend, Entry: Entry{Kind: EntryConfirm, Rank: r, Incarnation: s.Incarnation}})
	case c.record.Open.Fence == 0 && s.AsOf < c.record.AsOf:
		return append(out, c.newOrder(OrderInform, r, c.record.AsOf))
	case c.progress.phase == phaseStaging && s.Staged != c.progress.fence:
		return append(out, c.newOrder(OrderStage, r, c.progress.fence))
	case c.progress.phase == phasePreparing && s.Promised != c.progress.fence:
		return append(out, c.newOrder(OrderPrepare, r, c.progress.fence))
	}

	return out
}

func (c *Coordinator) newOrder(k OrderKind, r int, f Fence) Action {
	return Action{Kind: ActionOrder, Order: Order{
		Kind: k, Rank: r, Incarnation: c.ranks[r].status.Incarnation,
		Fence: f, Version: c.record.Open.Version, Step: c.progress.step, Record: c.record,
	}}
}
