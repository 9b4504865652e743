package quorum

import (
	"time"
)

// bootstrapListenHeartbeats is for how many heartbeats a lone founder listens at first.
const bootstrapListenHeartbeats = 2

// bootstrap is the state of a founder whose data folder is empty. It cannot tell a
// group that was never formed from one that it belonged to before it lost its
// disk, so it asks all other founders and takes no part until it can.
type bootstrap struct {
	helloAt     time.Time
	creationIDs map[string]uint64
	diskLost    bool
}

func (c *Core) startBootstrap() {
	c.bootstrap = &bootstrap{helloAt: c.now, creationIDs: map[string]uint64{c.cfg.ID: c.cfg.CreationID}}

	// A lone founder has nobody to ask. If its group has grown since, and its disk
	// was lost, the others still send to the replica that it was: it listens for
	// that before it forms a second group under the same name.
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

// handleMisaddressed takes note of a message to a replica of this name with another
// data folder: there was one, and its disk is lost. A replica that has formed a
// group of its own meanwhile must stop before it passes that off as the group.
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

// handleHelloAnswer takes in another founder's answer. A formed group that knows this
// ID with another birth means that this replica's disk was lost: it must not
// vote, and waits to be removed and added again as a learner.
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

// tryBootstrap forms the group once each founder has been heard, with an empty data
// folder as well. All must be heard: a majority might consist of one that never
// ran and one that lost its disk, while the rest hold committed entries.
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

// notifyRemoved tells a candidate that it was taken out while it could not hear.
// It would else ask for votes for ever, and nobody could see why.
func (c *Core) notifyRemoved(m Message) bool {
	last := c.members[len(c.members)-1]
	if _, ok := last.Members.Find(m.From); ok || len(last.Members) == 0 || last.Index > c.commit {
		return false
	}

	c.reply(m, 0, HelloAnswer{Members: last.Members, MembersIndex: last.Index})

	return true
}

// stopIfRemoved stops this replica if later members than it knows of do not include it.
func (c *Core) stopIfRemoved(body HelloAnswer) {
	_, ok := body.Members.Find(c.cfg.ID)
	if ok || len(body.Members) == 0 || body.MembersIndex <= c.members[len(c.members)-1].Index {
		return
	}

	c.fault = &RemovedError{ID: c.cfg.ID}
}
