package agent

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// exchange relays one admitted request and its answer. One goroutine reads the
// target (relay); run, on the goroutine of the entry's connection, writes frames.
// Between them goes one piece at a time, so that a slow entry slows the target.
type exchange struct {
	agent *Agent
	req   *wire.Request
	out   *frameWriter
	call  call
	// deadline is when the request ends, whatever its state.
	deadline time.Time

	// disconnected says that the entry takes no more frames.
	disconnected bool
	stream       bool
	gotData      bool
	digest       xxhash.Digest
	length       uint64
	// recorded collects the answer of a request that must not be repeated; nil where it isn't kept.
	recorded *wire.Answer
}

func newExchange(a *Agent, req *wire.Request, out *frameWriter, now time.Time) *exchange {
	x := &exchange{agent: a, req: req, out: out, deadline: now.Add(a.Settings.MaxRequestDuration)}
	x.call.attemptID = req.GetAttemptID()
	x.digest.Reset()

	const maxMillis = uint64(1 << 40)
	if remaining := req.GetRemainingMillis(); remaining < maxMillis {
		if at := now.Add(time.Duration(remaining) * time.Millisecond); at.Before(x.deadline) {
			x.deadline = at
		}
	}

	if !req.GetIdempotent() {
		x.recorded = &wire.Answer{}
	}

	return x
}

// run relays until the request has ended. The entry's connection is gone when entry ends.
func (x *exchange) run(entryCtx context.Context) {
	x.agent.openExchanges.Add(1)
	defer x.agent.openExchanges.Add(-1)

	ctx, cancel := context.WithDeadline(context.WithoutCancel(entryCtx), x.deadline)
	defer cancel()

	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)

	r := newResponseReader(ctx, abort, x)
	defer r.release()

	go r.read()

	heartbeat := time.NewTicker(x.agent.Settings.HeartbeatInterval)
	defer heartbeat.Stop()

	entryDone := entryCtx.Done()

	for {
		select {
		case p := <-r.parts:
			heartbeat.Reset(x.agent.Settings.HeartbeatInterval)

			// The last piece and the loss of the entry may be there at once: the answer is
			// then to be kept for who asks for it.
			if entryCtx.Err() != nil {
				x.markDisconnected()
			}

			if x.handle(p) {
				return
			}
		case <-heartbeat.C:
			x.send(&wire.Frame{Kind: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{AttemptID: x.call.attemptID}}})
		case <-entryDone:
			entryDone = nil
			x.markDisconnected()
		}

		if x.disconnected && x.mayCancel() {
			abort(&verdict.Error{Cause: verdict.CauseCancelled})
		}
	}
}

// mayCancel reports whether the request may be cut off once its entry is gone.
//
// An entry that is gone may have given up, or its connection may have broken; the
// agent can't tell. A request that may be repeated, and a stream, which nobody can
// pick up later, are cancelled, so that the target is free. Any other runs on to
// its deadline and its answer is kept: cut off, nobody could tell whether a booking
// was made.
func (x *exchange) mayCancel() bool {
	return x.req.GetIdempotent() || x.stream
}

// handle handles one piece from the target and reports whether it was the last.
func (x *exchange) handle(p responsePart) bool {
	switch {
	case p.err != nil:
		x.fail(p.err)
		return true
	case p.head != nil:
		x.head(p.head)
	default:
		x.data(p)
	}

	if p.end {
		x.complete()
	}

	return p.end
}

func (x *exchange) head(resp *http.Response) {
	h := &wire.Head{AttemptID: x.call.attemptID, Status: int32(resp.StatusCode), Headers: answerHeaders(resp)}
	x.stream = strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")

	if x.recorded != nil {
		x.recorded.Status = h.Status
		x.recorded.Headers = h.Headers
	}

	// Of an answer with a length the body is there, or about to be.
	x.sendFrame(&wire.Frame{Kind: &wire.Frame_Head{Head: h}}, resp.ContentLength >= 0)
}

