package expertmap

import (
	"fmt"
	"time"
)

// Coordinator is the core at each control VM for one group. On every VM it
// follows the log; on the leader it also drives the switches. Set the exported
// fields before the first event. One goroutine uses it.
type Coordinator struct {
	// Ranks is how many ranks the group has.
	Ranks int
	// Margin is how many steps ahead a switch is named. Where the decision
	// reaches all ranks within Margin steps, no step waits for it.
	Margin Step
	// StageTimeout bounds the staging of a map, PrepareFor the time from then to the decision.
	StageTimeout, PrepareTimeout time.Duration
	// ResendInterval is how often unanswered orders and entries are repeated.
	ResendInterval time.Duration

	record   Record
	leading  bool
	ranks    []rankView
	progress switchProgress
	resendAt time.Time
}

// rankView is what the leader has heard of a rank. It is empty after a change of lead.
type rankView struct {
	reported bool
	status   Status
	// confirming is the incarnation for which a confirming entry is under way.
	confirming uint64
}

// phase is how far a switch is.
type phase uint8

const (
	phaseIdle phase = iota
	phaseBeginning
	phaseStaging
	phasePreparing
	phaseCommitting
	phaseAborting
)

// switchProgress is the switch that this leader drives.
type switchProgress struct {
	phase    phase
	version  Version
	fence    Fence
	step     Step
	deadline time.Time
}

// ProposeError says why a proposal was not taken up.
type ProposeError struct {
	Version Version
	Reason  string
}

// Error implements error.
func (e *ProposeError) Error() string {
	return fmt.Sprintf("expert map %d: %s", e.Version, e.Reason)
}

// Record returns what this VM knows of the log.
func (c *Coordinator) Record() Record { return c.record }

// Start sets the record of a group from a snapshot, or its first ruling. It
// comes before any other event.
func (c *Coordinator) Start(r Record) { c.record = r }

// Lead takes in that this VM leads and has applied all earlier entries. A
// switch that an earlier leader left open is aborted: its promises are not in
// the log, and waiting for them would hold the group.
func (c *Coordinator) Lead(now time.Time) []Action {
	c.leading = true
	c.ranks = make([]rankView, c.Ranks)
	c.progress = switchProgress{}
	c.resendAt = now
	if c.record.Open.Fence != 0 {
		c.progress = switchProgress{phase: phaseAborting, version: c.record.Open.Version, fence: c.record.Open.Fence}
	}

	return c.Tick(now)
}

// Follow takes in that this VM no longer leads.
func (c *Coordinator) Follow() []Action {
	c.leading = false
	c.ranks = nil
	if c.progress.phase == phaseIdle {
		return nil
	}
	v := c.progress.version
	c.progress = switchProgress{}

	return []Action{{Kind: ActionDone, Version: v, Outcome: Unknown}}
}

// Propose begins the switch to v. The error is a *ProposeError.
func (c *Coordinator) Propose(now time.Time, v Version) ([]Action, error) {
	switch {
	case !c.leading:
		return nil, &ProposeError{Version: v, Reason: "this VM does not lead"}
	case c.progress.phase != phaseIdle || c.record.Open.Fence != 0:
		return nil, &ProposeError{Version: v, Reason: "another switch is open"}
	case v <= c.record.Current.Version:
		return nil, &ProposeError{Version: v, Reason: "not newer than the ruling map"}
	}
	c.progress = switchProgress{phase: phaseBeginning, version: v, deadline: now.Add(c.StageTimeout)}
	c.resendAt = now

	return c.Tick(now), nil
}

// Apply takes in the entry at index of the log, on every VM, in order.
func (c *Coordinator) Apply(now time.Time, index Fence, e Entry) []Action {
	previous := c.record
	c.record.Apply(index, e)
	if !c.leading {
		return nil
	}

	var out []Action
	if previous.Open != c.record.Open {
		out = c.onSwitchChanged(now, previous)
	}
	if e.Kind == EntryConfirm && e.Rank < len(c.ranks) {
		out = c.onConfirmEntry(index, e, out)
	}

	return out
}

