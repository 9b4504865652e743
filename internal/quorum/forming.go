package quorum

import (
	"time"
)

// listenHeartbeats is for how many heartbeats a lone founder listens at first.
const listenHeartbeats = 2

// forming is the state of a founder whose data folder is empty. It cannot tell a
// group that was never formed from one that it belonged to before it lost its
// disk, so it asks all other founders and takes no part until it can.
type forming struct {
	helloAt time.Time
	births  map[string]uint64
	lost    bool
}

func (c *Core) startForming() {
	c.forming = &forming{helloAt: c.now, births: map[string]uint64{c.cfg.ID: c.cfg.CreationID}}

	// A lone founder has nobody to ask. If its group has grown since, and its disk
	// was lost, the others still send to the replica that it was: it listens for
	// that before it forms a second group under the same name.
	if len(c.cfg.Founders) == 1 {
		c.forming.helloAt = c.now.Add(listenHeartbeats * c.cfg.HeartbeatInterval)
	}
}

func (c *Core) tickForming() {
	if c.now.Before(c.forming.helloAt) {
		return
	}

	c.forming.helloAt = c.now.Add(c.cfg.HeartbeatInterval)

	for _, m := range c.cfg.Founders {
		if m.ID != c.cfg.ID {
			c.out.Send = append(c.out.Send, c.send(m.ID, 0, 0, Hello{}))
		}
	}

	c.form()
}

// misaddressed takes note of a message to a replica of this name with another
// data folder: there was one, and its disk is lost. A replica that has formed a
// group of its own meanwhile must stop before it passes that off as the group.
func (c *Core) misaddressed() {
	switch {
	case c.forming != nil:
		c.forming.lost = true
	case len(c.ruling()) == 1 && c.ruling().isVoter(c.cfg.ID, c.cfg.CreationID):
		c.fault = &LostDiskError{ID: c.cfg.ID}
	}
}

func (c *Core) hello(m Message) {
	c.reply(m, 0, HelloAnswer{Members: c.ruling()})
}

// helloAnswer takes in another founder's answer. A formed group that knows this
// ID with another birth means that this replica's disk was lost: it must not
// vote, and waits to be removed and added again as a learner.
func (c *Core) helloAnswer(m Message, body HelloAnswer) {
	if c.forming == nil {
		c.removed(body)

		return
	}

	if len(body.Members) == 0 {
		c.forming.births[m.From] = m.FromCreationID
		c.form()

		return
	}

	self, ok := body.Members.Find(c.cfg.ID)
	if !ok || self.Birth != c.cfg.CreationID {
		c.forming.lost = true

		return
	}

	c.formed(body.Members)
}

// form forms the group once each founder has been heard, with an empty data
// folder as well. All must be heard: a majority might consist of one that never
// ran and one that lost its disk, while the rest hold committed entries.
func (c *Core) form() {
	var ms Members

	for _, m := range c.cfg.Founders {
		birth, ok := c.forming.births[m.ID]
		if !ok {
			return
		}

		ms = ms.With(Member{ID: m.ID, Birth: birth, Addr: m.Addr})
	}

	if !c.forming.lost && ms.isVoter(c.cfg.ID, c.cfg.CreationID) {
		c.formed(ms)
	}
}

func (c *Core) formed(ms Members) {
	c.forming = nil
	c.snap = Snapshot{Members: ms}
	c.snapDirty = true
	c.members = []membersAt{{Members: ms}}
	c.resetElection()

	if ms.Voters() == 1 {
		c.electAt = c.now
	}
}

// tellRemoved tells a candidate that it was taken out while it could not hear.
// It would else ask for votes for ever, and nobody could see why.
func (c *Core) tellRemoved(m Message) bool {
	last := c.members[len(c.members)-1]
	if _, ok := last.Members.Find(m.From); ok || len(last.Members) == 0 || last.Index > c.commit {
		return false
	}

	c.reply(m, 0, HelloAnswer{Members: last.Members, MembersIndex: last.Index})

	return true
}

// removed stops this replica if later members than it knows of do not include it.
func (c *Core) removed(body HelloAnswer) {
	_, ok := body.Members.Find(c.cfg.ID)
	if ok || len(body.Members) == 0 || body.MembersIndex <= c.members[len(c.members)-1].Index {
		return
	}

	c.fault = &RemovedError{ID: c.cfg.ID}
}
