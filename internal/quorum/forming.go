package quorum

import "time"

// forming is the state of a founder whose data folder is empty. It cannot tell a
// group that was never formed from one that it belonged to before it lost its
// disk, so it asks all other founders and takes no part until it can.
type forming struct {
	helloAt time.Time
	births  map[string]uint64
	lost    bool
}

func (c *Core) startForming() {
	c.forming = &forming{helloAt: c.now, births: map[string]uint64{c.cfg.ID: c.cfg.Birth}}
	c.form()
}

func (c *Core) tickForming() {
	if c.now.Before(c.forming.helloAt) {
		return
	}

	c.forming.helloAt = c.now.Add(c.cfg.Heartbeat)

	for _, m := range c.cfg.Founders {
		if m.ID != c.cfg.ID {
			c.out.Send = append(c.out.Send, c.send(m.ID, 0, 0, Hello{}))
		}
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
		return
	}

	if len(body.Members) == 0 {
		c.forming.births[m.From] = m.FromBirth
		c.form()

		return
	}

	self, ok := body.Members.Find(c.cfg.ID)
	if !ok || self.Birth != c.cfg.Birth {
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

	if !c.forming.lost && ms.isVoter(c.cfg.ID, c.cfg.Birth) {
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
