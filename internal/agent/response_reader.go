package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// maxDataBytes bounds one Data frame. Two such buffers are all that is held of an answer.
const maxDataBytes = 8 << 10

// bufferPool holds the buffers of ended relays.
var bufferPool = sync.Pool{New: func() any { return new([2 * maxDataBytes]byte) }}

// responsePart is one step of an answer: its head, some data, its end, both of these, or
// its failure.
type responsePart struct {
	head *http.Response
	data []byte
	end  bool
	err  *verdict.Error
}

// responseReader reads one answer from the target.
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

// release gives the buffer back, once the receiver is done with the last piece.
func (r *responseReader) release() { bufferPool.Put(r.buf) }

// read sends the pieces of the answer; the last has end or err set. The receiver
// takes them all.
func (r *responseReader) read() {
	// A target that takes the request and then stays silent holds its caller until
	// the deadline; the watch ends that earlier, without calling it "not run".
	idleTimer := time.AfterFunc(r.exchange.agent.Settings.TargetIdleTimeout, func() {
		r.abort(&verdict.Error{Cause: verdict.CauseSilent})
	})
	defer idleTimer.Stop()

	announced := r.exchange.agent.target.load()
	if announced == nil {
		r.parts <- responsePart{err: verdict.Refuse(verdict.CauseTargetDown, time.Time{})}
		return
	}

	resp, err := r.exchange.agent.client.do(r.ctx, announced.Address, r.exchange.req, &r.exchange.call) //nolint:bodyclose // body closes it
	if err != nil {
		var e *verdict.Error
		if !errors.As(err, &e) {
			e = &verdict.Error{Cause: verdict.CauseBroken, Err: err}
		}

		r.parts <- responsePart{err: e}

		return
	}

	if resp.Header.Get(ColdHeader) == "true" {
		r.exchange.agent.reportCold()
	}

	r.parts <- responsePart{head: resp}
	r.parts <- r.readBody(resp.Body, idleTimer)
}

// readBody sends the data of the answer and returns the last piece. Of the two halves
// of the buffer one is read into while the other is being written to the entry.
func (r *responseReader) readBody(body io.ReadCloser, idleTimer *time.Timer) responsePart {
	// A body that isn't read to its end closes its connection, so nobody reuses it.
	defer func() { _ = body.Close() }()

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

// truncated gives the verdict on an answer that broke off.
func (r *responseReader) truncated(err error) *verdict.Error {
	e := &verdict.Error{Cause: verdict.CauseBroken, Err: err}
	if cause := contextCause(r.ctx); cause != "" {
		e.Cause = cause
	}

	return e
}
