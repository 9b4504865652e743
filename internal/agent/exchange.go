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
	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/eventstream"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// exchange relays one admitted request and its response. One goroutine (responseReader) reads
// from the target; run writes frames on the goroutine of the entry's connection. They hand
// over one part at a time, so that a slow entry applies backpressure to the target.
type exchange struct {
	agent *Agent
	req   *wire.Request
	out   *frameWriter
	call  call
	// announced is the boot of the target to which the request is sent.
	announced *Announcement
	// deadline is when the request ends, whatever its state.
	deadline time.Time

	// disconnected is set once the entry accepts no more frames.
	disconnected bool
	// endsWithConnection is set if the response has neither a length nor chunks.
	endsWithConnection bool
	stream             bool
	// events follows the response if it is a stream of events that can be read. It is nil
	// otherwise.
	events  *eventstream.Scanner
	gotData bool
	digest  xxhash.Digest
	length  uint64
	// recorded collects the response of a non-idempotent request. It is nil if the response is
	// not kept.
	recorded *wire.Answer
}

func newExchange(a *Agent, req *wire.Request, out *frameWriter, now time.Time) *exchange {
	x := &exchange{agent: a, req: req, out: out, announced: a.target.load(), deadline: now.Add(a.Settings.MaxRequestDuration)}
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

// run relays until the request has ended. The end of entryCtx means that the entry has
// disconnected.
func (x *exchange) run(entryCtx context.Context) {
	x.agent.openExchanges.Add(1)
	defer x.agent.openExchanges.Add(-1)

	ctx, cancel := context.WithDeadline(context.WithoutCancel(entryCtx), x.deadline)
	defer cancel()

	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)

	r := newResponseReader(ctx, abort, x)
	defer r.release()
	defer x.call.release()

	go r.read()

	heartbeat := time.NewTicker(x.agent.Settings.HeartbeatInterval)
	defer heartbeat.Stop()

	entryDone := entryCtx.Done()

	for {
		select {
		case p := <-r.parts:
			heartbeat.Reset(x.agent.Settings.HeartbeatInterval)

			// The last part and the disconnect may be pending at the same time. The
			// response must then be kept for the entry's query.
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

// mayCancel reports whether the request may be canceled once its entry has disconnected.
//
// The agent cannot detect whether the caller canceled or the entry's connection broke. An
// idempotent request is canceled to free the target, and so is a stream, which can't be
// resumed later. Any other request runs until its deadline and its response is kept: if it
// were canceled, it would be unknown whether it had taken effect.
func (x *exchange) mayCancel() bool {
	return x.req.GetIdempotent() || x.stream
}

// handle processes one part of the response and reports whether it was the last.
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
		x.end()
	}

	return p.end
}

// end ends a request whose response ended without an error.
func (x *exchange) end() {
	if err := x.endError(); err != nil {
		x.fail(&verdict.Error{Cause: verdict.CauseBroken, Err: err})
		return
	}

	x.complete()
}

// endError returns why a response that ended without an error is broken, or nil. The regular
// end of a connection says less than a length or a last chunk: a target that is lost before its
// first event ends its connections too.
func (x *exchange) endError() error {
	switch {
	case x.events != nil && x.events.InsideEvent():
		return eris.New("stream ended inside an event")
	case !x.endsWithConnection:
		return nil
	case !x.call.wroteRequest(len(x.req.GetBody())):
		return eris.New("connection ended before the request was written")
	case x.events != nil && !x.events.SawNew():
		return eris.New("connection ended before a new event")
	case x.stream && !x.gotData:
		return eris.New("connection ended before the stream began")
	default:
		return nil
	}
}

func (x *exchange) head(resp *http.Response) {
	h := &wire.Head{AttemptID: x.call.attemptID, Status: int32(resp.StatusCode), Headers: responseHeaders(resp)}
	x.stream = eventstream.IsStream(resp.Header.Get("Content-Type"))

	x.endsWithConnection = endsWithConnection(x.req, resp)

	// A framed failure may have a text instead of events, whatever its type says.
	mayHaveText := !isSuccess(resp.StatusCode) && !x.endsWithConnection
	if !mayHaveText && eventstream.IsReadable(resp.Header.Get("Content-Type"), resp.Header.Get("Content-Encoding")) {
		x.events = &eventstream.Scanner{After: lastEventID(x.req)}
	}

	if x.recorded != nil {
		x.recorded.Status = h.Status
		x.recorded.Headers = h.Headers
	}

	// With a known length, the body follows immediately, so the head need not be flushed alone.
	x.sendFrame(&wire.Frame{Kind: &wire.Frame_Head{Head: h}}, resp.ContentLength >= 0)
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// lastEventID returns the ID after which req resumes a stream, or "".
func lastEventID(req *wire.Request) string {
	for _, h := range req.GetHeaders() {
		if strings.EqualFold(h.GetName(), "Last-Event-ID") {
			return string(h.GetValue())
		}
	}

	return ""
}

// responseHeaders returns the response headers for the entry, sorted by name.
func responseHeaders(resp *http.Response) []*wire.Header {
	h := resp.Header.Clone()
	length := h.Get("Content-Length")
	removeHopByHop(h)

	if length != "" {
		h.Set("Content-Length", length)
	}

	out := make([]*wire.Header, 0, len(h))

	for name, values := range h {
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: []byte(v)})
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

	if x.events != nil {
		x.events.Scan(b)
	}

	_, _ = x.digest.Write(b)
	x.length += uint64(len(b))
	x.recordBody(b)
	x.sendFrame(&wire.Frame{Kind: &wire.Frame_Data{Data: b}}, p.end)
}

// recordBody appends b to the recorded response. Streams and responses larger than
// MaxAnswerBytes are not recorded.
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

// complete ends a request whose response is complete. The admission core is updated before the
// last frame is sent, so that the slot is free and the credit in that frame accounts for it.
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

// fail ends a request whose response is missing or truncated.
func (x *exchange) fail(e *verdict.Error) {
	a := x.agent
	now := a.Now()
	boot := x.endedBoot(e)
	load := x.finish(now, admission.Outcome{Verdict: e.Verdict, Abandoned: e.Verdict != verdict.NotRun})
	a.counters.broken.Inc(1)

	if errors.Is(e.Err, syscall.ECONNREFUSED) {
		// Nothing listens at the target's address: it is down, and will be cold when it
		// returns.
		a.admitter.targetDown(now)
	}

	if errors.Is(e.Err, callers.ErrAnswerTooLarge) {
		a.counters.noMemory.Inc(1)
	}

	if e.Cause == verdict.CauseCrossed {
		a.counters.crossed.Inc(1)
	}

	a.Logger.Warn("Request failed: no complete response from the target.", "attempt", x.call.attemptID, "cause", e.Cause, "verdict", e.Verdict, "err", e.Err)
	x.send(refusalFrame(x.call.attemptID, refusal{verdict: e.Verdict, cause: e.Cause, retryAt: e.RetryAt, endedBoot: boot}, now, load))
}

func (x *exchange) finish(now time.Time, o admission.Outcome) *wire.Load {
	g, l := x.agent.admitter.finish(now, x.call.attemptID, x.req.GetCredit().GetEntryID(), o)

	return loadToWire(l, creditToWire(g, now))
}

// send writes and flushes a frame unless the entry has disconnected.
func (x *exchange) send(f *wire.Frame) { x.sendFrame(f, false) }

// sendFrame writes a frame unless the entry has disconnected. With buffer set, the frame is
// flushed with the next frame or heartbeat, which saves two of three system calls for a small
// response.
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

// markDisconnected records that the entry's connection broke.
func (x *exchange) markDisconnected() {
	if x.disconnected {
		return
	}

	x.disconnected = true
	x.agent.Logger.Info("Entry disconnected during a request.", "attempt", x.call.attemptID, "cancelled", x.mayCancel())
}
