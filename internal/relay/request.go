package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routes"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// proxiedRequest is one request on its way through this entry.
type proxiedRequest struct {
	relay     *Relay
	w         http.ResponseWriter
	req       *http.Request
	state     *view.Followed
	arrivedAt time.Time

	call      RequestInfo
	route     *routes.Route
	workspace *routes.Workspace
	service   string
	body      []byte
	// deadline is when the caller or the route ends it; giveUpAt when a caller that
	// has heard nothing leaves; aimAt until when the first answer is of full use.
	deadline      time.Time
	eventDeadline time.Time
	softDeadline  time.Time

	// placed is the target that has it now, since placedAt; eventAt is when the last
	// event came from there.
	placed   dispatch.Action
	placedAt time.Time
	eventAt  time.Time

	// waited is how long it has waited for targets so far.
	waited time.Duration

	// longestGap is the longest time between two events of its stream, which ended at
	// longestAt.
	longestGap   time.Duration
	longestGapAt time.Time

	// status is that of the answer that was passed on, first how long it took to begin.
	status    int
	firstByte time.Duration
	// capacity is the state of the targets when it was refused.
	capacity dispatch.CapacitySummary

	// tried are the targets that it was sent to, reached how far the last try got.
	tried  []string
	readBy readStatus
	// sends is how many targets may have read it, misdirected how many of them were
	// others than those that were meant.
	sends       int
	misdirected int
	// noRetry is why it is not sent to another target after its last try.
	noRetry retries.Reason
	// mayHaveRun is set once some target may have run it.
	mayHaveRun bool
	// streaming is set once the head of a stream has left; lastEvent is the last
	// event that the caller has.
	streaming bool
	lastEvent string
	lastID    uint64
}

// run sends the request until it is answered, or must not be sent again.
func (p *proxiedRequest) run() {
	ctx, cancel := context.WithDeadline(p.req.Context(), p.deadline)
	defer cancel()

	p.relay.Budget.RecordRequest(p.arrivedAt, p.service, p.relay.entryShares.budgetShare(p.service))

	var lastErr error // the try before

	for {
		placed, err := p.acquireTarget(ctx)
		if err != nil {
			p.endWithError(err)

			return
		}

		if lastErr != nil {
			p.recordRetry(lastErr, placed)
		}

		if lastErr = p.attempt(ctx, placed); lastErr == nil {
			p.complete()

			return
		}

		if p.noRetry = p.checkRetry(ctx, lastErr); p.noRetry != retries.ReasonNone {
			p.endWithError(lastErr)

			return
		}
	}
}

// acquireTarget waits for a target.
func (p *proxiedRequest) acquireTarget(ctx context.Context) (dispatch.Action, error) {
	startedAt := time.Now()
	placed, err := p.relay.queue.acquireTarget(ctx, p.dispatchRequest())
	now := time.Now()

	p.waited += now.Sub(startedAt)

	if err != nil {
		p.capacity = placed.Capacity

		return placed, err
	}

	p.relay.latencies.wait.Update(millis(p.arrivedAt, now))

	return placed, nil
}

func (p *proxiedRequest) dispatchRequest() dispatch.Request {
	return dispatch.Request{
		Service: p.service, Workspace: p.workspaceName(), Priority: p.priority(),
		SoftDeadline: p.softDeadline, Deadline: p.eventDeadline, Work: p.work(), Excluded: p.tried,
	}
}

func (p *proxiedRequest) workspaceName() string {
	if p.workspace == nil {
		return ""
	}

	return p.workspace.Name
}

// attempt sends the request to one target and delivers its answer. An error says
// what became of it there.
func (p *proxiedRequest) attempt(ctx context.Context, placed dispatch.Action) error {
	outcome := dispatch.Canceled
	defer func() { p.relay.queue.finish(placed, p.work(), outcome) }()

	p.tried = append(slices.Clip(p.tried), placed.Target.ID)
	p.placed, p.placedAt, p.eventAt = placed, time.Now(), time.Time{}
	p.readBy = readByNone

	answer, err := p.relay.Transport.Open(ctx, placed.Target.Address, p.targetCall(placed.Target.ID))
	if err != nil {
		if verdict.Of(err) != verdict.NotRun {
			p.recordRead(readByTarget)
			p.mayHaveRun = true
		}

		outcome = p.failureOutcome(ctx, err)

		return err
	}
	defer answer.Close()

	info := p.relay.Dialect.ReadResponse(answer.Status, answer.Header)
	if info.Misdirected {
		p.recordRead(readByOther)
	} else {
		p.recordRead(readByTarget)
	}

	p.relay.queue.recordResponse(placed, info)

	if err := p.checkResponse(answer, info); err != nil {
		outcome = outcomeOf(info)

		return err
	}

	p.mayHaveRun = true

	if err := p.deliver(ctx, answer); err != nil {
		outcome = p.failureOutcome(ctx, err)

		return err
	}

	outcome = dispatch.Completed

	return nil
}

// recordRead takes in that a target may have read the request.
func (p *proxiedRequest) recordRead(r readStatus) {
	p.readBy = r
	p.sends++

	if r == readByOther {
		p.misdirected++
		p.relay.counters.misdirected.Add(1)
	}
}

// failureOutcome says whether a failure tells something of the target.
func (p *proxiedRequest) failureOutcome(ctx context.Context, err error) dispatch.Outcome {
	if ctx.Err() != nil || errors.Is(err, errCallerDisconnected) {
		return dispatch.Canceled
	}

	return dispatch.Failed
}
