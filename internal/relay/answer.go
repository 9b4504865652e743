package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/targetclient"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

func outcomeOf(w ResponseInfo) dispatch.Outcome {
	switch {
	case w.Misdirected:
		return dispatch.Misdirected
	case w.NotRun:
		return dispatch.Rejected
	default:
		return dispatch.Failed
	}
}

// check holds the head of an answer against the request that it must answer.
func (p *passage) check(answer *targetclient.Answer, word ResponseInfo) error {
	switch {
	case word.Misdirected:
		return &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseIncarnation}
	case word.NotRun && answer.Status != http.StatusBadRequest:
		return &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseOverload}
	case word.ID != "" && word.ID != p.call.ID:
		p.ran = true

		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseCrossed}
	case isSuccess(answer.Status) && !word.Signed, answer.Header.Get("Content-Encoding") != "", promisesNotRun(answer.Status):
		// A target that promises nothing may have run it, whatever the status says.
		p.ran = true

		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken}
	}

	return nil
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// promisesNotRun reports whether callers take the status for a promise.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// outbound is the request as it goes to a target now.
func (p *passage) outbound(target string) *targetclient.Request {
	h := p.req.Header.Clone()
	dropHopByHop(h)
	h.Del("Content-Length")
	p.relay.Dialect.SetForwardHeaders(h, ForwardInfo{
		TargetID: target, Workspace: p.workspaceName(), Remaining: time.Until(p.deadline), LastEvent: p.lastEvent,
	})

	return &targetclient.Request{
		Method: p.req.Method, URI: p.req.RequestURI, Host: p.req.Host, Header: h, Body: p.body, Deadline: p.deadline,
	}
}

// errCallerGone says that the caller left before its answer was whole.
var errCallerGone = errors.New("relay: the caller left")

// deliver passes an answer on.
func (p *passage) deliver(ctx context.Context, answer *targetclient.Answer) error {
	if p.route.Stream && isSuccess(answer.Status) {
		return p.stream(ctx, answer)
	}

	if p.streaming {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken}
	}

	// The answer is held until it is whole: a part of one must not look complete,
	// and one that broke off may still be had from another target.
	body, err := io.ReadAll(io.LimitReader(answer.Body, p.relay.Limits.AnswerBytes+1))
	if err != nil || int64(len(body)) > p.relay.Limits.AnswerBytes {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken, Err: err}
	}

	p.copyHead(answer)

	if bodyAllowed(answer.Status) && p.req.Method != http.MethodHead {
		p.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}

	p.head(answer.Status)

	if _, err := p.w.Write(body); err != nil && bodyAllowed(answer.Status) {
		p.relay.counters.left.Add(1)
	}

	return nil
}

// head sends the head of a target's answer.
func (p *passage) head(status int) {
	p.status = status
	p.first = time.Since(p.began)
	p.relay.latencies.first.Update(p.first.Milliseconds())
	p.w.WriteHeader(status)
}

func (p *passage) copyHead(answer *targetclient.Answer) {
	copyHeader(p.w.Header(), answer.Header)

	if _, stopping := p.relay.StopsAt(); stopping {
		p.w.Header().Set("Connection", "close")
	}
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
