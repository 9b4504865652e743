package agent

import (
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/admission"
)

// door serialises the events of the admission core. Each takes about a
// microsecond, so a mutex is cheaper than a goroutine of its own. The view is
// taken afresh before each event.
type door struct {
	mu   sync.Mutex
	core admission.Core
	view func() admission.View
	// last is the time of the latest event.
	last time.Time
}

// lock opens the core for one event at about now, and returns its time; the caller
// unlocks mu. Goroutines read the clock before they wait for mu, so that an event
// could come with a time before the last one's; the core gets times in order.
func (d *door) lock(now time.Time) (*admission.Core, time.Time) {
	v := d.view()

	d.mu.Lock()

	if now.Before(d.last) {
		now = d.last
	}

	d.last = now
	d.core.ChangeView(now, v)

	return &d.core, now
}

func (d *door) toldCold(now time.Time) {
	defer d.mu.Unlock()

	core, now := d.lock(now)
	core.ReportCold(now)
}

func (d *door) arrive(now time.Time, r admission.Request) admission.Decision {
	defer d.mu.Unlock()

	c, now := d.lock(now)

	return c.Admit(now, r)
}

func (d *door) reject(now time.Time, r admission.Request, refusal *refusal) admission.Decision {
	defer d.mu.Unlock()

	c, now := d.lock(now)

	return c.Reject(now, r, refusal.cause)
}

func (d *door) grant(now time.Time, q admission.GrantRequest) (admission.Grant, admission.Load) {
	defer d.mu.Unlock()

	c, now := d.lock(now)

	return c.Grant(now, q), c.Load()
}

func (d *door) ask(now time.Time, q admission.AttemptQuery) admission.AttemptStatus {
	defer d.mu.Unlock()

	c, now := d.lock(now)

	return c.QueryAttempt(now, q)
}

func (d *door) firstToken(now time.Time, attemptID string) {
	defer d.mu.Unlock()

	c, now := d.lock(now)
	c.FirstToken(now, attemptID)
}

// finish ends an attempt and renews its entry's credit in one step.
func (d *door) finish(now time.Time, attemptID, entryID string, o admission.Outcome) (admission.Grant, admission.Load) {
	defer d.mu.Unlock()

	c, now := d.lock(now)
	c.Finish(now, attemptID, o)

	return c.Renew(now, entryID), c.Load()
}

func (d *door) renew(now time.Time, entryID string) (admission.Grant, admission.Load) {
	defer d.mu.Unlock()

	c, now := d.lock(now)

	return c.Renew(now, entryID), c.Load()
}

func (d *door) announce(now time.Time, a admission.Announcement) {
	defer d.mu.Unlock()

	c, now := d.lock(now)
	c.Announce(now, a)
}

func (d *door) targetDown(now time.Time) {
	defer d.mu.Unlock()

	c, now := d.lock(now)
	c.TargetDown(now)
}

func (d *door) tick(now time.Time) {
	defer d.mu.Unlock()

	c, now := d.lock(now)
	c.Tick(now)
}

func (d *door) load(now time.Time) admission.Load {
	defer d.mu.Unlock()

	c, _ := d.lock(now)

	return c.Load()
}

// state is what a dump shows of the core.
func (d *door) state(now time.Time) (admission.Load, admission.MemoryUse) {
	defer d.mu.Unlock()

	c, _ := d.lock(now)

	return c.Load(), c.Memory()
}

func (d *door) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.core.Drain()
}

func (d *door) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.core.Load().Leaving
}

func (d *door) drained(now time.Time) bool {
	defer d.mu.Unlock()

	c, _ := d.lock(now)

	return c.Drained()
}
