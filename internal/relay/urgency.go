package relay

import (
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/priority"
	"github.com/parsleygate/parsleygate/internal/routes"
)

// ages estimates the ages of requests. It is safe for concurrent use.
type ages struct {
	mu  sync.Mutex
	all priority.Ages
}

func (a *ages) ageOf(now time.Time, route *routes.Route, workspace string, left time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.all.AgeOf(now, route.Name, workspace, left, route.Timeout)
}

// urgency is what a request of a prioritized service is ordered by, beside its level. It is not set
// for other services.
type urgency struct {
	// age is the time since the caller's first attempt. firstAttemptAt is zero if this is the first.
	age            time.Duration
	attempt        priority.Attempt
	firstAttemptAt time.Time
	// expectedWait is how long the request would have waited if it had not been refused.
	expectedWait time.Duration
}

// setUrgency sets the urgency if the service is prioritized, and moves the soft deadline to the one
// of the caller's first attempt.
func (p *proxiedRequest) setUrgency() {
	if !p.prioritized {
		return
	}

	if p.route.LatencyTarget <= 0 {
		// The route declares no time from which on an answer is late.
		p.softDeadline = p.deadline
	}

	if p.caller.Deadline.IsZero() {
		return
	}

	p.urgency.age = p.relay.ages.ageOf(p.arrivedAt, p.route, p.workspaceName(), p.caller.Deadline.Sub(p.arrivedAt))
	p.urgency.attempt = priority.AttemptOf(p.urgency.age, p.relay.Settings.MinRetryAfter)

	if p.urgency.attempt == priority.FirstAttempt {
		return
	}

	p.urgency.firstAttemptAt = p.arrivedAt.Add(-p.urgency.age)

	if p.route.LatencyTarget > 0 {
		p.softDeadline = p.softDeadline.Add(-p.urgency.age)
	}
}

// urgencyAttrs returns log attributes of a refused request.
func (p *proxiedRequest) urgencyAttrs() []any {
	if !p.prioritized {
		return nil
	}

	u := &p.urgency

	return []any{"attempt", u.attempt.String(), "age", u.age.Round(time.Millisecond), "expectedWait", u.expectedWait.Round(time.Millisecond)}
}
