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

// stream passes a stream on, event by event, each as soon as it is whole.
func (p *passage) stream(ctx context.Context, answer *targetclient.Answer) error {
	flusher := http.NewResponseController(p.w)
	events := targetclient.NewEventReader(answer.Body, p.relay.Limits.EventBytes)

	if !p.streaming {
		// The head waits for the first event: until then the request may still be
		// refused or sent elsewhere in full.
		first, err := events.Next()
		if err != nil {
			return p.streamEnd(err)
		}

		p.copyHead(answer)
		p.w.Header().Del("Content-Length")
		p.head(answer.Status)

		p.streaming = true

		if err := p.pass(flusher, events, first); err != nil {
			return err
		}
	}

	for {
		ev, err := events.Next()
		if err != nil {
			return p.streamEnd(err)
		}

		if err := p.pass(flusher, events, ev); err != nil {
			return err
		}

		if ctx.Err() != nil {
			return errCallerGone
		}
	}
}

// streamEnd says how a stream ended: nil where it is whole.
func (p *passage) streamEnd(err error) error {
	if errors.Is(err, io.EOF) && p.streaming {
		return nil
	}

	return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken, Err: err}
}

// pass writes one event. An event that the caller has already, which a target may
// repeat when it goes on with a stream, is left out.
func (p *passage) pass(flusher *http.ResponseController, events *targetclient.EventReader, ev targetclient.Event) error {
	p.measure()

	if ev.HasID {
		if p.streaming && p.lastID > 0 && ev.ID <= p.lastID {
			return nil
		}

		p.lastID = ev.ID
		p.lastEvent = strconv.FormatUint(ev.ID, 10)
		// A caller that has got an event waits for the next one anew.
		p.giveUpAt = p.deadline
	}

	if _, err := p.w.Write(ev.Bytes); err != nil {
		return errCallerGone
	}

	if events.Buffered() {
		return nil
	}

	if err := flusher.Flush(); err != nil {
		return errCallerGone
	}

	return nil
}

// notePause takes in a pause between two events that ended at now.
func (p *passage) notePause(now time.Time, pause time.Duration) {
	p.relay.queue.pause(p.placed, float64(pause)/float64(p.route.Gap))

	if pause > p.longestPause {
		p.longestPause, p.longestAt = pause, now
	}
}

// measure tells the dispatcher how long the target took for this event.
func (p *passage) measure() {
	now := time.Now()

	switch {
	case p.eventAt.IsZero():
		p.relay.queue.first(p.placed, now.Sub(p.placedAt))
	case p.route.Gap > 0:
		p.notePause(now, now.Sub(p.eventAt))
	}

	p.eventAt = now
}
