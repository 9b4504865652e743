package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routes"
	"github.com/parsleygate/parsleygate/internal/targetclient"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// proxiedRequest is the state of one request while this entry handles it.
type proxiedRequest struct {
	relay     *Relay
	w         http.ResponseWriter
	req       *http.Request
	state     *view.ClusterState
	arrivedAt time.Time
	// readAt is when the request had been read whole.
	readAt time.Time

	caller    RequestInfo
	route     *routes.Route
	workspace *routes.Workspace
	service   string
	// prioritized is set if the service is. engine and expectedWork are valid only then.
	prioritized  bool
	engine       *routes.EngineFigures
	expectedWork float64
	body         []byte
	// trial is set while the request tries held parts. sound is set once an answer has begun properly.
	parts requestParts
	trial quarantine.Trial
	sound bool
	// hold is the memory that the body and a buffered answer take.
	hold *hold
	// deadline is the earlier of the caller's and the route's. eventDeadline is when the
	// caller disconnects if it has received no event. softDeadline is the end of the route's
	// latency target for the first answer.
	deadline      time.Time
	eventDeadline time.Time
	softDeadline  time.Time
	urgency       urgency

	// placed is the current target, since placedAt. eventAt is when its last event arrived,
	// zero before the first.
	placed   dispatch.Action
	placedAt time.Time
	eventAt  time.Time

	// waited is the total time in the queue over all attempts.
	waited time.Duration

	// longestGap is the longest gap between two events of the stream. It ended at longestGapAt.
	longestGap   time.Duration
	longestGapAt time.Time

	// events counts the events that were forwarded, the last of them at forwardedAt. late is set once an event of a request to a
	// prioritized service was later than its route allows.
	events      int
	forwardedAt time.Time
	late        bool

	// status is the forwarded answer's; firstByte is the time from arrival to its head.
	status    int
	firstByte time.Duration
	// capacity is the state of the targets when the request was refused.
	capacity dispatch.CapacitySummary

	// tried lists the targets of all attempts, excluded those that must not receive the request
	// again. reuse says whether the current attempt may use an idle connection. readBy belongs
	// to the last attempt.
	tried    []string
	excluded []string
	reuse    bool
	readBy   readStatus
	// sends counts the targets that may have read the request; misdirected counts those of
	// them that were not the intended ones.
	sends       int
	misdirected int
	// unanswered counts the sends without an answer, which their targets may still read.
	unanswered int
	// retryDecidedAt is when the last retry was decided. delivery outlives the request if a target may read it later.
	retryDecidedAt time.Time
	delivery       *retries.Delivery
	// noRetry is why the request was not retried after the last attempt.
	noRetry retries.Reason
	// failure is the last failure that a target answered, nil if there is none.
	failure *bufferedAnswer
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	// answerEvents counts the events of the current attempt without comments, attemptEvents those of
	// them that the caller lacked.
	answerEvents, attemptEvents int
	// unflushed is set while events have been written that may not have been sent to the caller.
	unflushed bool
	// framing is that of the last answer, empty if there was none.
	framing targetclient.Framing
	// streaming is set once the head of a stream was sent to the caller. lastEvent is the ID of
	// the last event that the caller has; lastForwardedID is the last ID sent by this entry.
	streaming       bool
	lastEvent       string
	lastForwardedID uint64
}

// run sends the request to targets until one answers it or it must not be retried.
func (p *proxiedRequest) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, p.deadline)
	defer cancel()

	p.relay.Budget.RecordRequest(p.arrivedAt, p.service, p.relay.entryShares.budgetShare(p.service))

	p.delivery = &retries.Delivery{}
	defer p.relay.Budget.End(p.delivery)

	var lastErr error // of the previous attempt

	for {
		if err := p.relay.guard.check(p); err != nil {
			p.end(err)

			return
		}

		placed, err := p.acquireTarget(ctx)
		if err != nil {
			p.end(err)

			return
		}

		if lastErr != nil {
			p.recordRetry(lastErr, placed)
		}

		if lastErr = p.attempt(ctx, placed); lastErr == nil {
			p.relay.guard.end(p)
			p.complete()

			return
		}

		p.checkTargetEnd(ctx, lastErr)
		p.relay.guard.end(p)

		// A failure of a reused connection excludes no target, which may be the only one.
		if !errors.Is(lastErr, targetclient.ErrReusedConnection) {
			p.excluded = append(slices.Clip(p.excluded), placed.Target.ID)
		}

		if p.noRetry = p.checkRetry(ctx, lastErr); p.noRetry != retries.ReasonNone {
			p.end(lastErr)

			return
		}

		p.retryDecidedAt = p.relay.Now()
	}
}

