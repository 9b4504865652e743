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
	// until is when the request ends, whatever its state.
	until time.Time

	// entryGone says that the entry takes no more frames.
	entryGone bool
	stream    bool
	begun     bool
	digest    xxhash.Digest
	length    uint64
	// record collects the answer of a request that must not be repeated; nil where it isn't kept.
	record *wire.Answer
}

func newExchange(a *Agent, req *wire.Request, out *frameWriter, now time.Time) *exchange {
	x := &exchange{agent: a, req: req, out: out, until: now.Add(a.Settings.MaxRequestDuration)}
	x.call.attemptID = req.GetAttemptID()
	x.digest.Reset()

	const maxMillis = uint64(1 << 40)
	if left := req.GetRemainingMillis(); left < maxMillis {
		if at := now.Add(time.Duration(left) * time.Millisecond); at.Before(x.until) {
			x.until = at
		}
	}

	if !req.GetIdempotent() {
		x.record = &wire.Answer{}
	}

	return x
}

// run relays until the request has ended. The entry's connection is gone when entry ends.
func (x *exchange) run(entry context.Context) {
	x.agent.open.Add(1)
	defer x.agent.open.Add(-1)

	ctx, cancel := context.WithDeadline(context.WithoutCancel(entry), x.until)
	defer cancel()

	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)

	r := newRelay(ctx, abort, x)
	defer r.release()

	go r.read()

	beat := time.NewTicker(x.agent.Settings.HeartbeatInterval)
	defer beat.Stop()

	gone := entry.Done()

	for {
		select {
		case p := <-r.pieces:
			beat.Reset(x.agent.Settings.HeartbeatInterval)

			// The last piece and the loss of the entry may be there at once: the answer is
			// then to be kept for who asks for it.
			if entry.Err() != nil {
				x.entryLeft()
			}

			if x.take(p) {
				return
			}
		case <-beat.C:
			x.send(&wire.Frame{Kind: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{AttemptID: x.call.attemptID}}})
		case <-gone:
			gone = nil
			x.entryLeft()
		}

		if x.entryGone && x.mayCancel() {
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

// take handles one piece from the target and reports whether it was the last.
func (x *exchange) take(p piece) bool {
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

func (x *exchange) head(resp *http.Response) {
	h := &wire.Head{AttemptID: x.call.attemptID, Status: int32(resp.StatusCode), Headers: answerHeaders(resp)}
	x.stream = strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")

	if x.record != nil {
		x.record.Status = h.Status
		x.record.Headers = h.Headers
	}

	// Of an answer with a length the body is there, or about to be.
	x.sendSoon(&wire.Frame{Kind: &wire.Frame_Head{Head: h}}, resp.ContentLength >= 0)
}

// answerHeaders returns the headers that go back to the entry, in a fixed order.
func answerHeaders(resp *http.Response) []*wire.Header {
	h := resp.Header.Clone()
	length := h.Get("Content-Length")
	dropHopByHop(h)

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

func (x *exchange) data(p piece) {
	b := p.data
	if len(b) == 0 {
		return
	}

	if !x.begun {
		x.begun = true
		x.agent.door.firstToken(x.agent.Now(), x.call.attemptID)
	}

	_, _ = x.digest.Write(b)
	x.length += uint64(len(b))
	x.keep(b)
	x.sendSoon(&wire.Frame{Kind: &wire.Frame_Data{Data: b}}, p.end)
}

// keep records b, up to the bound of one recorded answer.
func (x *exchange) keep(b []byte) {
	if x.record == nil {
		return
	}

	if x.stream || len(x.record.GetBody())+len(b) > x.agent.Settings.MaxAnswerBytes {
		x.record = nil
		return
	}

	x.record.Body = append(x.record.Body, b...)
}

// end closes a whole answer. The core hears of it first, so that the slot is free
// and the entry's new credit counts it.
func (x *exchange) end() {
	a := x.agent
	now := a.Now()

	if !x.begun {
		a.door.firstToken(now, x.call.attemptID)
	}

	load := x.finish(now, admission.Outcome{Verdict: verdict.Ran, Answer: x.record})
	a.counters.ran.Inc(1)
	x.send(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{
		AttemptID: x.call.attemptID,
		Length:    x.length,
		Digest:    x.digest.Sum64(),
		Load:      load,
	}}})

	if x.record != nil && x.entryGone {
		a.undelivered(now)
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
		a.door.targetDown(now)
	}

	if e.Cause == verdict.CauseCrossed {
		a.counters.crossed.Inc(1)
	}

	a.Logger.Warn("Request got no whole answer.", "attempt", x.call.attemptID, "cause", e.Cause, "verdict", e.Verdict, "err", e.Err)
	x.send(refusalFrame(x.call.attemptID, refusal{verdict: e.Verdict, cause: e.Cause, retryAt: e.RetryAt}, now, load))
}

func (x *exchange) finish(now time.Time, o admission.Outcome) *wire.Load {
	g, l := x.agent.door.finish(now, x.call.attemptID, x.req.GetCredit().GetEntryID(), o)

	return loadToWire(l, creditToWire(g, now))
}

// send writes a frame unless the entry is gone.
func (x *exchange) send(f *wire.Frame) { x.sendSoon(f, false) }

// sendSoon writes a frame; with more, the next frame or heartbeat takes it along,
// which saves a small answer two system calls of three.
func (x *exchange) sendSoon(f *wire.Frame, more bool) {
	if x.entryGone {
		return
	}

	write := x.out.write
	if more {
		write = x.out.add
	}

	if err := write(f); err != nil {
		x.entryLeft()
	}
}

// entryLeft notes that the entry's connection broke.
func (x *exchange) entryLeft() {
	if x.entryGone {
		return
	}

	x.entryGone = true
	x.agent.Logger.Info("The entry is gone.", "attempt", x.call.attemptID, "cancelled", x.mayCancel())
}
