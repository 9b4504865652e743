package entry

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/agentclient"
	"github.com/parsleygate/parsleygate/internal/eventstream"
	"github.com/parsleygate/parsleygate/internal/exchange"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// send sends the chosen attempt and relays or records its answer.
func (x *exchangeRun) send(ctx context.Context, resume bool) exchange.Action {
	x.entry.counters.attempts.Add(1)

	var recorded *collector

	receiver := x.reply.receiver(x.call.idempotent && x.call.service.GetResumable(), resume)
	if x.call.keyed() {
		recorded = &collector{maxBytes: x.entry.Limits.MaxRecordedBytes, overflow: x.reply}
		receiver = recorded.receiver()
	}

	start := time.Now()
	seen := x.observeResponse(start, &receiver)

	res := x.entry.Agents.Send(ctx, x.choice.Address, x.wireRequest(resume), receiver)
	if res.Err == nil {
		res.Err = seen.endError()
	}

	x.recordOutcome(start, res, seen.status)

	switch {
	case res.EndedBoot != 0:
		x.recordTargetEnd(start, res.EndedBoot)
	case res.Err == nil:
		x.recordAnswer(seen.status)
	}

	x.ex.Resumable = x.reply.resumable()

	outcome := exchange.Outcome{Complete: res.Err == nil, Err: res.Err, Relayed: x.reply.headSent, CallerDisconnected: x.reply.callerGone || callerDisconnected(ctx)}
	if recorded != nil && outcome.Complete {
		outcome.Answer = recorded.answer
	}

	return x.ex.Ended(time.Now(), outcome)
}

// callerDisconnected reports whether ctx ended because the caller disconnected, not
// because the deadline passed.
func callerDisconnected(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}

func (x *exchangeRun) wireRequest(resume bool) *wire.Request {
	view := x.entry.View()
	now := time.Now()
	v, _ := x.entry.credits.Load(x.choice.AgentID)
	credit, _ := v.(*wire.Credit)
	headers := x.call.headers

	if resume {
		headers = x.resumeHeaders()
	}

	return &wire.Request{
		ID: x.call.id, AttemptID: x.attempt.GetAttemptID(), Credit: credit,
		Service: x.call.service.GetName(), Workspace: x.call.workspace,
		Method: x.call.method, Path: x.call.path, Headers: headers,
		Body: x.call.body, BodyDigest: x.call.bodyDigest, Idempotent: x.call.idempotent,
		RemainingMillis: uint64(max(0, x.call.deadline.Sub(now).Milliseconds())),
		ViewVersion:     view.Version, ViewFresh: now.Before(view.ValidUntil),
		Priority: int32(x.call.priority),
	}
}

// resumeHeaders returns the request headers for a resumption after the last event that
// the caller received.
func (x *exchangeRun) resumeHeaders() []*wire.Header {
	x.reply.events.interrupt()

	lastID := x.reply.events.lastID()
	if lastID == "" {
		return x.call.headers
	}

	headers := []*wire.Header{{Name: headerLastEventID, Value: []byte(lastID)}}

	for _, h := range x.call.headers {
		if !strings.EqualFold(h.GetName(), headerLastEventID) {
			headers = append(headers, h)
		}
	}

	return headers
}

// observedResponse is what the entry has seen of the response to one attempt.
type observedResponse struct {
	status  int32
	started bool
	// events follows the response if it is a stream of events that can be read. It is nil
	// otherwise.
	events *eventstream.Scanner
}

// endError returns the error of a response that is framed as complete but is not, or nil.
// Agents of earlier builds frame a stream that ends inside an event as complete.
func (o *observedResponse) endError() *verdict.Error {
	if o.events == nil || !o.events.InsideEvent() {
		return nil
	}

	return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken, Err: eris.New("stream ended inside an event")}
}

// observeResponse makes receiver record the response and the time to its first byte.
func (x *exchangeRun) observeResponse(start time.Time, receiver *agentclient.Receiver) *observedResponse {
	seen := &observedResponse{}

	head, data := receiver.Head, receiver.Data
	receiver.Head = func(h *wire.Head) error {
		seen.status = h.GetStatus()
		if beginsEventStream(h) {
			seen.events = &eventstream.Scanner{}
		}

		return head(h)
	}
	receiver.Data = func(b []byte) error {
		if !seen.started {
			seen.started = true
			x.entry.Chooser.RecordFirstByte(routing.FirstByte{
				AgentID: x.choice.AgentID, Incarnation: x.choice.Incarnation, Wait: time.Since(start),
			})
		}

		if seen.events != nil {
			seen.events.Scan(b)
		}

		return data(b)
	}

	return seen
}

// excludeTarget excludes the chosen target from further attempts of this request,
// unless it was only at capacity.
func (x *exchangeRun) excludeTarget(err *verdict.Error) {
	switch {
	case atCapacity(err):
	case err.Cause == verdict.CauseStale:
		x.staleTargets = append(x.staleTargets, x.choice.AgentID)
	default:
		x.excluded = append(x.excluded, x.choice.AgentID)
	}
}

// recordOutcome reports the outcome of the attempt to the chooser and applies the
// credit and load that came with it.
func (x *exchangeRun) recordOutcome(start time.Time, res agentclient.Result, status int32) {
	now := time.Now()
	ev := routing.Finished{
		AgentID: x.choice.AgentID, Incarnation: x.choice.Incarnation, Verdict: verdict.Ran,
		Duration: now.Sub(start), ServerError: status >= 500,
	}

	if res.Err != nil {
		ev.Verdict, ev.Cause, ev.RetryAt = res.Err.Verdict, res.Err.Cause, res.Err.RetryAt
		x.excludeTarget(res.Err)
	}

	if ev.Cause == verdict.CauseSilent {
		x.entry.Chooser.RecordUnresponsive(now, routing.ConnectionUnresponsive{AgentID: x.choice.AgentID, Incarnation: x.choice.Incarnation})
	}

	x.entry.Chooser.Finish(now, ev)
	x.entry.applyCredit(now, x.call.service.GetName(), res.Load.GetCredit(), time.Time{})
	x.entry.applyLoad(now, x.choice.AgentID, res.Load)
}
