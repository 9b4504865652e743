package quorum

import (
	"math"
	"time"
)

// round is one question to all members whether this replica still leads.
type round struct {
	number uint64
	sent   time.Time
	commit uint64
}

// beginRound asks all members whether this replica still leads.
func (c *Core) beginRound() {
	l := c.lead
	l.heartbeatAt = c.now.Add(c.cfg.HeartbeatInterval)
	l.rounds = append(l.rounds, round{number: l.present() + 1, sent: c.now, commit: c.commit})

	for len(l.rounds) > 2 && c.now.Sub(l.rounds[0].sent) > c.cfg.ElectionTimeout {
		l.rounds = l.rounds[1:]
	}

	c.roundReads()

	for _, p := range c.sortedPeers() {
		p.waiting = false
		c.sendAppend(p, true)
	}

	c.confirmReads()
}

func (l *leadership) present() uint64 {
	return l.rounds[len(l.rounds)-1].number
}

// answered notes that p answered the round n.
func (c *Core) answered(p *progress, n uint64) {
	p.round = max(p.round, n)

	r, ok := c.lead.roundOf(n)
	if !ok {
		return
	}

	until := r.sent.Add(c.cfg.ElectionTimeout)

	if until.After(p.activeUntil) {
		p.activeUntil = until
	}

	if p.match >= r.commit && until.After(p.currentUntil) {
		p.currentUntil = until
	}
}

// roundOf returns the round n, unless it was long ago.
func (l *leadership) roundOf(n uint64) (round, bool) {
	first := l.rounds[0].number
	if n < first || n > l.present() {
		return round{}, false
	}

	return l.rounds[n-first], true
}

// commitAt returns what was committed when the round n began.
func (l *leadership) commitAt(n uint64) uint64 {
	r, ok := l.roundOf(n)
	if !ok {
		return math.MaxUint64
	}

	return r.commit
}
