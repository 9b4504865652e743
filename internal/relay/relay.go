// Package relay is the shell of an entry that is itself the door of its targets:
// it speaks HTTP with callers, finds their route, and passes each request on to a
// target that has no agent.
package relay

import (
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/loadreport"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routes"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/internal/targetclient"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Relay serves callers. Set its exported fields before Init.
type Relay struct {
	Dialect Dialect
	// ID and Zone are this entry's.
	ID   string
	Zone string
	// State returns what the control VMs published.
	State     func() *view.Followed
	Transport *targetclient.Client
	Budget    *retries.SharedBudget
	// StopsAt says when this entry ends, and whether it stops at all. Once it does,
	// answers end their connections.
	StopsAt  func() (at time.Time, stopping bool)
	Limits   Limits
	Logger   *slog.Logger
	Rand     *rand.Rand
	Settings dispatch.Settings

	// configured is closed once a configuration is known.
	configured    chan struct{}
	configureOnce sync.Once

	// applyMu lets one change after the other be taken in, and guards the keeper of parts.
	applyMu     sync.Mutex
	entryShares entryShares
	queue       *queue
	counters    counters
	latencies   latencies
	durations   durations
	completions logs.Sampler
}

// Limits bound what one request may hold.
type Limits struct {
	// AnswerBytes is the longest answer that is held until it is whole.
	AnswerBytes int64
	// EventBytes is the longest event of a stream.
	EventBytes int
	// BodyBytes is the longest body of a request where the operators declare none.
	BodyBytes int64
}

// DefaultLimits returns limits for drafts and bookings.
func DefaultLimits() Limits {
	return Limits{AnswerBytes: 8 << 20, EventBytes: 1 << 20, BodyBytes: 4 << 20}
}

// Init prepares the relay. It must be called once, before the first request.
func (r *Relay) Init() {
	if r.Limits == (Limits{}) {
		r.Limits = DefaultLimits()
	}

	if r.Settings == (dispatch.Settings{}) {
		r.Settings = dispatch.DefaultSettings()
	}

	if r.Logger == nil {
		r.Logger = slog.New(slog.DiscardHandler)
	}

	r.configured = make(chan struct{})
	r.entryShares.self = shares.Node{ID: r.ID, Zone: r.Zone}
	r.entryShares.keeper.SubsetSize = shares.SubsetSize
	r.latencies = newLatencies()
	r.completions.PerSecond = answeredLinesPerSecond
	r.queue = &queue{
		dispatcher: &dispatch.Dispatcher{Settings: r.Settings, Rand: r.Rand, Zone: r.Zone},
		waiters:    make(map[uint64]chan dispatch.Action),
	}
}

// Apply takes in what the control VMs published.
func (r *Relay) Apply(f *view.Followed) {
	if f.Table == nil {
		return
	}

	r.applyMu.Lock()
	defer r.applyMu.Unlock()

	services := make([]dispatch.Service, 0, len(f.Table.Services))
	for _, s := range f.Table.Services {
		services = append(services, dispatch.Service{
			Name: s.Name, ColdPerSecond: s.ColdPerSecond, MaxConnections: s.MostConnections, Streams: s.Slots > 0,
		})
	}

	now := time.Now()
	ownShares := r.entryShares.update(now, f)
	targets := make([]dispatch.Target, 0, len(ownShares))

	for i := range f.Targets {
		if share, ok := ownShares[f.Targets[i].ID]; ok {
			targets = append(targets, targetOf(&f.Targets[i], f, share))
		}
	}

	r.queue.update(services, targets)
	r.configureOnce.Do(func() { close(r.configured) })

	if wait, due := r.entryShares.keeper.RecomputeDue(now); due {
		time.AfterFunc(wait, func() { r.Apply(r.State()) })
	}
}

// Uses reports whether this entry sends requests to the engines of a VM.
func (r *Relay) Uses(vm netip.Addr) bool { return r.queue.hasEngineOn(vm) }

func targetOf(t *directory.Target, f *view.Followed, share shares.Share) dispatch.Target {
	return dispatch.Target{
		ID: t.ID, Service: t.Service, Address: t.Address, Zone: t.Zone, Group: t.Group.Name, Slots: t.Slots,
		Draining: takesNoNewWork(t, f), Unresponsive: t.State == directory.Silent,
		Broken: t.Group.Broken, ColdUntil: t.ColdUntil, Share: share,
	}
}

// UpdateLoad takes in what the agent on a target's VM says of its load.
func (r *Relay) UpdateLoad(vm netip.Addr, l loadreport.Load) {
	r.queue.updateLoad(vm, dispatch.Load{Running: l.Running, Waiting: l.Waiting, Slowdown: l.Slowdown})
}

// Ready reports whether this entry can serve: it knows a configuration and targets.
func (r *Relay) Ready() bool {
	f := r.State()

	return f.Table != nil && len(f.Targets) > 0
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	now := time.Now()

	r.counters.requests.Add(1)

	stopsAt, stopping := r.StopsAt()
	if stopping {
		w.Header().Set("Connection", "close")
	}

	p := &proxiedRequest{relay: r, w: w, req: req, arrivedAt: now, state: r.State()}

	if err := p.readCall(); err != nil {
		p.deny(http.StatusBadRequest, err.Error())

		return
	}

	if p.state.Table == nil {
		r.awaitConfiguration(req.Context(), now, p.call.Deadline)

		p.state = r.State()
	}

	if p.state.Table == nil {
		p.refuse(verdict.Refuse(verdict.CauseStale, time.Now().Add(r.Settings.NoTargetRetryAfter)))

		return
	}

	if status, problem := p.admit(); status != 0 {
		p.deny(status, problem)

		return
	}

	if stopping && r.durations.expectedEnd(now, p.service).After(stopsAt) {
		p.refuse(verdict.Refuse(verdict.CauseStopping, now.Add(r.Settings.MinRetryAfter)))

		return
	}

	p.run()
}

// readCall reads the head of the request.
func (p *proxiedRequest) readCall() error {
	call, err := p.relay.Dialect.ReadRequest(p.req, p.arrivedAt)
	if err != nil {
		return err
	}

	p.call = call
	p.lastEvent = call.LastEvent

	return nil
}

// admit finds the route and the workspace, and reads the body. A status other
// than 0 denies the request.
func (p *proxiedRequest) admit() (int, string) {
	table := p.state.Table

	path, _, _ := strings.Cut(p.req.RequestURI, "?")
	if p.route = table.Find(p.req.Host, path); p.route == nil {
		return http.StatusNotFound, "no route has this host and path"
	}

	if table.Keyed() && !p.route.Anonymous {
		if p.workspace = table.Workspace(p.call.Key); p.workspace == nil {
			return http.StatusUnauthorized, "the key is not known"
		}
	}

	maxBody := table.Limits.BodyBytes
	if maxBody <= 0 {
		maxBody = p.relay.Limits.BodyBytes
	}

	var err error

	p.body, err = io.ReadAll(http.MaxBytesReader(p.w, p.req.Body, maxBody))

	var tooLong *http.MaxBytesError

	switch {
	case errors.As(err, &tooLong):
		return http.StatusRequestEntityTooLarge, "the body is too long"
	case err != nil:
		return http.StatusBadRequest, "the body did not arrive whole"
	}

	p.service = p.route.Pick(rand.Float64())
	p.setDeadlines()

	return 0, ""
}

// setDeadlines stores until when the request is of use.
func (p *proxiedRequest) setDeadlines() {
	now := p.arrivedAt

	p.deadline = now.Add(p.route.Timeout)
	if !p.call.Deadline.IsZero() && p.call.Deadline.Before(p.deadline) {
		p.deadline = p.call.Deadline
	}

	p.eventDeadline = p.deadline

	if p.route.Stream {
		if firstEventBy := now.Add(p.relay.Dialect.EventTimeout(p.route)); firstEventBy.Before(p.eventDeadline) {
			p.eventDeadline = firstEventBy
		}
	}

	p.softDeadline = now.Add(p.route.Aim)
}

// priority orders requests: a workspace's priority goes before its route's.
func (p *proxiedRequest) priority() uint32 {
	if p.workspace != nil {
		return p.workspace.Priority
	}

	return p.route.Priority
}

// baselineTokens is the size of a usual draft, for which Work is 1: prompt tokens
// count a tenth of generated ones, which take a step each.
const baselineTokens = 180

func (p *proxiedRequest) work() float64 {
	if p.call.PromptTokens == 0 {
		return 1
	}

	return (float64(p.call.PromptTokens)/10 + float64(p.call.AnswerTokens)) / baselineTokens
}

// mayRepeat reports whether a request that may have run may be sent again.
func (p *proxiedRequest) mayRepeat() bool {
	return p.route.Repeat == routes.Always || p.route.Repeat == routes.Resume && p.route.Stream
}

// counters are totals since the start.
type counters struct {
	requests, completions, refused, denied, failed, cut, disconnected atomic.Int64

	retries, freeRetries, misdirected, budgetSpent atomic.Int64
}
