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

// pieceBytes bounds one Data frame. Two such buffers are all that is held of an answer.
const pieceBytes = 8 << 10

// buffers holds the buffers of ended relays.
var buffers = sync.Pool{New: func() any { return new([2 * pieceBytes]byte) }}

// piece is one step of an answer: its head, some data, its end, both of these, or
// its failure.
type piece struct {
	head *http.Response
	data []byte
	end  bool
	err  *verdict.Error
}

// relay reads one answer from the target.
type relay struct {
	ctx    context.Context
	abort  context.CancelCauseFunc
	x      *exchange
	pieces chan piece
	buf    *[2 * pieceBytes]byte
}

func newRelay(ctx context.Context, abort context.CancelCauseFunc, x *exchange) *relay {
	return &relay{
		ctx: ctx, abort: abort, x: x, pieces: make(chan piece),
		buf: buffers.Get().(*[2 * pieceBytes]byte),
	}
}

// release gives the buffer back, once the receiver is done with the last piece.
func (r *relay) release() { buffers.Put(r.buf) }

// read sends the pieces of the answer; the last has end or err set. The receiver
// takes them all.
func (r *relay) read() {
	// A target that takes the request and then stays silent holds its caller until
	// the deadline; the watch ends that earlier, without calling it "not run".
	watch := time.AfterFunc(r.x.agent.Settings.TargetIdleTimeout, func() {
		r.abort(&verdict.Error{Cause: verdict.CauseSilent})
	})
	defer watch.Stop()

	an := r.x.agent.target.load()
	if an == nil {
		r.pieces <- piece{err: verdict.Refuse(verdict.CauseTargetDown, time.Time{})}
		return
	}

	resp, err := r.x.agent.dialer.do(r.ctx, an.Address, r.x.req, &r.x.call) //nolint:bodyclose // body closes it
	if err != nil {
		var e *verdict.Error
		if !errors.As(err, &e) {
			e = &verdict.Error{Cause: verdict.CauseBroken, Err: err}
		}

		r.pieces <- piece{err: e}

		return
	}

	if resp.Header.Get(ColdHeader) == "true" {
		r.x.agent.toldCold()
	}

	r.pieces <- piece{head: resp}
	r.pieces <- r.body(resp.Body, watch)
}

// body sends the data of the answer and returns the last piece. Of the two halves
// of the buffer one is read into while the other is being written to the entry.
func (r *relay) body(body io.ReadCloser, watch *time.Timer) piece {
	// A body that isn't read to its end closes its connection, so nobody reuses it.
	defer func() { _ = body.Close() }()

	buf := r.buf
	half := 0

	for {
		watch.Reset(r.x.agent.Settings.TargetIdleTimeout)

		b := buf[half*pieceBytes : (half+1)*pieceBytes]
		n, err := body.Read(b)

		if n > 0 && errors.Is(err, io.EOF) {
			return piece{data: b[:n], end: true}
		}

		if n > 0 {
			watch.Stop()
			r.pieces <- piece{data: b[:n]}

			half = 1 - half
		}

		switch {
		case errors.Is(err, io.EOF):
			return piece{end: true}
		case err != nil:
			return piece{err: r.cut(err)}
		}
	}
}

// cut gives the verdict on an answer that broke off.
func (r *relay) cut(err error) *verdict.Error {
	e := &verdict.Error{Cause: verdict.CauseBroken, Err: err}
	if cause := causeOfEnd(r.ctx); cause != "" {
		e.Cause = cause
	}

	return e
}
