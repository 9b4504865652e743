package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routes"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// passage is one request on its way through this entry.
type passage struct {
	relay *Relay
	w     http.ResponseWriter
	req   *http.Request
	state *view.Followed
	began time.Time

	call      RequestInfo
	route     *routes.Route
	workspace *routes.Workspace
	service   string
	body      []byte
	// deadline is when the caller or the route ends it; giveUpAt when a caller that
	// has heard nothing leaves; aimAt until when the first answer is of full use.
	deadline time.Time
	giveUpAt time.Time
	aimAt    time.Time

	// placed is the target that has it now, since placedAt; eventAt is when the last
	// event came from there.
	placed   dispatch.Action
	placedAt time.Time
	eventAt  time.Time

	// waited is how long it has waited for targets so far.
	waited time.Duration

	// longestPause is the longest time between two events of its stream, which ended at
	// longestAt.
	longestPause time.Duration
	longestAt    time.Time

	// status is that of the answer that was passed on, first how long it took to begin.
	status int
	first  time.Duration
	// room is the state of the targets when it was refused.
	room dispatch.CapacitySummary

	// tried are the targets that it was sent to, reached how far the last try got.
	tried   []string
	reached reach
	// sends is how many targets may have read it, misdirected how many of them were
	// others than those that were meant.
	sends       int
	misdirected int
	// notAgain is why it is not sent to another target after its last try.
	notAgain retries.Reason
	// ran is set once some target may have run it.
	ran bool
	// streaming is set once the head of a stream has left; lastEvent is the last
	// event that the caller has.
	streaming bool
	lastEvent string
	lastID    uint64
}

// run sends the request until it is answered, or must not be sent again.
func (p *passage) run() {
	ctx, cancel := context.WithDeadline(p.req.Context(), p.deadline)
	defer cancel()

	p.relay.Budget.RecordRequest(p.began, p.service, p.relay.parts.budget(p.service))

	var failed error // the try before

	for {
		placed, err := p.place(ctx)
		if err != nil {
			p.end(err)

			return
		}

		if failed != nil {
			p.noteAgain(failed, placed)
		}

		if failed = p.attempt(ctx, placed); failed == nil {
			p.done()

			return
		}

		if p.notAgain = p.again(ctx, failed); p.notAgain != retries.ReasonNone {
			p.end(failed)

			return
		}
	}
}

// place waits for a target.
func (p *passage) place(ctx context.Context) (dispatch.Action, error) {
	asked := time.Now()
	placed, err := p.relay.queue.place(ctx, p.request())
	now := time.Now()

	p.waited += now.Sub(asked)

	if err != nil {
		p.room = placed.Capacity

		return placed, err
	}

	p.relay.latencies.wait.Update(millis(p.began, now))

	return placed, nil
}

func (p *passage) request() dispatch.Request {
	return dispatch.Request{
		Service: p.service, Workspace: p.workspaceName(), Priority: p.rank(),
		SoftDeadline: p.aimAt, Deadline: p.giveUpAt, Work: p.work(), Excluded: p.tried,
	}
}

func (p *passage) workspaceName() string {
	if p.workspace == nil {
		return ""
	}

	return p.workspace.Name
}

// attempt sends the request to one target and delivers its answer. An error says
// what became of it there.
func (p *passage) attempt(ctx context.Context, placed dispatch.Action) error {
	outcome := dispatch.Canceled
	defer func() { p.relay.queue.finish(placed, p.work(), outcome) }()

	p.tried = append(slices.Clip(p.tried), placed.Target.ID)
	p.placed, p.placedAt, p.eventAt = placed, time.Now(), time.Time{}
	p.reached = reachNone

	answer, err := p.relay.Transport.Open(ctx, placed.Target.Address, p.outbound(placed.Target.ID))
	if err != nil {
		if verdict.Of(err) != verdict.NotRun {
			p.noteRead(reachTarget)
			p.ran = true
		}

		outcome = p.blame(ctx, err)

		return err
	}
	defer answer.Close()

	word := p.relay.Dialect.ReadResponse(answer.Status, answer.Header)
	if word.Misdirected {
		p.noteRead(reachOther)
	} else {
		p.noteRead(reachTarget)
	}

	p.relay.queue.report(placed, word)

	if err := p.check(answer, word); err != nil {
		outcome = outcomeOf(word)

		return err
	}

	p.ran = true

	if err := p.deliver(ctx, answer); err != nil {
		outcome = p.blame(ctx, err)

		return err
	}

	outcome = dispatch.Completed

	return nil
}

// noteRead takes in that a target may have read the request.
func (p *passage) noteRead(r reach) {
	p.reached = r
	p.sends++

	if r == reachOther {
		p.misdirected++
		p.relay.counters.misdirected.Add(1)
	}
}

// blame says whether a failure tells something of the target.
func (p *passage) blame(ctx context.Context, err error) dispatch.Outcome {
	if ctx.Err() != nil || errors.Is(err, errCallerGone) {
		return dispatch.Canceled
	}

	return dispatch.Failed
}
