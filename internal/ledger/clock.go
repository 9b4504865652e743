package ledger

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// maxTick bounds one tick, so that a faulty control VM cannot end all claim
// windows at once.
const maxTick = time.Minute

// clock is the time of the state. It never runs ahead of real time: a tick says
// how long ago its sender applied the tick before it, measured on the sender's
// monotonic clock, and is void when another tick came between. So a wall clock
// that jumps, or two leaders at once, cannot end a claim's window early.
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

// TickIndex returns the log index of the last tick, which the next tick names.
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
