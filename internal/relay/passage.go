package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/door"
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

	call      Call
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

	// status is that of the answer that was passed on, first how long it took to begin.
	status int
	first  time.Duration
	// room is the state of the targets when it was refused.
	room dispatch.Room

	// tried are the targets that it was sent to, sends how many may have read it.
	tried []string
	sends int
	// ran is set once some target may have run it.
	ran bool
	// streaming is set once the head of a stream has left; lastEvent is the last
	// event that the caller has.
	streaming bool
	lastEvent string
	lastID    uint64
}

// mostDials bounds how many targets are tried whose connection did not come up.
const mostDials = 4

// run sends the request until it is answered, or must not be sent again.
func (p *passage) run() {
	ctx, cancel := context.WithDeadline(p.req.Context(), p.deadline)
	defer cancel()

	p.relay.Budget.Fresh(p.began, p.service, p.state.Entries)

	for dials := 1; ; dials++ {
		placed, err := p.relay.queue.place(ctx, p.request())
		if err != nil {
			p.room = placed.Room
			p.end(err)

			return
		}

		p.relay.latencies.wait.Update(millis(p.began, time.Now()))

		err = p.attempt(ctx, placed)
		if err == nil {
			p.done()

			return
		}

		if !p.again(ctx, err, dials) {
			p.end(err)

			return
		}

		p.relay.counters.again.Add(1)
		p.log(slog.LevelInfo, "Sent again.", "target", placed.Target.ID, "cause", verdict.CauseOf(err), "verdict", verdict.Of(err).String(), "error", err)
	}
}

// done notes a request that got its answer.
func (p *passage) done() {
	now := time.Now()

	p.relay.counters.served.Add(1)
	p.relay.latencies.whole.Update(millis(p.began, now))

	if p.relay.served.Take(now) {
		p.log(slog.LevelInfo, "Served.", "target", p.placed.Target.ID, "status", p.status, "first", p.first.Round(time.Millisecond))
	}
}

func (p *passage) request() dispatch.Request {
	return dispatch.Request{
		Service: p.service, Workspace: p.workspaceName(), Rank: p.rank(),
		AimAt: p.aimAt, GiveUpAt: p.giveUpAt, Work: p.work(), Tried: p.tried,
	}
}

func (p *passage) workspaceName() string {
	if p.workspace == nil {
		return ""
	}

	return p.workspace.Name
}

// again decides whether the request is sent to another target.
func (p *passage) again(ctx context.Context, err error, dials int) bool {
	now := time.Now()

	switch {
	case ctx.Err() != nil || !now.Before(p.deadline) || dials >= mostDials+p.sends:
		return false
	case verdict.Of(err) != verdict.NotRun && !p.mayRepeat():
		return false
	case p.sent(err) && p.sends >= max(1, p.route.MostTargets):
		return false
	case p.streaming && p.route.Repeat != routes.Resume:
		return false
	}

	return !p.sent(err) || p.relay.Budget.Take(now, p.service, p.state.Entries)
}

// sent reports whether the target of a failed try may have read the request.
func (p *passage) sent(err error) bool {
	return verdict.Of(err) != verdict.NotRun || verdict.CauseOf(err) == verdict.CauseOverload
}

// attempt sends the request to one target and delivers its answer. An error says
// what became of it there.
func (p *passage) attempt(ctx context.Context, placed dispatch.Action) error {
	outcome := dispatch.Left
	defer func() { p.relay.queue.finish(placed, p.work(), outcome) }()

	p.tried = append(slices.Clip(p.tried), placed.Target.ID)
	p.placed, p.placedAt, p.eventAt = placed, time.Now(), time.Time{}

	answer, err := p.relay.Door.Open(ctx, placed.Target.Address, p.outbound(placed.Target.ID))
	if err != nil {
		if verdict.Of(err) != verdict.NotRun {
			p.sends++
			p.ran = true
		}

		outcome = p.blame(ctx, err)

		return err
	}
	defer answer.Close()

	p.sends++

	word := p.relay.Dialect.ReadWord(answer.Status, answer.Header)
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

	outcome = dispatch.Served

	return nil
}

