// Package relay implements an entry that proxies directly to targets without an agent: it
// accepts HTTP requests of callers, matches their route, and forwards each to a target.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/parsleygate/parsleygate/internal/callerconn"
	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/loadreport"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/priority"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routes"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/internal/targetclient"
	"github.com/parsleygate/parsleygate/internal/tokens"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Relay is an http.Handler that forwards callers' requests to targets. Its exported fields must
// be set before Init.
type Relay struct {
	Dialect Dialect
	// ID and Zone identify this entry.
	ID   string
	Zone string
	// State returns the state that the control VMs published last.
	State        func() *view.ClusterState
	TargetClient *targetclient.Client
	Budget       *retries.SharedBudget
	// StopsAt returns whether this entry is stopping, and when it ends. While it stops or declines
	// connections, each answer closes its connection. A request that is not expected to end in time is not
	// sent to a target.
	StopsAt  func() (at time.Time, stopping bool)
	Limits   Limits
	Logger   *slog.Logger
	Rand     *rand.Rand
	Settings dispatch.Settings
	// MaxHeldBytes bounds the request bodies and buffered answers that all requests hold
	// together; zero means no limit.
	MaxHeldBytes int64
	// PriorityControl selects the services whose requests are served by declared priorities.
	PriorityControl priority.Control
	// OnTargetEnd, if set, is called when other entries need what EndsSince returns at once.
	OnTargetEnd func()
	// Decliner decides which connections are declined. Init sets it if it is nil.
	Decliner *callers.Decliner
	// CallerConnections is the listener whose connections the metrics describe, if it is set.
	CallerConnections atomic.Pointer[callers.Listener]
	// Now is the clock of all decisions; time.Now if nil.
	Now func() time.Time

	// stopBegun ends with BeginStop, and stopEnded with EndRequests.
	stopBegun, stopEnded   context.Context
	beginStop, endRequests context.CancelFunc
	// configured is closed when the first configuration is applied.
	configured    chan struct{}
	configureOnce sync.Once

	// applyMu serializes Apply and guards entryShares.subsets.
	applyMu     sync.Mutex
	entryShares entryShares
	queue       *queue
	memory      memory
	counters    counters
	latencies   latencies
	durations   durations
	// answers estimates the answers of the routes to prioritized services, and levels counts their
	// requests.
	answers tokens.Estimators[routeID]
	levels  levelCounts
	// metricsMu guards levelGauges, the registered metrics of levels by name.
	metricsMu   sync.Mutex
	levelGauges map[string]metrics.Gauge
	failureRate retries.FailureRate
	endChecks   endChecks
	unconfirmed unconfirmedEnds
	guard       requestGuard
	ages        ages
	// completions limits the log lines for completed requests.
	completions logs.Sampler
	// targetStatements limits the log lines about what targets state in their answers.
	targetStatements logs.Sampler
	levelWarnings    levelWarnings
}

// Limits bounds the memory that one request may hold.
type Limits struct {
	// MaxAnswerBytes is the maximum length of an answer that is buffered until it is complete.
	MaxAnswerBytes int64
	// MaxEventBytes is the maximum length of a stream event.
	MaxEventBytes int
	// MaxBodyBytes is the maximum length of a request body if the configuration sets none.
	MaxBodyBytes int64
}

// DefaultLimits returns limits that fit generation streams and small API calls.
func DefaultLimits() Limits {
	return Limits{MaxAnswerBytes: 8 << 20, MaxEventBytes: 1 << 20, MaxBodyBytes: 4 << 20}
}

// Init must be called once, before the first request.
func (r *Relay) Init() {
	if r.Limits == (Limits{}) {
		r.Limits = DefaultLimits()
	}

	if r.Settings == (dispatch.Settings{}) {
		r.Settings = dispatch.DefaultSettings()
	}

	if r.Now == nil {
		r.Now = time.Now
	}

	if r.TargetClient == nil {
		r.TargetClient = &targetclient.Client{}
	}

	if r.Logger == nil {
		r.Logger = slog.New(slog.DiscardHandler)
	}

	if r.Decliner == nil {
		r.Decliner = &callers.Decliner{Logger: r.Logger}
	}

	r.stopBegun, r.beginStop = context.WithCancel(context.Background())
	r.stopEnded, r.endRequests = context.WithCancel(context.Background())
	r.configured = make(chan struct{})
	r.entryShares.self = shares.Node{ID: r.ID, Zone: r.Zone}
	r.entryShares.subsets.SubsetSize = shares.SubsetSize
	if r.Budget.StartedAt.IsZero() {
		r.Budget.StartedAt = r.Now()
	}

	r.guard.logger, r.guard.now, r.guard.shareOf, r.guard.onUrgent = r.Logger, r.Now, r.trialShare, r.OnTargetEnd
	r.ages.all.MaxRetryAfter = r.Settings.MaxRetryAfter
	r.memory.limit = r.MaxHeldBytes
	r.latencies = newLatencies()
	r.levelGauges = make(map[string]metrics.Gauge)
	r.completions.PerSecond = maxCompletionLines
	r.targetStatements.PerSecond = maxStatementLines
	r.queue = &queue{
		dispatcher: &dispatch.Dispatcher{Settings: r.Settings, Rand: r.Rand, Zone: r.Zone},
		now:        r.Now,
		waiters:    make(map[uint64]chan dispatch.Action),
		onForecast: r.logForecast,
		onOverload: r.Decliner.RecordRefused,
	}
}

