package agent

import (
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/admission"
)

// admitter serializes access to the admission core. An event takes about a microsecond, so a
// mutex costs less than a dedicated goroutine. The current view is read before each event.
type admitter struct {
	mu   sync.Mutex
	core admission.Core
	view func() admission.View
	// lastEvent is the time of the latest event.
	lastEvent time.Time
}

// begin locks mu, applies the current view, and returns the core and the event's time. The
// caller unlocks mu. Goroutines read the clock before they wait for mu, so their times may be
// out of order; begin raises now to lastEvent because the core needs ascending times.
func (adm *admitter) begin(now time.Time) (*admission.Core, time.Time) {
	v := adm.view()

	adm.mu.Lock()

	if now.Before(adm.lastEvent) {
		now = adm.lastEvent
	}

	adm.lastEvent = now
	adm.core.ChangeView(now, v)

	return &adm.core, now
}

func (adm *admitter) reportCold(now time.Time) {
	defer adm.mu.Unlock()

	c, now := adm.begin(now)
	c.ReportCold(now)
}

func (adm *admitter) rest(now, until time.Time) {
	defer adm.mu.Unlock()

	c, _ := adm.begin(now)
	c.Rest(until)
}

func (adm *admitter) admit(now time.Time, r admission.Request) admission.Decision {
	defer adm.mu.Unlock()

	c, now := adm.begin(now)

	return c.Admit(now, r)
}

func (adm *admitter) reject(now time.Time, r admission.Request, refusal *refusal) admission.Decision {
	defer adm.mu.Unlock()

	c, now := adm.begin(now)

	return c.Reject(now, r, refusal.cause)
}

func (adm *admitter) grant(now time.Time, q admission.GrantRequest) (admission.Grant, admission.Load) {
	defer adm.mu.Unlock()

	c, now := adm.begin(now)

	return c.Grant(now, q), c.Load()
}

func (adm *admitter) queryAttempt(now time.Time, q admission.AttemptQuery) admission.AttemptStatus {
	defer adm.mu.Unlock()

	c, now := adm.begin(now)

	return c.QueryAttempt(now, q)
}

func (adm *admitter) firstToken(now time.Time, attemptID string) {
	defer adm.mu.Unlock()

	c, now := adm.begin(now)
	c.FirstToken(now, attemptID)
}

// finish ends an attempt and renews its entry's credit in one critical section.
func (adm *admitter) finish(now time.Time, attemptID, entryID string, o admission.Outcome) (admission.Grant, admission.Load) {
	defer adm.mu.Unlock()

	c, now := adm.begin(now)
	c.Finish(now, attemptID, o)

	return c.Renew(now, entryID), c.Load()
}

func (adm *admitter) renew(now time.Time, entryID string) (admission.Grant, admission.Load) {
	defer adm.mu.Unlock()

	c, now := adm.begin(now)

	return c.Renew(now, entryID), c.Load()
}

func (adm *admitter) announce(now time.Time, a admission.Announcement) {
	defer adm.mu.Unlock()

	c, now := adm.begin(now)
	c.Announce(now, a)
}

func (adm *admitter) targetDown(now time.Time) {
	defer adm.mu.Unlock()

	c, now := adm.begin(now)
	c.TargetDown(now)
}

func (adm *admitter) tick(now time.Time) {
	defer adm.mu.Unlock()

	c, now := adm.begin(now)
	c.Tick(now)
}

func (adm *admitter) load(now time.Time) admission.Load {
	defer adm.mu.Unlock()

	c, _ := adm.begin(now)

	return c.Load()
}

// state returns the core's state for a dump.
func (adm *admitter) state(now time.Time) (admission.Load, admission.MemoryUse) {
	defer adm.mu.Unlock()

	c, _ := adm.begin(now)

	return c.Load(), c.Memory()
}

func (adm *admitter) drain() {
	adm.mu.Lock()
	defer adm.mu.Unlock()

	adm.core.Drain()
}

func (adm *admitter) draining() bool {
	adm.mu.Lock()
	defer adm.mu.Unlock()

	return adm.core.Load().Leaving
}

func (adm *admitter) drained(now time.Time) bool {
	defer adm.mu.Unlock()

	c, _ := adm.begin(now)

	return c.Drained()
}
