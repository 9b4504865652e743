package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/answers"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// maxDataBytes bounds the data of one Data frame. Two buffers of this size are the only memory
// used for a response in transit.
const maxDataBytes = 8 << 10

// bufferPool holds the buffers of finished readers.
var bufferPool = sync.Pool{New: func() any { return new([2 * maxDataBytes]byte) }}

// responsePart is one part of a response: its head, data, its end, data with the end, or an
// error.
type responsePart struct {
	head *http.Response
	data []byte
	end  bool
	err  *verdict.Error
}

// responseReader reads one response from the target.
type responseReader struct {
	ctx      context.Context
	abort    context.CancelCauseFunc
	exchange *exchange
	parts    chan responsePart
	buf      *[2 * maxDataBytes]byte
}

func newResponseReader(ctx context.Context, abort context.CancelCauseFunc, x *exchange) *responseReader {
	return &responseReader{
		ctx: ctx, abort: abort, exchange: x, parts: make(chan responsePart),
		buf: bufferPool.Get().(*[2 * maxDataBytes]byte),
	}
}

// release returns the buffer to the pool. The receiver must be done with the last part.
func (r *responseReader) release() { bufferPool.Put(r.buf) }

// read sends the parts of the response. The last part has end or err set, and the receiver
// must accept all parts.
func (r *responseReader) read() {
	// A target that accepts the request and then sends nothing would hold its caller until the
	// deadline. The timer ends the request earlier, as one that may have run.
	idleTimer := time.AfterFunc(r.exchange.agent.Settings.TargetIdleTimeout, func() {
		r.abort(&verdict.Error{Cause: verdict.CauseSilent})
	})
	defer idleTimer.Stop()

	announced := r.exchange.announced
	if announced == nil {
		r.parts <- responsePart{err: verdict.Refuse(verdict.CauseTargetDown, time.Time{})}
		return
	}

	resp, err := r.exchange.agent.client.do(r.ctx, announced.Address, r.exchange.req, &r.exchange.call) //nolint:bodyclose // closed by readBody
	if err != nil {
		var e *verdict.Error
		if !errors.As(err, &e) {
			e = &verdict.Error{Cause: verdict.CauseBroken, Err: err}
		}

		r.parts <- responsePart{err: e}

		return
	}

	if resp.Header.Get(HeaderCold) == "true" {
		r.exchange.agent.reportCold()
	}

	r.exchange.agent.reportRest(resp)

	r.parts <- responsePart{head: resp}
	r.parts <- r.readBody(resp, idleTimer)
}

// readBody sends the body of the response and returns the last part. It reads into one half of
// the buffer while the other half is being written to the entry.
func (r *responseReader) readBody(resp *http.Response, idleTimer *time.Timer) responsePart {
	// A body that is closed before its end closes the connection, which is then not reused.
	defer func() { _ = resp.Body.Close() }()

	body := answers.NewBody(resp)
	buf := r.buf
	half := 0

	for {
		idleTimer.Reset(r.exchange.agent.Settings.TargetIdleTimeout)

		b := buf[half*maxDataBytes : (half+1)*maxDataBytes]
		n, err := body.Read(b)

		if n > 0 && errors.Is(err, io.EOF) {
			return responsePart{data: b[:n], end: true}
		}

		if n > 0 {
			idleTimer.Stop()
			r.parts <- responsePart{data: b[:n]}

			half = 1 - half
		}

		switch {
		case errors.Is(err, io.EOF):
			return responsePart{end: true}
		case err != nil:
			return responsePart{err: r.truncated(err)}
		}
	}
}

// truncated returns the error for a response that broke off, or whose trailer is broken.
func (r *responseReader) truncated(err error) *verdict.Error {
	if broken := new(answers.HeadError); errors.As(err, &broken) {
		r.exchange.agent.client.discard(&r.exchange.call)
	}

	e := &verdict.Error{Cause: verdict.CauseBroken, Err: err}
	if cause := contextCause(r.ctx); cause != "" {
		e.Cause = cause
	}

	return e
}
