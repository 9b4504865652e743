package callers

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pressureTTL is how long a refusal shows that this entry cannot serve what it is offered.
	pressureTTL = 250 * time.Millisecond
	// maxDeclineTime is the longest time for which all new connections are declined. Then one is
	// accepted: an entry that takes none at all looks lost.
	maxDeclineTime = 250 * time.Millisecond
	// declineTTL is how long an entry counts as declining after it declined a connection. It is also
	// the least time between two log lines.
	declineTTL = time.Second
)

// Decliner decides which new connections are closed before their request is read. An entry that is
// offered far more than the others, and has requests that wait for its shares of the targets, could
// only let further ones wait or refuse them. Its callers open another connection instead, which
// reaches an entry whose shares are unused. The zero value is ready for use.
type Decliner struct {
	Demand Demand
	// Logger must be set before the first call, if at all.
	Logger *slog.Logger

	mu sync.Mutex
	// refusedAt is when a request was refused last, acceptedAt when a connection was accepted last,
	// and declinedAt when one was declined last.
	refusedAt, acceptedAt, declinedAt time.Time
	declined                          atomic.Int64
}

// RecordRefused records that a request was refused because no target had room for it.
func (d *Decliner) RecordRefused(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.refusedAt = now
}

// Decline decides about a new connection. waiting returns the number of requests that wait for a
// target.
func (d *Decliner) Decline(now time.Time, waiting func() int) bool {
	if !d.Demand.IsExcessive(now) {
		d.accept(now)

		return false
	}

	// The number is read without mu, as requests are refused with locks held that it needs.
	n := waiting()

	d.mu.Lock()
	defer d.mu.Unlock()

	if n == 0 && now.Sub(d.refusedAt) >= pressureTTL || now.Sub(d.acceptedAt) >= maxDeclineTime {
		d.acceptedAt = now

		return false
	}

	if now.Sub(d.declinedAt) >= declineTTL && d.Logger != nil {
		d.Logger.Warn("Closing new connections unread: this entry gets far more requests than the others, and some wait.",
			"demand", d.Demand.PerSecond(now), "mean", d.Demand.Mean(), "waiting", n, "declined", d.declined.Load())
	}

	d.declinedAt = now
	d.declined.Add(1)
	d.Demand.Add(now)

	return true
}

// IsDeclining reports whether a connection was declined recently. Callers should then use other
// connections than those that they have kept.
func (d *Decliner) IsDeclining(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return now.Sub(d.declinedAt) < declineTTL
}

// Declined returns the number of connections that were declined.
func (d *Decliner) Declined() int64 { return d.declined.Load() }

func (d *Decliner) accept(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.acceptedAt = now
}
