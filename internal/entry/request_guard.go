package entry

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// requestGuard refuses requests under which targets have ended. It holds what all entries have seen of them.
type requestGuard struct {
	mu         sync.Mutex
	quarantine quarantine.Quarantine
}

// errHeld means that targets have ended under a request.
var errHeld = eris.New("targets ended while they answered this request")

// parts returns the parts by which a call is known when targets end under it.
func (c *call) parts() []quarantine.Part {
	content := quarantine.Content{Method: c.method, URI: c.path, Body: c.body}

	return []quarantine.Part{content.Part(c.service.GetName())}
}

// checkHeld returns an error if the request must be refused because targets have ended under it. The first
// request that may try whether they still do is a trial.
func (x *exchangeRun) checkHeld(now time.Time) *verdict.Error {
	g := &x.entry.guard

	g.mu.Lock()
	defer g.mu.Unlock()

	if x.isTrial {
		return nil
	}

	d := g.quarantine.Check(now, x.parts, x.entry.trialShare)
	if d.Held {
		return &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseQuarantined, RetryAt: d.RetryAt, Err: errHeld}
	}

	if d.Trial {
		x.trial, x.isTrial = g.quarantine.BeginTrial(now, x.parts), true
	}

	return nil
}

// endTrial ends the trial of the request, if it is one.
func (x *exchangeRun) endTrial() {
	g := &x.entry.guard

	g.mu.Lock()
	defer g.mu.Unlock()

	g.quarantine.EndTrial(x.trial)
}

// recordTargetEnd records that the target ended, in the given boot, while it had the request.
func (x *exchangeRun) recordTargetEnd(sentAt time.Time, boot uint64) {
	now := time.Now()
	end := quarantine.End{Target: x.choice.AgentID, StartTime: int64(boot), At: now}

	for _, part := range x.parts {
		end.Candidates = append(end.Candidates, quarantine.Candidate{Part: part, Depth: quarantine.ContentDepth, SentAt: sentAt})
	}

	x.entry.Logger.Warn("Target ended while it had a request.", "agent", x.choice.AgentID, "service", x.call.service.GetName(), "request", x.call.id,
		"sentAgo", now.Sub(sentAt).Round(time.Millisecond))
	x.entry.updateGuard(func(q *quarantine.Quarantine) bool { return q.Record(now, end) })
}

// recordAnswer records that the request was answered whole. A failure does not show that the request is
// harmless.
func (x *exchangeRun) recordAnswer(status int32) {
	if status < 500 {
		x.entry.updateGuard(func(q *quarantine.Quarantine) bool { return q.MarkAnswered(x.parts...) })
	}
}

// updateGuard applies a change, and reports it if other entries need it at once.
func (e *Entry) updateGuard(change func(*quarantine.Quarantine) (urgent bool)) {
	e.guard.mu.Lock()
	urgent := change(&e.guard.quarantine)
	e.guard.mu.Unlock()

	if urgent && e.OnTargetEnd != nil {
		e.OnTargetEnd()
	}
}

// EndsSince returns the ends of targets that have changed after a revision, and the current revision.
func (e *Entry) EndsSince(revision uint64) ([]quarantine.End, uint64) {
	e.guard.mu.Lock()
	defer e.guard.mu.Unlock()

	return e.guard.quarantine.ChangedSince(revision)
}

// MergeEnds adds the ends of targets that other entries have noticed.
func (e *Entry) MergeEnds(ends []quarantine.End) {
	e.guard.mu.Lock()
	defer e.guard.mu.Unlock()

	e.guard.quarantine.Merge(time.Now(), ends)
}

// trialShare returns this entry's share in the trials of a part.
func (e *Entry) trialShare(part quarantine.Part) shares.Share {
	if e.TrialShare == nil {
		return shares.Share{Entries: 1}
	}

	return e.TrialShare(part)
}