// blame says whether a failure tells something of the target.
func (p *passage) blame(ctx context.Context, err error) dispatch.Outcome {
	if ctx.Err() != nil || errors.Is(err, errCallerGone) {
		return dispatch.Left
	}

	return dispatch.Failed
}

func outcomeOf(w Word) dispatch.Outcome {
	switch {
	case w.Moved:
		return dispatch.Moved
	case w.NotRun:
		return dispatch.Shed
	default:
		return dispatch.Failed
	}
}

// check holds the head of an answer against the request that it must answer.
func (p *passage) check(answer *door.Answer, word Word) error {
	switch {
	case word.Moved:
		return &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseIncarnation}
	case word.NotRun && answer.Status != http.StatusBadRequest:
		return &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseOverload}
	case word.ID != "" && word.ID != p.call.ID:
		p.ran = true

		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseCrossed}
	case isSuccess(answer.Status) && !word.Signed, answer.Header.Get("Content-Encoding") != "", promisesNotRun(answer.Status):
		// A target that promises nothing may have run it, whatever the status says.
		p.ran = true

		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken}
	}

	return nil
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// promisesNotRun reports whether callers take the status for a promise.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// outbound is the request as it goes to a target now.
func (p *passage) outbound(target string) *door.Call {
	h := p.req.Header.Clone()
	dropHopByHop(h)
	h.Del("Content-Length")
	p.relay.Dialect.PutSend(h, Send{
		TargetID: target, Workspace: p.workspaceName(), Left: time.Until(p.deadline), LastEvent: p.lastEvent,
	})

	return &door.Call{
		Method: p.req.Method, URI: p.req.RequestURI, Host: p.req.Host, Header: h, Body: p.body, Deadline: p.deadline,
	}
}

// errCallerGone says that the caller left before its answer was whole.
var errCallerGone = errors.New("relay: the caller left")

// deliver passes an answer on.
func (p *passage) deliver(ctx context.Context, answer *door.Answer) error {
	if p.route.Stream && isSuccess(answer.Status) {
		return p.stream(ctx, answer)
	}

	if p.streaming {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken}
	}

	// The answer is held until it is whole: a part of one must not look complete,
	// and one that broke off may still be had from another target.
	body, err := io.ReadAll(io.LimitReader(answer.Body, p.relay.Limits.AnswerBytes+1))
	if err != nil || int64(len(body)) > p.relay.Limits.AnswerBytes {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken, Err: err}
	}

	p.copyHead(answer)

	if bodyAllowed(answer.Status) && p.req.Method != http.MethodHead {
		p.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}

	p.head(answer.Status)

	if _, err := p.w.Write(body); err != nil && bodyAllowed(answer.Status) {
		p.relay.counters.left.Add(1)
	}

	return nil
}

// head sends the head of a target's answer.
func (p *passage) head(status int) {
	p.status = status
	p.first = time.Since(p.began)
	p.relay.latencies.first.Update(p.first.Milliseconds())
	p.w.WriteHeader(status)
}

