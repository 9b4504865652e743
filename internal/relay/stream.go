package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleygate/parsleygate/internal/targetclient"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// forwardStream passes a stream on, event by event, each as soon as it is whole.
func (p *proxiedRequest) forwardStream(ctx context.Context, answer *targetclient.Answer) error {
	flusher := http.NewResponseController(p.w)
	events := targetclient.NewEventReader(answer.Body, p.relay.Limits.EventBytes)

	if !p.streaming {
		// The head waits for the first event: until then the request may still be
		// refused or sent elsewhere in full.
		first, err := events.Next()
		if err != nil {
			return p.streamResult(err)
		}

		p.copyHeaders(answer)
		p.w.Header().Del("Content-Length")
		p.writeHead(answer.Status)

		p.streaming = true

		if err := p.writeEvent(flusher, events, first); err != nil {
			return err
		}
	}

	for {
		ev, err := events.Next()
		if err != nil {
			return p.streamResult(err)
		}

		if err := p.writeEvent(flusher, events, ev); err != nil {
			return err
		}

		if ctx.Err() != nil {
			return errCallerDisconnected
		}
	}
}

// streamResult says how a stream ended: nil where it is whole.
func (p *proxiedRequest) streamResult(err error) error {
	if errors.Is(err, io.EOF) && p.streaming {
		return nil
	}

	return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken, Err: err}
}

// writeEvent writes one event. An event that the caller has already, which a target may
// repeat when it goes on with a stream, is left out.
func (p *proxiedRequest) writeEvent(flusher *http.ResponseController, events *targetclient.EventReader, ev targetclient.Event) error {
	p.recordEventTime()

	if ev.HasID {
		if p.streaming && p.lastID > 0 && ev.ID <= p.lastID {
			return nil
		}

		p.lastID = ev.ID
		p.lastEvent = strconv.FormatUint(ev.ID, 10)
		// A caller that has got an event waits for the next one anew.
		p.eventDeadline = p.deadline
	}

	if _, err := p.w.Write(ev.Bytes); err != nil {
		return errCallerDisconnected
	}

	if events.Buffered() {
		return nil
	}

	if err := flusher.Flush(); err != nil {
		return errCallerDisconnected
	}

	return nil
}

// recordGap takes in a pause between two events that ended at now.
func (p *proxiedRequest) recordGap(now time.Time, eventGap time.Duration) {
	p.relay.queue.eventGap(p.placed, float64(eventGap)/float64(p.route.Gap))

	if eventGap > p.longestGap {
		p.longestGap, p.longestGapAt = eventGap, now
	}
}

// recordEventTime tells the dispatcher how long the target took for this event.
func (p *proxiedRequest) recordEventTime() {
	now := time.Now()

	switch {
	case p.eventAt.IsZero():
		p.relay.queue.recordFirstAnswer(p.placed, now.Sub(p.placedAt))
	case p.route.Gap > 0:
		p.recordGap(now, now.Sub(p.eventAt))
	}

	p.eventAt = now
}