// Apply updates the services and targets from the state that the control VMs published. It
// ignores a state without a configuration.
func (r *Relay) Apply(f *view.ClusterState) {
	if f.Table == nil {
		return
	}

	r.applyMu.Lock()
	defer r.applyMu.Unlock()

	services := make([]dispatch.Service, 0, len(f.Table.Services))
	for i := range f.Table.Services {
		services = append(services, r.serviceOf(f.Table, &f.Table.Services[i]))
	}

	now := r.Now()
	ownShares := r.entryShares.update(now, f)
	targets := make([]dispatch.Target, 0, len(ownShares))

	for i := range f.Targets {
		if share, ok := ownShares[f.Targets[i].ID]; ok {
			targets = append(targets, targetOf(&f.Targets[i], f, share))
		}
	}

	r.retainConnections(now, services, targets)
	r.queue.update(services, targets, directors(f, services, targets), f.RosterIncomplete)
	r.retainCounts(f)
	r.confirmEnds(f)
	r.configureOnce.Do(func() { close(r.configured) })

	if wait, due := r.entryShares.subsets.RecomputeDue(now); due {
		time.AfterFunc(wait, func() { r.Apply(r.State()) })
	}
}

// retainCounts drops the counts by level of services that are no longer prioritized, and of groups
// that are gone.
func (r *Relay) retainCounts(f *view.ClusterState) {
	groups := make(map[groupID]bool)
	for i := range f.Targets {
		groups[groupID{f.Targets[i].Service, f.Targets[i].Group.Name}] = true
	}

	r.levels.retain(func(service string) bool {
		s := f.Table.Service(service)

		return s != nil && r.isPrioritized(f.Table, s)
	}, func(id groupID) bool { return groups[id] })
}

// serviceOf returns what the dispatcher needs to know about a service.
func (r *Relay) serviceOf(table *routes.Table, s *routes.Service) dispatch.Service {
	out := dispatch.Service{
		Name: s.Name, ColdPerSecond: s.ColdPerSecond, MaxConnections: s.MaxConnections, Streams: s.Slots > 0, Engine: s.Engine,
		Prioritized: r.isPrioritized(table, s),
	}

	if out.Prioritized {
		out.EventGap, out.Timeout = table.StreamTimes(s.Name)
		out.EventTimeout = r.eventTimeout(table, s.Name)
	}

	return out
}

// eventTimeout returns the shortest time without an event after which callers of a service leave a
// stream, zero if they do not.
func (r *Relay) eventTimeout(table *routes.Table, service string) time.Duration {
	shortest := time.Duration(0)

	for i := range table.Routes {
		route := &table.Routes[i]
		if !route.Stream || !slices.ContainsFunc(route.Shares, func(s routes.Share) bool { return s.Service == service }) {
			continue
		}

		if t := r.Dialect.EventTimeout(route); t > 0 && (shortest == 0 || t < shortest) {
			shortest = t
		}
	}

	return shortest
}

// logForecast logs that the forecast of a group has become invalid or valid.
func (r *Relay) logForecast(p dispatch.ForecastProblem) {
	if p.Problem == "" {
		r.Logger.Info("Forecast of passes in use again.", "service", p.Service, "group", p.Group)

		return
	}

	r.Logger.Warn("Forecast of passes not used; the limit follows observed event gaps.", "service", p.Service, "group", p.Group, "problem", p.Problem)
}

// Uses reports whether this entry sends requests to an engine on vm, or needs the skew that the
// agent on vm reports.
func (r *Relay) Uses(vm netip.Addr) bool { return r.queue.hasEngineOn(vm) || r.queue.hasDirectorOn(vm) }