func (p *passage) copyHead(answer *door.Answer) {
	copyHeader(p.w.Header(), answer.Header)

	if p.relay.Stopping() {
		p.w.Header().Set("Connection", "close")
	}
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// stream passes a stream on, event by event, each as soon as it is whole.
func (p *passage) stream(ctx context.Context, answer *door.Answer) error {
	flusher := http.NewResponseController(p.w)
	events := door.NewEvents(answer.Body, p.relay.Limits.EventBytes)

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
func (p *passage) pass(flusher *http.ResponseController, events *door.Events, ev door.Event) error {
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

// measure tells the dispatcher how long the target took for this event.
func (p *passage) measure() {
	now := time.Now()

	switch {
	case p.eventAt.IsZero():
		p.relay.queue.first(p.placed, now.Sub(p.placedAt))
	case p.route.Gap > 0:
		p.relay.queue.pause(p.placed, float64(now.Sub(p.eventAt))/float64(p.route.Gap))
	}

	p.eventAt = now
}

// end gives the caller its final answer where the request has none.
func (p *passage) end(err error) {
	now := time.Now()

	switch {
	case p.req.Context().Err() != nil:
		p.relay.counters.left.Add(1)
		p.log(slog.LevelInfo, "Caller left.", "ran", p.ran, "lastEvent", p.lastEvent, "error", err)
		panic(http.ErrAbortHandler)
	case p.streaming:
		p.relay.counters.cut.Add(1)
		p.log(slog.LevelWarn, "Stream cut.", "cause", verdict.CauseOf(err), "lastEvent", p.lastEvent, "room", p.room, "error", err)
		// Without its last piece the answer must not look whole.
		panic(http.ErrAbortHandler)
	case !p.ran:
		p.refuse(err)
	case !now.Before(p.deadline) || verdict.CauseOf(err) == verdict.CauseDeadline:
		p.fail(http.StatusGatewayTimeout, err)
	default:
		p.fail(http.StatusBadGateway, err)
	}
}

// refuse answers a request that has not run and never will.
func (p *passage) refuse(err error) {
	var v *verdict.Error

	retryAt := p.began.Add(p.relay.Settings.ShortestRetry)
	if errors.As(err, &v) && !v.RetryAt.IsZero() {
		retryAt = v.RetryAt
	}

	p.relay.counters.refused.Add(1)

	wait := max(time.Until(retryAt), time.Millisecond)
	p.log(slog.LevelInfo, "Refused.", "cause", verdict.CauseOf(err), "retryAfter", wait, "room", p.room, "error", err)
	p.w.Header().Set("Retry-After", p.relay.Dialect.RetryAfter(wait))
	http.Error(p.w, "not run: "+string(verdict.CauseOf(err)), http.StatusServiceUnavailable)
}

// fail answers a request that may have run.
func (p *passage) fail(status int, err error) {
	cause := verdict.CauseOf(err)
	if status == http.StatusGatewayTimeout {
		// The connection that is closed at the deadline looks like a broken answer.
		cause = verdict.CauseDeadline
	}

	p.relay.counters.failed.Add(1)
	p.log(slog.LevelWarn, "Failed.", "status", status, "cause", cause, "error", err)
	http.Error(p.w, "may have run: "+string(cause), status)
}

// deny answers a request that is not proper or not allowed.
func (p *passage) deny(status int, problem string) {
	p.relay.counters.denied.Add(1)
	p.log(slog.LevelInfo, "Denied.", "status", status, "problem", problem)
	http.Error(p.w, problem, status)
}

func (p *passage) log(level slog.Level, text string, args ...any) {
	if !p.relay.Logger.Enabled(p.req.Context(), level) {
		return
	}

	name := ""
	if p.route != nil {
		name = p.route.Name
	}

	args = append(args, "request", p.call.ID, "route", name, "service", p.service, "workspace", p.workspaceName(),
		"sends", p.sends, "tried", p.tried, "took", time.Since(p.began).Round(time.Millisecond),
		"left", time.Until(p.deadline).Round(time.Millisecond), "number", p.state.Number, "index", p.state.Index)
	p.relay.Logger.Log(p.req.Context(), level, text, args...)
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{ //nolint:gochecknoglobals // a constant table
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func dropHopByHop(h http.Header) {
	for _, named := range h.Values("Connection") {
		for _, name := range splitList(named) {
			h.Del(name)
		}
	}

	for _, name := range hopByHop {
		h.Del(name)
	}
}

func copyHeader(to, from http.Header) {
	from = from.Clone()
	dropHopByHop(from)

	for k, vs := range from {
		to[k] = vs
	}
}

// State is the relay's state for a dump.
type State struct {
	Requests, Served, Refused, Denied, Failed, Cut, Again, Left int64
	Number, Index                                               uint64
	Targets                                                     []netip.AddrPort
	Entries, Waiting                                            int
}

// Dump returns the state as of now.
func (r *Relay) Dump() State {
	f := r.State()
	c := &r.counters
	s := State{
		Requests: c.requests.Load(), Served: c.served.Load(), Refused: c.refused.Load(), Denied: c.denied.Load(),
		Failed: c.failed.Load(), Cut: c.cut.Load(), Again: c.again.Load(), Left: c.left.Load(),
		Number: f.Number, Index: f.Index, Entries: f.Entries,
	}

	for i := range f.Targets {
		s.Targets = append(s.Targets, f.Targets[i].Address)
	}

	r.queue.mu.Lock()
	s.Waiting = r.queue.dispatcher.Waiting()
	r.queue.mu.Unlock()

	return s
}
