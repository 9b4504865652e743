package relay

import (
	"net/http"
	"strconv"

	"github.com/parsleygate/parsleygate/internal/targetclient"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// bufferedAnswer is a complete answer of a target that was not sent to the caller yet.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// errTargetFailure is the error of an attempt that a target answered with a failure. The
// answer is kept, and is sent to the caller unless another target does better or begins a stream.
var errTargetFailure = &verdict.Error{Verdict: verdict.Ran, Cause: verdict.CauseTargetFailure}

// isTargetFailure reports whether a status says that the target failed, where another one
// may succeed. impliesNotRun covers the others.
func isTargetFailure(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// observeAnswer records whether the target answered with a failure.
func (p *proxiedRequest) observeAnswer(answer *targetclient.Answer) {
	p.relay.failureRate.Observe(p.service, isTargetFailure(answer.Status))
}

// writeAnswer sends a complete answer to the caller.
func (p *proxiedRequest) writeAnswer(a *bufferedAnswer) {
	p.copyHeaders(a.header)

	if bodyAllowed(a.status) && p.req.Method != http.MethodHead {
		p.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}

	p.writeHead(a.status)
	p.hold.waitFor(p.relay.Now(), readerCaller)
	p.boundWrite()

	if _, err := p.w.Write(a.body); err != nil && bodyAllowed(a.status) {
		p.relay.counters.disconnected.Add(1)
	}

	p.unboundWrites()
}

// end ends a request after its last attempt: with the failure that a target answered, if
// there is one and the caller has not received a part of a stream, or with an error.
func (p *proxiedRequest) end(err error) {
	if p.failure == nil || p.streaming || p.req.Context().Err() != nil {
		p.endWithError(err)

		return
	}

	p.writeAnswer(p.failure)
	p.complete()
}
