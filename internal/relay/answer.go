package relay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/eventstream"
	"github.com/parsleygate/parsleygate/internal/targetclient"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// outcomeOf returns the outcome of a response that checkResponse rejects.
func outcomeOf(info ResponseInfo) dispatch.Outcome {
	switch {
	case info.Misdirected:
		return dispatch.Misdirected
	case info.NotRun:
		return dispatch.Rejected
	default:
		return dispatch.Failed
	}
}

// checkAttribution returns an error if an answer on a reused connection may be a late one to an
// earlier request. That includes a rejection without an ID: a target that has lost track of its
// requests sends one, beside the true answer.
func (p *proxiedRequest) checkAttribution(answer *targetclient.Answer, info ResponseInfo) error {
	if !answer.Reused || info.ID == p.caller.ID {
		return nil
	}

	p.mayHaveRun = true
	p.relay.TargetClient.Pause(p.connectionTarget())

	return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseCrossed, Err: targetclient.ErrReusedConnection}
}

// checkResponse returns an error unless the response head is a valid answer to this request.
func (p *proxiedRequest) checkResponse(answer *targetclient.Answer, info ResponseInfo) error {
	switch {
	case info.Misdirected:
		return &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseIncarnation}
	case info.NotRun && answer.Status != http.StatusBadRequest:
		return &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseOverload}
	case info.ID != "" && info.ID != p.caller.ID:
		p.mayHaveRun = true

		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseCrossed}
	case isSuccess(answer.Status) && !info.Signed, answer.Header.Get("Content-Encoding") != "", impliesNotRun(answer.Status):
		// Without the header that says so, no status proves that the request did not run.
		p.mayHaveRun = true

		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken}
	}

	return nil
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// impliesNotRun reports whether callers conclude from the status that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// targetRequest returns the request to send to target, with the time that remains now.
func (p *proxiedRequest) targetRequest(target string) *targetclient.Request {
	h := p.req.Header.Clone()
	dropHopByHop(h)
	h.Del("Content-Length")
	p.relay.Dialect.SetForwardHeaders(h, ForwardInfo{
		TargetID: target, Workspace: p.workspaceName(), Remaining: p.deadline.Sub(p.relay.Now()), LastEvent: p.lastEvent,
		EnginePriority: p.level().EngineValue(), HasEnginePriority: p.prioritized,
	})

	return &targetclient.Request{
		ID: p.caller.ID, Reuse: p.reuse,
		Method: p.req.Method, URI: p.req.RequestURI, Host: p.req.Host, Header: h, Body: p.body, Deadline: p.deadline,
		OnSent: func() { p.hold.hasRead(readerTarget) }, OnHead: p.chargeHead(),
	}
}

// chargeHead returns the function that charges the head of an answer as it arrives.
func (p *proxiedRequest) chargeHead() func(size, lines int) error {
	var charged int64

	return func(size, lines int) error {
		more := callers.HeadMemory(size, lines) - charged
		if more <= 0 {
			return nil
		}

		now := p.relay.Now()
		if charged == 0 {
			p.hold.waitFor(now, senderTarget)
		}

		if !p.hold.grow(now, more) {
			return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseOverload, Err: errMemoryFull}
		}

		charged += more

		return nil
	}
}

// errCallerDisconnected means that the caller disconnected before its answer was complete.
var errCallerDisconnected = errors.New("relay: caller disconnected before the answer was complete")

// deliver forwards a target's answer to the caller.
func (p *proxiedRequest) deliver(ctx context.Context, answer *targetclient.Answer) error {
	if p.streaming && !p.continuesStream(answer) {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken}
	}

	p.hold.waitFor(p.relay.Now(), senderTarget)

	if p.route.Stream && isSuccess(answer.Status) {
		return p.forwardStream(ctx, answer)
	}

	// The answer is buffered until it is complete: a truncated answer must not look
	// complete, and the request may still be retried at another target.
	body, err := p.hold.readAll(p.relay.Now, io.LimitReader(answer.Body, p.relay.Limits.MaxAnswerBytes+1))
	if errors.Is(err, errMemoryFull) {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseOverload, Err: err}
	}

	if err != nil || int64(len(body)) > p.relay.Limits.MaxAnswerBytes {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken, Err: err}
	}

	if mustHoldEvents(answer) && !isCompleteStream(body, answer.Framing) {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken, Err: io.ErrUnexpectedEOF}
	}

	buffered := &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}
	if isTargetFailure(answer.Status) && p.mayRepeat() {
		p.failure = buffered

		return errTargetFailure
	}

	p.writeAnswer(buffered)

	return nil
}

// mustHoldEvents reports whether an answer that was read whole is broken unless it consists of events. A
// framed failure may have a text instead, whatever its type says.
func mustHoldEvents(answer *targetclient.Answer) bool {
	return eventstream.IsStream(answer.Header.Get("Content-Type")) && (isSuccess(answer.Status) || answer.Framing == targetclient.FramedByConnection)
}

// writeHead sends the status and headers of a target's answer to the caller.
func (p *proxiedRequest) writeHead(status int) {
	p.status = status
	p.firstByte = p.relay.Now().Sub(p.arrivedAt)

	if isSuccess(status) && p.route.LatencyTarget > 0 && p.firstByte > p.route.LatencyTarget {
		p.countLate()
	}

	p.relay.latencies.firstByte.Update(p.firstByte.Milliseconds())
	p.w.WriteHeader(status)
}

func (p *proxiedRequest) copyHeaders(header http.Header) {
	copyHeader(p.w.Header(), header)
	p.closeWhileStopping()
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
