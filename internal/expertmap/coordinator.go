package expertmap

import (
	"fmt"
	"time"
)

// Coordinator coordinates the map switches of one group on a control VM. On
// every VM it follows the log; on the leader it also drives the switches. Set
// the exported fields before the first event. A Coordinator is not safe for
// concurrent use.
type Coordinator struct {
	// Ranks is the number of ranks in the group.
	Ranks int
	// SwitchLead is the number of steps between the latest step that any rank has
	// begun and the first step of a new map. If the decision reaches all ranks
	// within SwitchLead steps, no step is delayed by the switch.
	SwitchLead Step
	// StageTimeout bounds the time from a proposal until every rank has loaded
	// the map, PrepareTimeout the time from then until every rank has promised to
	// hold.
	StageTimeout, PrepareTimeout time.Duration
	// ResendInterval is the interval at which unanswered orders and entries are
	// sent again.
	ResendInterval time.Duration

	record   Record
	leading  bool
	ranks    []rankView
	progress switchProgress
	resendAt time.Time
}

// rankView is what the leader has received from a rank. A new leader starts
// with empty views.
type rankView struct {
	reported bool
	status   Status
	// confirming is the incarnation for which an EntryConfirm is pending.
	confirming uint64
}

// phase is the progress of a switch.
type phase uint8

const (
	phaseIdle phase = iota
	phaseBeginning
	phaseStaging
	phasePreparing
	phaseCommitting
	phaseAborting
)

// switchProgress is the state of the switch that this leader drives.
type switchProgress struct {
	phase    phase
	version  Version
	fence    Fence
	step     Step
	deadline time.Time
}

// ProposeError is the reason why a proposal was rejected.
type ProposeError struct {
	Version Version
	Reason  string
}

// Error implements error.
func (e *ProposeError) Error() string {
	return fmt.Sprintf("expert map %d: %s", e.Version, e.Reason)
}

// Record returns the group's record as of the last log entry applied on this
// VM.
func (c *Coordinator) Record() Record { return c.record }

// Start sets the group's record, from a snapshot or for a new group. It must be
// called before any other event.
func (c *Coordinator) Start(r Record) { c.record = r }

// Lead makes this VM the leader, after it has applied all earlier entries. A
// switch that an earlier leader left open is aborted: the ranks' promises are
// not in the log, and waiting for them would stall the group.
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

// Follow makes this VM a follower.
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
		return nil, &ProposeError{Version: v, Reason: "this VM is not the leader"}
	case c.progress.phase != phaseIdle || c.record.Open.Fence != 0:
		return nil, &ProposeError{Version: v, Reason: "another switch is in progress"}
	case v <= c.record.Current.Version:
		return nil, &ProposeError{Version: v, Reason: "version is not newer than the current map"}
	}
	c.progress = switchProgress{phase: phaseBeginning, version: v, deadline: now.Add(c.StageTimeout)}
	c.resendAt = now

	return c.Tick(now), nil
}

// Apply applies the log entry at index. Every VM calls it for each entry in log
// order.
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

// onSwitchChanged handles an entry that opened or ended a switch.
func (c *Coordinator) onSwitchChanged(now time.Time, previous Record) []Action {
	open := c.record.Open
	c.resendAt = now
	switch {
	case open.Fence != 0 && c.progress.phase == phaseBeginning && c.progress.version == open.Version:
		c.progress.phase, c.progress.fence = phaseStaging, open.Fence
	case open.Fence != 0:
		// The entry was proposed under an earlier leadership and applied late. No
		// proposal waits for this switch.
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

// onConfirmEntry sends a rank the current map. That the entry was applied
// proves that this VM was the leader after the rank reported that it has no
// confirmed record. A deposed leader never gets here, so a rank without a
// record is never sent an outdated one.
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

// Receive processes a rank's status.
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

// merge takes the newer value of each field, because statuses may arrive out of
// order.
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

// advance moves the switch to its next phase once the ranks' statuses allow it.
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
		c.progress.step = c.latestStep() + max(1, c.SwitchLead)
		c.resendAt = now
	}
	if c.progress.phase == phasePreparing && c.allRanks(func(s *Status) bool { return s.Promised == c.progress.fence }) {
		c.progress.phase = phaseCommitting
		c.resendAt = now
	}

	return c.Tick(now)
}

// mustAbort reports whether a rank refused the switch or lost the map that it
// had staged.
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

// latestStep returns the latest step that any rank has reported as begun, but
// at least the first step of the current map.
func (c *Coordinator) latestStep() Step {
	s := c.record.Current.Step
	for i := range c.ranks {
		s = max(s, c.ranks[i].status.Joined)
	}

	return s
}