// onSwitchChanged follows a switch that opened or ended in the log.
func (c *Coordinator) onSwitchChanged(now time.Time, previous Record) []Action {
	open := c.record.Open
	c.resendAt = now
	switch {
	case open.Fence != 0 && c.progress.phase == phaseBeginning && c.progress.version == open.Version:
		c.progress.phase, c.progress.fence = phaseStaging, open.Fence
	case open.Fence != 0:
		// An entry of an earlier lead arrived late. Nobody waits for it.
		c.progress = switchProgress{phase: phaseAborting, version: open.Version, fence: open.Fence}
	default:
		return c.onSwitchEnded(now, previous.Open)
	}

	return c.Tick(now)
}

func (c *Coordinator) onSwitchEnded(now time.Time, open Switch) []Action {
	outcome := Aborted
	if c.record.Current.Fence == open.Fence {
		outcome = Committed
	}
	var out []Action
	if c.progress.fence == open.Fence {
		c.progress = switchProgress{}
		out = append(out, Action{Kind: ActionDone, Version: open.Version, Outcome: outcome})
	}

	return append(out, c.Tick(now)...)
}

// onConfirmEntry tells a rank which map rules. That the entry was applied shows that
// this VM led after the rank asked. A deposed leader cannot get here, so what it
// believes to rule never reaches a rank that could not know better.
func (c *Coordinator) onConfirmEntry(index Fence, e Entry, out []Action) []Action {
	v := &c.ranks[e.Rank]
	if v.confirming == e.Incarnation {
		v.confirming = 0
	}
	if c.record.Open.Fence != 0 || v.status.Incarnation != e.Incarnation || v.status.Confirmed {
		return out
	}

	return append(out, c.newOrder(OrderConfirm, e.Rank, index))
}

// Receive takes in a rank's status.
func (c *Coordinator) Receive(now time.Time, s Status) []Action {
	if !c.leading || s.Rank < 0 || s.Rank >= c.Ranks {
		return nil
	}
	v := &c.ranks[s.Rank]
	if v.reported && s.Incarnation < v.status.Incarnation {
		return nil
	}
	if s.Incarnation > v.status.Incarnation {
		*v = rankView{}
	}
	v.merge(s)

	return c.advance(now)
}

// merge takes the newer of each field: statuses may overtake each other.
func (v *rankView) merge(s Status) {
	if !v.reported {
		v.reported, v.status = true, s

		return
	}
	w := &v.status
	w.Confirmed = s.Confirmed || (w.Confirmed && s.AsOf < w.AsOf)
	w.Joined = max(w.Joined, s.Joined)
	w.Staged = max(w.Staged, s.Staged)
	w.Promised = max(w.Promised, s.Promised)
	w.Refused = max(w.Refused, s.Refused)
	w.AsOf = max(w.AsOf, s.AsOf)
	w.HighestFence = max(w.HighestFence, s.HighestFence)
}

// advance moves the switch on as far as the ranks' statuses allow.
func (c *Coordinator) advance(now time.Time) []Action {
	switch c.progress.phase {
	case phaseStaging, phasePreparing:
		if c.mustAbort() {
			c.progress.phase = phaseAborting
			c.resendAt = now
		}
	case phaseIdle, phaseBeginning, phaseCommitting, phaseAborting:
	}
	if c.progress.phase == phaseStaging && c.allRanks(func(s *Status) bool { return s.Staged == c.progress.fence }) {
		c.progress.phase, c.progress.deadline = phasePreparing, now.Add(c.PrepareTimeout)
		c.progress.step = c.latestStep() + max(1, c.Margin)
		c.resendAt = now
	}
	if c.progress.phase == phasePreparing && c.allRanks(func(s *Status) bool { return s.Promised == c.progress.fence }) {
		c.progress.phase = phaseCommitting
		c.resendAt = now
	}

	return c.Tick(now)
}

// mustAbort reports whether a rank refused the switch or forgot what it staged.
func (c *Coordinator) mustAbort() bool {
	for i := range c.ranks {
		s := &c.ranks[i].status
		if s.Refused == c.progress.fence || (c.ranks[i].reported && !s.Confirmed) {
			return true
		}
	}

	return false
}

func (c *Coordinator) allRanks(done func(*Status) bool) bool {
	for i := range c.ranks {
		if !c.ranks[i].reported || !done(&c.ranks[i].status) {
			return false
		}
	}

	return true
}

// latestStep returns the latest step that any rank is known to have begun, or that
// the present ruling begins at.
func (c *Coordinator) latestStep() Step {
	s := c.record.Current.Step
	for i := range c.ranks {
		s = max(s, c.ranks[i].status.Joined)
	}

	return s
}