// directors returns the VMs of the agents that direct the groups of prioritized services to which this
// entry sends requests: those beside rank 0, which this entry may not use. There are none if the
// entries are too many for one agent, which would otherwise not report to those that use its engine.
func directors(f *view.ClusterState, services []dispatch.Service, targets []dispatch.Target) map[netip.Addr]groupID {
	if f.Entries > loadreport.MaxSubscribers {
		return nil
	}

	used := make(map[groupID]bool)

	for i := range targets {
		used[groupID{service: targets[i].Service, group: targets[i].Group}] = true
	}

	out := make(map[netip.Addr]groupID)

	for i := range f.Targets {
		t := &f.Targets[i]
		name := groupID{service: t.Service, group: t.Group.Name}

		if name.group == "" || t.Group.Rank != 0 || !used[name] {
			continue
		}

		if slices.ContainsFunc(services, func(s dispatch.Service) bool { return s.Name == name.service && s.Prioritized }) {
			out[t.Address.Addr()] = name
		}
	}

	return out
}

func targetOf(t *directory.Target, f *view.ClusterState, share shares.Share) dispatch.Target {
	return dispatch.Target{
		ID: t.ID, StartTime: t.StartTime, Service: t.Service, Address: t.Address, Zone: t.Zone, Group: t.Group.Name, Slots: t.Slots,
		Draining: isDraining(t, f), Unresponsive: t.State == directory.Unresponsive,
		Broken: t.Group.Broken, ColdUntil: t.ColdUntil, Share: share,
	}
}

// UpdateLoad records a load report of the agent on vm.
func (r *Relay) UpdateLoad(vm netip.Addr, l loadreport.Load) {
	r.queue.updateLoad(vm, dispatch.Load{
		Running: l.Running, Waiting: l.Waiting, Slowdown: l.Slowdown, Stalled: l.Stalled, Broken: l.Broken, Skew: l.Skew,
	})
}

// Decline reports whether a new connection should be closed unread, because another entry can serve
// its request sooner.
func (r *Relay) Decline() bool { return r.Decliner.Decline(r.Now(), r.queue.waiting) }

// Ready reports whether this entry has a configuration and targets.
func (r *Relay) Ready() bool {
	f := r.State()

	return f.Table != nil && len(f.Targets) > 0
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	complete := callerconn.ResetUnlessComplete(req)
	r.answer(w, req)
	complete()
}

// answer answers a request, or panics if the answer is cut.
func (r *Relay) answer(w http.ResponseWriter, req *http.Request) {
	now := r.Now()

	r.counters.requests.Add(1)
	r.Decliner.Demand.Add(now)

	if _, stopping := r.StopsAt(); stopping || r.Decliner.IsDeclining(now) {
		w.Header().Set("Connection", "close")
	}

	p := &proxiedRequest{relay: r, w: w, req: req, arrivedAt: now, state: r.State()}

	if err := p.readCallerInfo(); err != nil {
		p.deny(http.StatusBadRequest, err.Error())

		return
	}

	if p.state.Table == nil {
		r.awaitConfiguration(req.Context(), now, p.caller.Deadline)

		p.state = r.State()
	}

	if p.state.Table == nil {
		p.refuse(verdict.Refuse(verdict.CauseStale, r.Now().Add(r.Settings.NoTargetRetryAfter)))

		return
	}

	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)

	unwatch := context.AfterFunc(r.stopEnded, func() { cancel(p.stopRefusal()) })
	defer unwatch()

	p.hold = r.memory.newHold(func(slow reader, bytes int64, waited time.Duration) {
		p.endSlowReader(slow, bytes, waited, func() { cancel(nil) })
	})
	defer func() {
		if p.hold.release() {
			p.unboundWrites()
		}
	}()

	if status, problem := p.admit(); status != 0 {
		p.deny(status, problem)

		return
	}

	if err := p.checkStop(); err != nil {
		p.refuse(err)

		return
	}

	if p.body == nil {
		p.refuse(verdict.Refuse(verdict.CauseOverload, r.Now().Add(r.Settings.NoTargetRetryAfter)))

		return
	}

	p.readAt = r.Now()
	p.run(ctx)
}

// readCallerInfo decodes the request's headers.
func (p *proxiedRequest) readCallerInfo() error {
	caller, err := p.relay.Dialect.ReadRequest(p.req, p.arrivedAt)
	if err != nil {
		return err
	}

	p.caller = caller
	p.lastEvent = caller.LastEvent

	return nil
}

