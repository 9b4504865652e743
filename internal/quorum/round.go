package quorum

import (
	"math"
	"time"
)

// round is one heartbeat to all members, by which the leader confirms its leadership.
type round struct {
	number uint64
	sent   time.Time
	commit uint64
}

// beginRound starts a round by sending a heartbeat to all members.
func (c *Core) beginRound() {
	l := c.leaderState
	l.heartbeatAt = c.now.Add(c.cfg.HeartbeatInterval)
	l.rounds = append(l.rounds, round{number: l.currentRound() + 1, sent: c.now, commit: c.commit})

	for len(l.rounds) > 2 && c.now.Sub(l.rounds[0].sent) > c.cfg.ElectionTimeout {
		l.rounds = l.rounds[1:]
	}

	c.addReadsToRound()

	for _, p := range c.sortedPeers() {
		p.probeInFlight = false
		c.sendAppend(p, true)
	}

	c.confirmReads()
}

func (l *leaderState) currentRound() uint64 {
	return l.rounds[len(l.rounds)-1].number
}

// recordRoundAnswer records that p answered the given round.
func (c *Core) recordRoundAnswer(p *progress, roundNumber uint64) {
	p.round = max(p.round, roundNumber)

	r, ok := c.leaderState.findRound(roundNumber)
	if !ok {
		return
	}

	until := r.sent.Add(c.cfg.ElectionTimeout)
	p.silent = false

	if r.sent.After(p.answeredAt) {
		p.answeredAt = r.sent
	}

	if until.After(p.activeUntil) {
		p.activeUntil = until
	}

	if p.match >= r.commit && until.After(p.upToDateUntil) {
		p.upToDateUntil = until
	}
}

// findRound returns the round with the given number, unless it has expired.
func (l *leaderState) findRound(number uint64) (round, bool) {
	first := l.rounds[0].number
	if number < first || number > l.currentRound() {
		return round{}, false
	}

	return l.rounds[number-first], true
}

// roundCommit returns the commit index at the start of the given round.
func (l *leaderState) roundCommit(number uint64) uint64 {
	r, ok := l.findRound(number)
	if !ok {
		return math.MaxUint64
	}

	return r.commit
}
