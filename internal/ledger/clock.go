package ledger

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// maxTick limits how far one tick advances the clock, so that a faulty control VM
// cannot end all claim windows at once.
const maxTick = time.Minute

// clock is the state's own time. It never runs ahead of real time: a tick carries the
// time since its sender applied the previous tick, measured on the sender's monotonic
// clock, and is ignored if another tick was committed in between. Neither a jump of a
// wall clock nor two concurrent leaders can therefore end a claim's window early.
type clock struct {
	elapsed  time.Duration
	lastTick uint64
}

func (c *clock) now() time.Time { return time.Unix(0, 0).UTC().Add(c.elapsed) }

func (c *clock) advance(index uint64, tick *wire.Tick) bool {
	if tick.GetAfter() != c.lastTick {
		return false
	}

	elapsed := maxTick
	if tick.GetElapsedMillis() < uint64(maxTick/time.Millisecond) {
		elapsed = time.Duration(tick.GetElapsedMillis()) * time.Millisecond
	}

	c.elapsed += elapsed
	c.lastTick = index

	return true
}

// TickIndex returns the log index of the last tick, which the next tick must name.
func (l *Ledger) TickIndex() uint64 { return l.clock.lastTick }

func (l *Ledger) applyTick(index uint64, tick *wire.Tick) {
	if !l.clock.advance(index, tick) {
		return
	}

	l.claims.expire(l.clock.now())
	l.departures.dropExpired(l.clock.now())
}

func toMillis(t time.Time) uint64 { return uint64(t.UnixMilli()) }

func fromMillis(ms uint64) time.Time { return time.UnixMilli(int64(ms)).UTC() }
