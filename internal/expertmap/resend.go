package expertmap

import (
	"time"
)

// Tick repeats what is unanswered and ends what takes too long.
func (c *Coordinator) Tick(now time.Time) []Action {
	if !c.leading {
		return nil
	}
	out := c.expire(now)
	if now.Before(c.tickAt) {
		return out
	}
	c.tickAt = now.Add(c.ResendInterval)
	out = c.appendAgain(out)
	for r := range c.ranks {
		out = c.orderAgain(r, out)
	}

	return out
}

// expire aborts a switch that has used up its time. A switch whose commit is
// under way is left to the log.
func (c *Coordinator) expire(now time.Time) []Action {
	if c.job.phase == phaseIdle || c.job.by.IsZero() || now.Before(c.job.by) {
		return nil
	}
	v := c.job.version
	switch c.job.phase {
	case phaseBeginning:
		c.job = job{}

		return []Action{{Kind: ActionDone, Version: v, Outcome: Aborted}}
	case phaseStaging, phasePreparing:
		c.job.phase = phaseAborting
		c.tickAt = now
	case phaseIdle, phaseCommitting, phaseAborting:
	}

	return nil
}

// appendAgain proposes the entry that the switch waits for.
func (c *Coordinator) appendAgain(out []Action) []Action {
	e := Entry{Fence: c.job.fence}
	switch c.job.phase {
	case phaseBeginning:
		e = Entry{Kind: EntryBegin, Version: c.job.version}
	case phaseCommitting:
		e.Kind, e.Step = EntryCommit, c.job.step
	case phaseAborting:
		e.Kind = EntryAbort
	case phaseIdle, phaseStaging, phasePreparing:
		return out
	}

	return append(out, Action{Kind: ActionAppend, Entry: e})
}

// orderAgain sends rank r what it lacks.
func (c *Coordinator) orderAgain(r int, out []Action) []Action {
	v := &c.ranks[r]
	s := &v.status
	switch {
	case !v.heard:
		return out
	case !s.Confirmed:
		if c.record.Open.Fence != 0 {
			return out // the switch ends first
		}
		v.confirming = s.Incarnation

		return append(out, Action{Kind: ActionAppend, Entry: Entry{Kind: EntryConfirm, Rank: r, Incarnation: s.Incarnation}})
	case c.record.Open.Fence == 0 && s.AsOf < c.record.AsOf:
		return append(out, c.order(OrderInform, r, c.record.AsOf))
	case c.job.phase == phaseStaging && s.Staged != c.job.fence:
		return append(out, c.order(OrderStage, r, c.job.fence))
	case c.job.phase == phasePreparing && s.Promised != c.job.fence:
		return append(out, c.order(OrderPrepare, r, c.job.fence))
	}

	return out
}

func (c *Coordinator) order(k OrderKind, r int, f Fence) Action {
	return Action{Kind: ActionOrder, Order: Order{
		Kind: k, Rank: r, Incarnation: c.ranks[r].status.Incarnation,
		Fence: f, Version: c.record.Open.Version, Step: c.job.step, Record: c.record,
	}}
}
