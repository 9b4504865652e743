package quorum

import (
	"time"
)

// bootstrapListenHeartbeats is how many heartbeat intervals a sole founder waits for
// messages before it bootstraps.
const bootstrapListenHeartbeats = 2

// bootstrap is the state of a founder with an empty data folder. The replica group may be
// new, or the founder may have been a member whose disk was lost. The founder asks all
// other founders and does not take part in the group until it can distinguish these cases.
type bootstrap struct {
	helloAt     time.Time
	creationIDs map[string]uint64
	diskLost    bool
}

func (c *Core) startBootstrap() {
	c.bootstrap = &bootstrap{helloAt: c.now, creationIDs: map[string]uint64{c.cfg.ID: c.cfg.CreationID}}

	// A sole founder has no other founder to ask. If its group has grown since and its
	// disk was lost, the other members still send messages to its previous creation ID.
	// The founder waits for such messages before it bootstraps, to avoid a second group of
	// the same name.
	if len(c.cfg.Founders) == 1 {
		c.bootstrap.helloAt = c.now.Add(bootstrapListenHeartbeats * c.cfg.HeartbeatInterval)
	}
}

func (c *Core) tickBootstrap() {
	if c.now.Before(c.bootstrap.helloAt) {
		return
	}

	c.bootstrap.helloAt = c.now.Add(c.cfg.HeartbeatInterval)

	for _, m := range c.cfg.Founders {
		if m.ID != c.cfg.ID {
			c.out.Send = append(c.out.Send, c.newMessage(m.ID, 0, 0, Hello{}))
		}
	}

	c.tryBootstrap()
}

// handleMisaddressed handles a message that names this replica's ID with another creation
// ID: a replica with this ID existed and its disk was lost. A replica that has
// bootstrapped a group of one in the meantime stops, so that callers don't take its state
// for that of the original group.
func (c *Core) handleMisaddressed() {
	switch {
	case c.bootstrap != nil:
		c.bootstrap.diskLost = true
	case len(c.currentMembers()) == 1 && c.currentMembers().isVoter(c.cfg.ID, c.cfg.CreationID):
		c.fault = &LostDiskError{ID: c.cfg.ID}
	}
}

func (c *Core) handleHello(m Message) {
	c.reply(m, 0, HelloAnswer{Members: c.currentMembers()})
}

// handleHelloAnswer handles the answer of another founder. If the founder belongs
// to a group that does not list this ID with this creation ID, this replica's disk was
// lost: it must not vote until it has been removed and added again as a learner.
func (c *Core) handleHelloAnswer(m Message, body HelloAnswer) {
	if c.bootstrap == nil {
		c.stopIfRemoved(body)

		return
	}

	if len(body.Members) == 0 {
		c.bootstrap.creationIDs[m.From] = m.FromCreationID
		c.tryBootstrap()

		return
	}

	self, ok := body.Members.Find(c.cfg.ID)
	if !ok || self.Birth != c.cfg.CreationID {
		c.bootstrap.diskLost = true

		return
	}

	c.finishBootstrap(body.Members)
}

// tryBootstrap creates the replica group once every founder has answered and none has a
// log. A majority of answers isn't enough: it may consist of a founder that never ran and
// one that lost its disk, while the others hold committed entries.
func (c *Core) tryBootstrap() {
	var ms Members

	for _, m := range c.cfg.Founders {
		creationID, ok := c.bootstrap.creationIDs[m.ID]
		if !ok {
			return
		}

		ms = ms.With(Member{ID: m.ID, Birth: creationID, Addr: m.Addr})
	}

	if !c.bootstrap.diskLost && ms.isVoter(c.cfg.ID, c.cfg.CreationID) {
		c.finishBootstrap(ms)
	}
}

func (c *Core) finishBootstrap(ms Members) {
	c.bootstrap = nil
	c.snap = Snapshot{Members: ms}
	c.snapDirty = true
	c.members = []membersAt{{Members: ms}}
	c.resetElectionDeadline()

	if ms.Voters() == 1 {
		c.electionDeadline = c.now
	}
}

// notifyRemoved sends a candidate that is not a member the members that this replica knows. If the
// candidate was removed from the group while it was disconnected, it would otherwise request votes
// indefinitely and operators could not see the cause. It ignores members that are older than its
// own.
func (c *Core) notifyRemoved(m Message) {
	last := c.members[len(c.members)-1]
	if _, ok := last.Members.Find(m.From); ok || len(last.Members) == 0 || last.Index > c.commit {
		return
	}

	c.reply(m, 0, HelloAnswer{Members: last.Members, MembersIndex: last.Index})
}

// stopIfRemoved stops this replica if a membership newer than its own does not include it.
func (c *Core) stopIfRemoved(body HelloAnswer) {
	_, ok := body.Members.Find(c.cfg.ID)
	if ok || len(body.Members) == 0 || body.MembersIndex <= c.members[len(c.members)-1].Index {
		return
	}

	c.fault = &RemovedError{ID: c.cfg.ID}
}