// admit finds the route and the workspace, and reads the body. It returns status 0 if the
// request is admitted, else the status and text to deny it with.
func (p *proxiedRequest) admit() (int, string) {
	table := p.state.Table

	path, _, _ := strings.Cut(p.req.RequestURI, "?")
	if p.route = table.Find(p.req.Host, path); p.route == nil {
		return http.StatusNotFound, "no route has this host and path"
	}

	if table.RequiresKey() && !p.route.Anonymous {
		if p.workspace = table.Workspace(p.caller.Key); p.workspace == nil {
			return http.StatusUnauthorized, "the key is not known"
		}
	}

	maxBody := table.Limits.MaxBodyBytes
	if maxBody <= 0 {
		maxBody = p.relay.Limits.MaxBodyBytes
	}

	p.setDeadlines()
	p.service = p.route.Pick(rand.Float64())

	if p.req.ContentLength == 0 {
		p.body = []byte{}
	} else if status, problem := p.readBody(maxBody); status != 0 {
		return status, problem
	}

	p.setPrioritized(table)
	p.setUrgency()
	p.setParts()

	return 0, ""
}

// readBody reads the body until the deadline of the request. It returns status 0 unless the request
// must be denied. The body stays nil if there is no memory for it, or the place of its connection was needed.
func (p *proxiedRequest) readBody(maxBody int64) (status int, problem string) {
	var err error

	connection := http.NewResponseController(p.w)
	_ = connection.SetReadDeadline(time.Now().Add(p.deadline.Sub(p.relay.Now())))

	p.hold.waitFor(p.relay.Now(), senderCaller)

	stopWaiting := p.whenTooLate(func() { _ = connection.SetReadDeadline(time.Now()) })
	p.body, err = p.hold.readAll(p.relay.Now, http.MaxBytesReader(p.w, p.req.Body, maxBody))
	stopWaiting()
	p.hold.hasRead(senderCaller)

	var tooLong *http.MaxBytesError

	switch {
	case err == nil && p.hold.hasEnded(): // as the last byte arrived
		p.body = nil
	case err == nil:
		_ = connection.SetReadDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded) && !p.relay.Now().Before(p.deadline):
		return http.StatusRequestTimeout, "the body did not arrive in time"
	case errors.Is(err, errMemoryFull), errors.Is(err, os.ErrDeadlineExceeded):
		p.body = nil
	case errors.As(err, &tooLong):
		return http.StatusRequestEntityTooLarge, "the body is too long"
	case err != nil:
		return http.StatusBadRequest, "the body did not arrive whole"
	}

	return 0, ""
}

// setDeadlines sets the deadlines from the route's times and the caller's deadline.
func (p *proxiedRequest) setDeadlines() {
	now := p.arrivedAt

	p.deadline = now.Add(p.route.Timeout)
	if !p.caller.Deadline.IsZero() && p.caller.Deadline.Before(p.deadline) {
		p.deadline = p.caller.Deadline
	}

	p.eventDeadline = p.deadline

	if p.route.Stream {
		if firstEventBy := now.Add(p.relay.Dialect.EventTimeout(p.route)); firstEventBy.Before(p.eventDeadline) {
			p.eventDeadline = firstEventBy
		}
	}

	p.softDeadline = now.Add(p.route.LatencyTarget)
}

// priority returns the workspace's priority, or the route's for a request without a workspace.
// Prioritized services are served by their level instead.
func (p *proxiedRequest) priority() uint32 {
	if p.workspace != nil {
		return p.workspace.Priority
	}

	return p.route.Priority
}

// baselineTokens is the size of a typical generation request, for which Work is 1. A generated
// token takes one step; a prompt token counts as a tenth of one.
const baselineTokens = 180

// work returns the expected work relative to a typical request.
func (p *proxiedRequest) work() float64 {
	if p.prioritized {
		return p.expectedWork
	}

	if p.caller.PromptTokens == 0 {
		return 1
	}

	return (float64(p.caller.PromptTokens)/10 + float64(p.caller.AnswerTokens)) / baselineTokens
}

// mayRepeat reports whether a request that may have run may be sent again.
func (p *proxiedRequest) mayRepeat() bool {
	return p.route.Retry == routes.RetryAlways || p.route.Retry == routes.RetryResume && p.route.Stream
}

// counters holds totals since the start of the process.
type counters struct {
	requests, completions, refused, denied, failed, cut, disconnected atomic.Int64

	retries, freeRetries, unanswered, misdirected, budgetSpent, slowReaders, targetEnds, brokenAnswers atomic.Int64
}
