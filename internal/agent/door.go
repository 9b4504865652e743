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
}

// lock opens the core for one event at now; the caller unlocks mu.
func (d *door) lock(now time.Time) *admission.Core {
	v := d.view()

	d.mu.Lock()
	d.core.ChangeView(now, v)

	return &d.core
}

func (d *door) arrive(now time.Time, r admission.Arrival) admission.Decision {
	defer d.mu.Unlock()

	return d.lock(now).Arrive(now, r)
}

func (d *door) reject(now time.Time, r admission.Arrival, refusal *refusal) admission.Decision {
	defer d.mu.Unlock()

	return d.lock(now).Reject(now, r, refusal.cause)
}

func (d *door) grant(now time.Time, q admission.GrantAsk) (admission.Grant, admission.Load) {
	defer d.mu.Unlock()

	c := d.lock(now)

	return c.Grant(now, q), c.Load()
}

func (d *door) ask(now time.Time, q admission.Question) admission.Fate {
	defer d.mu.Unlock()

	return d.lock(now).Ask(now, q)
}

func (d *door) firstToken(now time.Time, attemptID string) {
	defer d.mu.Unlock()

	d.lock(now).FirstToken(now, attemptID)
}

// finish ends an attempt and renews its entry's credit in one step.
func (d *door) finish(now time.Time, attemptID, entryID string, o admission.Outcome) (admission.Grant, admission.Load) {
	defer d.mu.Unlock()

	c := d.lock(now)
	c.Finish(now, attemptID, o)

	return c.Renew(now, entryID), c.Load()
}

func (d *door) announce(now time.Time, a admission.Announcement) {
	defer d.mu.Unlock()

	d.lock(now).Announce(now, a)
}

func (d *door) tick(now time.Time) {
	defer d.mu.Unlock()

	d.lock(now).Tick(now)
}

func (d *door) load(now time.Time) admission.Load {
	defer d.mu.Unlock()

	return d.lock(now).Load()
}

// state is what a dump shows of the core.
func (d *door) state(now time.Time) (admission.Load, admission.MemoryUse) {
	defer d.mu.Unlock()

	c := d.lock(now)

	return c.Load(), c.Memory()
}

func (d *door) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.core.Leave()
}

func (d *door) leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.core.Load().Leaving
}

func (d *door) drained(now time.Time) bool {
	defer d.mu.Unlock()

	return d.lock(now).Drained()
}