// answerHeaders returns the headers that go back to the entry, in a fixed order.
func answerHeaders(resp *http.Response) []*wire.Header {
	h := resp.Header.Clone()
	length := h.Get("Content-Length")
	removeHopByHop(h)

	if length != "" {
		h.Set("Content-Length", length)
	}

	out := make([]*wire.Header, 0, len(h))

	for name, values := range h {
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: v})
		}
	}

	slices.SortStableFunc(out, func(a, b *wire.Header) int { return strings.Compare(a.GetName(), b.GetName()) })

	return out
}

func (x *exchange) data(p responsePart) {
	b := p.data
	if len(b) == 0 {
		return
	}

	if !x.gotData {
		x.gotData = true
		x.agent.admitter.firstToken(x.agent.Now(), x.call.attemptID)
	}

	_, _ = x.digest.Write(b)
	x.length += uint64(len(b))
	x.recordBody(b)
	x.sendFrame(&wire.Frame{Kind: &wire.Frame_Data{Data: b}}, p.end)
}

// recordBody records b, up to the bound of one recorded answer.
func (x *exchange) recordBody(b []byte) {
	if x.recorded == nil {
		return
	}

	if x.stream || len(x.recorded.GetBody())+len(b) > x.agent.Settings.MaxAnswerBytes {
		x.recorded = nil
		return
	}

	x.recorded.Body = append(x.recorded.Body, b...)
}

// complete closes a whole answer. The core hears of it first, so that the slot is free
// and the entry's new credit counts it.
func (x *exchange) complete() {
	a := x.agent
	now := a.Now()

	if !x.gotData {
		a.admitter.firstToken(now, x.call.attemptID)
	}

	load := x.finish(now, admission.Outcome{Verdict: verdict.Ran, Answer: x.recorded})
	a.counters.ran.Inc(1)
	x.send(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{
		AttemptID: x.call.attemptID,
		Length:    x.length,
		Digest:    x.digest.Sum64(),
		Load:      load,
	}}})

	if x.recorded != nil && x.disconnected {
		a.recordUndelivered(now)
	}
}

// fail ends a request that got no answer, or a cut one.
func (x *exchange) fail(e *verdict.Error) {
	a := x.agent
	now := a.Now()
	load := x.finish(now, admission.Outcome{Verdict: e.Verdict, Abandoned: e.Verdict != verdict.NotRun})
	a.counters.broken.Inc(1)

	if errors.Is(e.Err, syscall.ECONNREFUSED) {
		// Nobody listens: the target is gone, and will be cold when it is back.
		a.admitter.targetDown(now)
	}

	if e.Cause == verdict.CauseCrossed {
		a.counters.crossed.Inc(1)
	}

	a.Logger.Warn("Request got no whole answer.", "attempt", x.call.attemptID, "cause", e.Cause, "verdict", e.Verdict, "err", e.Err)
	x.send(refusalFrame(x.call.attemptID, refusal{verdict: e.Verdict, cause: e.Cause, retryAt: e.RetryAt}, now, load))
}

func (x *exchange) finish(now time.Time, o admission.Outcome) *wire.Load {
	g, l := x.agent.admitter.finish(now, x.call.attemptID, x.req.GetCredit().GetEntryID(), o)

	return loadToWire(l, creditToWire(g, now))
}

// send writes a frame unless the entry is gone.
func (x *exchange) send(f *wire.Frame) { x.sendFrame(f, false) }

// sendFrame writes a frame; with more, the next frame or heartbeat takes it along,
// which saves a small answer two system calls of three.
func (x *exchange) sendFrame(f *wire.Frame, buffer bool) {
	if x.disconnected {
		return
	}

	write := x.out.write
	if buffer {
		write = x.out.buffer
	}

	if err := write(f); err != nil {
		x.markDisconnected()
	}
}

// markDisconnected notes that the entry's connection broke.
func (x *exchange) markDisconnected() {
	if x.disconnected {
		return
	}

	x.disconnected = true
	x.agent.Logger.Info("The entry is gone.", "attempt", x.call.attemptID, "cancelled", x.mayCancel())
}
