package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleygate/parsleygate/internal/eventstream"
	"github.com/parsleygate/parsleygate/internal/targetclient"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// forwardStream forwards a stream event by event, each as soon as it is complete.
func (p *proxiedRequest) forwardStream(ctx context.Context, answer *targetclient.Answer) error {
	defer p.unboundWrites()
	defer func() { _ = p.flushEvents() }()

	// Events that arrive together are flushed together, before the next read.
	events := targetclient.NewEventReader(answer.Body, p.relay.Limits.MaxEventBytes)
	events.BeforeRead = p.flushEvents
	events.Grow = p.hold.growBy(p.relay.Now)

	if !p.streaming {
		// The head is sent with the first event: until then the request can still be
		// refused, or retried from its beginning at another target.
		first, err := events.Next()
		if err == nil && len(bytes.TrimSpace(first.Bytes)) == 0 {
			err = io.EOF
		}

		if err != nil {
			return p.streamResult(answer, err)
		}

		p.copyHeaders(answer.Header)
		p.w.Header().Del("Content-Length")
		p.writeHead(answer.Status)

		p.streaming = true

		if err := p.writeEvent(first); err != nil {
			return err
		}
	}

	for {
		ev, err := events.Next()
		if err != nil {
			return p.streamResult(answer, err)
		}

		if err := p.writeEvent(ev); err != nil {
			return err
		}

		if ctx.Err() != nil {
			return errCallerDisconnected
		}
	}
}

// continuesStream reports whether an answer has the status and the kind of content of the stream whose
// beginning the caller has. The caller would take any other for the rest of the stream.
func (p *proxiedRequest) continuesStream(answer *targetclient.Answer) bool {
	return answer.Status == p.status &&
		eventstream.IsStream(answer.Header.Get("Content-Type")) == eventstream.IsStream(p.w.Header().Get("Content-Type"))
}

// streamResult returns nil if the stream ended after at least one event and without an error, and all
// events could be sent, else an error. A target that resumes a stream may have nothing to add, but a
// connection that ends before it has does not say so.
func (p *proxiedRequest) streamResult(answer *targetclient.Answer, err error) error {
	if errors.Is(err, errCallerDisconnected) {
		return err
	}

	if errors.Is(err, io.EOF) && p.streaming && (p.attemptEvents > 0 || answer.Framing != targetclient.FramedByConnection) {
		return p.flushEvents()
	}

	cause := verdict.CauseBroken
	if errors.Is(err, errMemoryFull) {
		cause = verdict.CauseOverload
	}

	return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: cause, Err: err}
}

// isCompleteStream reports whether a stream that was read to its end stopped between two events. If
// only the end of its connection delimits it, it must have an event.
func isCompleteStream(body []byte, framing targetclient.Framing) bool {
	var events eventstream.Scanner

	events.Scan(body)

	return !events.InsideEvent() && (events.SawNew() || framing != targetclient.FramedByConnection)
}

// writeEvent writes one event to the caller. It skips events that the caller already has: a
// target that resumes a stream may repeat them.
func (p *proxiedRequest) writeEvent(ev targetclient.Event) error {
	p.recordEventTime()

	if !ev.Comment {
		p.answerEvents++
	}

	if p.answerEvents == soundEvents {
		p.markSound()
	}

	if ev.HasID {
		if p.streaming && p.lastForwardedID > 0 && ev.ID <= p.lastForwardedID {
			return nil
		}

		p.lastForwardedID = ev.ID
		p.lastEvent = strconv.FormatUint(ev.ID, 10)
		// With an event received, the caller's timeout for the first one no longer applies.
		p.eventDeadline = p.deadline
	}

	if !ev.Comment {
		p.attemptEvents++
	}

	p.recordForwarded()
	p.boundWrite()

	if _, err := p.w.Write(ev.Bytes); err != nil {
		return errCallerDisconnected
	}

	p.unflushed = true

	return nil
}

// flushEvents sends the events that have been written to the caller.
func (p *proxiedRequest) flushEvents() error {
	if !p.unflushed {
		return nil
	}

	p.unflushed = false

	if err := http.NewResponseController(p.w).Flush(); err != nil {
		return errCallerDisconnected
	}

	return nil
}

// recordGap records a gap between two events that ended at now.
func (p *proxiedRequest) recordGap(now time.Time, eventGap time.Duration) {
	p.relay.queue.recordEventGap(p.placed, eventGap, p.route.EventGapTarget)

	if eventGap > p.longestGap {
		p.longestGap, p.longestGapAt = eventGap, now
	}
}

// recordEventTime reports to the dispatcher how long the target took for this event.
func (p *proxiedRequest) recordEventTime() {
	now := p.relay.Now()

	switch {
	case p.eventAt.IsZero():
		p.relay.queue.recordFirstAnswer(p.placed, now.Sub(p.placedAt))
	case p.route.EventGapTarget > 0:
		p.recordGap(now, now.Sub(p.eventAt))
	}

	p.eventAt = now
}

// recordForwarded counts an event that the caller gets now. The gap before it may be that of a stream
// that another target resumed.
func (p *proxiedRequest) recordForwarded() {
	now := p.relay.Now()

	if p.events > 0 && p.route.EventGapTarget > 0 && now.Sub(p.forwardedAt) > p.route.EventGapTarget {
		p.countLate()
	}

	p.events++
	p.forwardedAt = now
}