// acquireTarget waits until the dispatcher assigns a target or refuses the request, or until the request could not end
// before this entry does.
func (p *proxiedRequest) acquireTarget(ctx context.Context) (dispatch.Action, error) {
	if err := p.checkStop(); err != nil {
		return dispatch.Action{}, err
	}

	p.beginWaiting()
	defer p.endWaiting()

	ctx, stopWaiting := p.relay.guard.await(ctx, p)
	defer stopWaiting()

	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	defer p.whenTooLate(func() { cancel(p.stopRefusal()) })()

	startedAt := p.relay.Now()
	p.reuse = p.mayReuse()
	placed, err := p.relay.queue.acquireTarget(ctx, p.dispatchRequest())
	now := p.relay.Now()

	p.waited += now.Sub(startedAt)

	if held := new(verdict.Error); errors.As(context.Cause(ctx), &held) && err != nil {
		return placed, held
	}

	if err == nil {
		if err = p.mayBegin(); err != nil {
			p.relay.queue.finish(placed, p.work(), dispatch.Canceled)

			return placed, err
		}
	}

	if err != nil {
		p.capacity = placed.Capacity
		p.urgency.expectedWait = placed.ExpectedWait

		return placed, err
	}

	p.relay.latencies.wait.Update(millis(p.arrivedAt, now))
	p.countPlaced(placed)

	return placed, nil
}

// mayBegin returns an error unless the request may be sent to the target that it got.
func (p *proxiedRequest) mayBegin() error {
	if err := p.checkStop(); err != nil {
		return err
	}

	return p.relay.guard.begin(p)
}

func (p *proxiedRequest) dispatchRequest() dispatch.Request {
	return dispatch.Request{
		Service: p.service, Workspace: p.workspaceName(), Priority: p.priority(),
		Level: p.level(), Attempt: p.urgency.attempt, FirstAttemptAt: p.urgency.firstAttemptAt,
		SoftDeadline: p.softDeadline, Deadline: p.eventDeadline, Work: p.work(), Excluded: p.excluded, Sent: p.sends > 0, Reuse: p.reuse,
	}
}

func (p *proxiedRequest) workspaceName() string {
	if p.workspace == nil {
		return ""
	}

	return p.workspace.Name
}

// attempt sends the request to one target and forwards its answer to the caller. The error
// says whether the target may have run the request.
func (p *proxiedRequest) attempt(ctx context.Context, placed dispatch.Action) error {
	outcome := dispatch.Canceled
	defer func() { p.relay.queue.finish(placed, p.work(), outcome) }()

	p.tried = append(slices.Clip(p.tried), placed.Target.ID)
	p.placed, p.placedAt, p.eventAt = placed, p.relay.Now(), time.Time{}
	p.readBy = readByNone
	p.answerEvents, p.attemptEvents = 0, 0

	p.hold.waitFor(p.placedAt, readerTarget)

	answer, err := p.relay.TargetClient.Open(ctx, p.connectionTarget(), p.targetRequest(placed.Target.ID))

	p.hold.hasRead(readerTarget)

	if err != nil {
		if verdict.Of(err) != verdict.NotRun {
			p.recordRead(readByTarget)
			p.mayHaveRun = true
			p.recordDelivery(!errors.Is(err, targetclient.ErrNoAnswer))
		}

		outcome = p.failureOutcome(ctx, err)

		return err
	}
	defer answer.Close()

	p.framing = answer.Framing

	info := p.relay.Dialect.ReadResponse(answer.Status, answer.Header)
	if err := p.checkAttribution(answer, info); err != nil {
		p.recordRead(readByTarget)
		p.recordDelivery(false)

		outcome = p.failureOutcome(ctx, err)

		return err
	}

	p.recordDelivery(true)

	if info.Misdirected {
		p.relay.TargetClient.Pause(p.connectionTarget())
		p.recordRead(readByOther)
	} else {
		p.recordRead(readByTarget)
	}

	p.relay.queue.recordResponse(placed, info)
	p.recordStatements(info)

	if err := p.checkResponse(answer, info); err != nil {
		outcome = outcomeOf(info)

		return err
	}

	p.mayHaveRun = true
	p.observeAnswer(answer)

	err = p.deliver(ctx, answer)
	if err == nil {
		p.markAnswered(answer.Status)
	}

	if err == nil || errors.Is(err, errTargetFailure) {
		p.keepConnection(answer, info)

		outcome = dispatch.Completed

		return err
	}

	outcome = p.failureOutcome(ctx, err)

	return err
}

// recordRead counts a target that may have read the request.
func (p *proxiedRequest) recordRead(r readStatus) {
	p.readBy = r
	p.sends++

	if r == readByOther {
		p.misdirected++
		p.relay.counters.misdirected.Add(1)
	}
}

// recordDelivery records whether the target has answered an attempt, if only in part.
func (p *proxiedRequest) recordDelivery(isAnswered bool) {
	now, address := p.relay.Now(), p.placed.Target.Address

	if isAnswered {
		p.relay.Budget.Answered(now, p.delivery, address, p.placedAt)

		return
	}

	p.unanswered++
	p.relay.counters.unanswered.Add(1)
	p.relay.Budget.Unanswered(now, p.delivery, address)
}

// failureOutcome returns Canceled for errors that say nothing about the target, because the caller,
// the deadline or a reused connection caused them, and Failed for those that count against it.
func (p *proxiedRequest) failureOutcome(ctx context.Context, err error) dispatch.Outcome {
	if ctx.Err() != nil || errors.Is(err, errCallerDisconnected) || errors.Is(err, errMemoryFull) || errors.Is(err, targetclient.ErrReusedConnection) {
		return dispatch.Canceled
	}

	return dispatch.Failed
}
