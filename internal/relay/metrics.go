package relay

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/targetclient"
)

// Metric describes one metric of an entry that proxies directly to its targets.
type Metric struct {
	Name string
	Unit string
	Help string
	read func(r *Relay) int64
}

// Metrics returns the counters and gauges in the order in which the reference lists them.
func Metrics() []Metric {
	return append([]Metric{
		{"Relay.Requests", "requests", "Requests that callers sent.", func(r *Relay) int64 { return r.counters.requests.Load() }},
		{"Relay.Served", "requests", "Requests answered by a target, including failures of the target.", func(r *Relay) int64 { return r.counters.completions.Load() }},
		{"Relay.Refused", "requests", "Requests refused without being run, with Retry-After.", func(r *Relay) int64 { return r.counters.refused.Load() }},
		{"Relay.Denied", "requests", "Requests denied: no route, no key, malformed or too large.", func(r *Relay) int64 { return r.counters.denied.Load() }},
		{"Relay.Failed", "requests", "Requests that may have run and got no complete answer (502, 504).", func(r *Relay) int64 { return r.counters.failed.Load() }},
		{"Relay.Cut", "streams", "Streams that broke off after their first event.", func(r *Relay) int64 { return r.counters.cut.Load() }},
		{"Relay.SentAgain", "sends", "Retries at another target.", func(r *Relay) int64 { return r.counters.retries.Load() }},
		{"Relay.SentAgainUnpaid", "sends", "Retries at another target that were not charged to the retry budget, because no target had read the request.", func(r *Relay) int64 { return r.counters.freeRetries.Load() }},
		{"Relay.Unanswered", "sends", "Attempts that were sent and ended without an answer. Their targets may read them later.", func(r *Relay) int64 { return r.counters.unanswered.Load() }},
		{"Relay.RetriesUnderWay", "sends", "Attempts without an answer of requests that were retried, which their targets may still read. Their retries count against the retry budget until a window after that, or for a minute.", func(r *Relay) int64 { return int64(r.Budget.UnansweredAttempts()) }},
		{"Relay.Misdirected", "sends", "Attempts rejected because a target other than the intended one answers at the address.", func(r *Relay) int64 { return r.counters.misdirected.Load() }},
		{"Relay.BudgetSpent", "requests", "Requests that were not retried because the retry budget was exhausted.", func(r *Relay) int64 { return r.counters.budgetSpent.Load() }},
		{"Relay.CallersLeft", "requests", "Requests whose caller disconnected before the answer.", func(r *Relay) int64 { return r.counters.disconnected.Load() }},
		{"Relay.SlowReaders", "requests", "Requests ended because the memory for requests was full and a caller or target did not read what was held for it, or a target had been sending a large answer for long.", func(r *Relay) int64 { return r.counters.slowReaders.Load() }},
		{"Relay.TargetEnds", "requests", "Requests whose answer broke off, because the target had ended.", func(r *Relay) int64 { return r.counters.targetEnds.Load() }},
		{"Relay.BrokenAnswers", "requests", "Requests whose answer broke off while the target still accepted connections.", func(r *Relay) int64 { return r.counters.brokenAnswers.Load() }},
		{"Relay.HeldParts", "parts", "Parts of prompts, and contents of requests, that are held back now, because targets ended under requests with them.", func(r *Relay) int64 { return int64(len(r.guard.state().Held)) }},
		{"Relay.RefusedParts", "requests", "Requests refused because they, or a part of their prompt, are held back.", func(r *Relay) int64 { return r.guard.state().Refused }},
		{"Relay.PartTrials", "sends", "Requests that were held back, and were sent to see whether targets still end under them.", func(r *Relay) int64 { return r.guard.state().Trials }},
		{"Relay.HeldBytes", "bytes", "Request bodies and buffered answers held now.", func(r *Relay) int64 { return r.memory.heldBytes() }},
		{"Relay.Waiting", "requests", "Requests currently waiting for a target.", func(r *Relay) int64 { return int64(r.queue.waiting()) }},
		{"Relay.Demand", "requests/s", "Requests that callers bring to this entry, with the connections that it declined.", func(r *Relay) int64 { return int64(r.Decliner.Demand.PerSecond(r.Now())) }},
		{"Relay.MeanDemand", "requests/s", "Mean of Relay.Demand over all entries, or over those in this zone if that is higher.", func(r *Relay) int64 { return int64(r.Decliner.Demand.Mean()) }},
		{"Relay.CallerConnections", "connections", "Connections of callers now.", func(r *Relay) int64 { return int64(r.callerStats().Open) }},
		{"Relay.CallerConnectionsRefused", "connections", "New connections of callers closed unread, because too many were open.", func(r *Relay) int64 { return r.callerStats().Refused }},
		{"Relay.CallerConnectionsClosedIdle", "connections", "Idle connections of callers closed to make room for new ones.", func(r *Relay) int64 { return r.callerStats().ClosedIdle }},
		{"Relay.CallerConnectionsClosedSlow", "connections", "Connections of callers closed to make room for new ones, because their request arrived slowly or their answer was not read.", func(r *Relay) int64 { return r.callerStats().ClosedSlow }},
		{"Relay.CallerHeadersTooLong", "requests", "Requests refused with status 431, because their header exceeded the limit in force.", func(r *Relay) int64 { return r.callerStats().TooLong }},
		{"Relay.CallerHeadersTooSlow", "requests", "Requests refused with status 408, because their header did not arrive in time.", func(r *Relay) int64 { return r.callerStats().TooSlow }},
		{"Relay.CallerHeadersNoMemory", "requests", "Requests refused with status 503 before they were read, because the memory for large headers was full.", func(r *Relay) int64 { return r.callerStats().NoMemory }},
		{"Relay.ConnectionsDeclined", "connections", "New connections of callers closed unread, because this entry got far more requests than the others and some of them waited.", func(r *Relay) int64 { return r.Decliner.Declined() }},
		{"Relay.RateLimitedTargets", "targets", "Targets that state in their answers how many requests per second they accept.", func(r *Relay) int64 { return int64(r.queue.backpressure().RateLimited) }},
		{"Relay.RestingTargets", "targets", "Targets that turned a request away and asked for no more requests of this entry for a while.", func(r *Relay) int64 { return int64(r.queue.backpressure().Resting) }},
		{"Relay.LeavingTargets", "targets", "Targets that said in an answer that they are leaving.", func(r *Relay) int64 { return int64(r.queue.backpressure().Leaving) }},
		{"Relay.AdmissionGroups", "groups", "Groups of prioritized services in which some levels of urgency are admitted only in part.", func(r *Relay) int64 {
			return r.queue.countGroups(func(g *dispatch.GroupState) bool { return g.Admission != nil && g.Admission.InForce })
		}},
		{"Relay.ForecastGroups", "groups", "Groups of prioritized services whose number of requests is limited by a forecast of their passes.", func(r *Relay) int64 {
			return r.queue.countGroups(func(g *dispatch.GroupState) bool { return g.Forecast != nil && g.Forecast.InUse })
		}},
		{"Relay.RefusedByAdmission", "requests", "Requests refused at once because their level of urgency was not admitted.", func(r *Relay) int64 { return r.queue.refusedByAdmission() }},
		{"Relay.Targets", "targets", "Targets in the directory.", func(r *Relay) int64 { return int64(len(r.State().Targets)) }},
		{"Relay.Entries", "entries", "Entries that share the targets, including this one.", func(r *Relay) int64 { return int64(r.State().Entries) }},
		{"Relay.Sharers", "entries", "Entries that share the retry budgets: those of Relay.Entries, and others that are leaving or that no control VM hears of and that have not left.", func(r *Relay) int64 {
			return int64(max(len(r.State().Sharers), r.State().Entries))
		}},
		{"Relay.ConfigurationNumber", "number", "Number that the operators gave to the configuration in force.", func(r *Relay) int64 { return int64(r.State().Number) }},
		{"Relay.StateIndex", "log index", "Log index of the state in force.", func(r *Relay) int64 { return int64(r.State().Index) }},
		{"Relay.ServedLinesLeftOut", "lines", "Log lines of completed requests dropped by sampling.", func(r *Relay) int64 { return r.completions.Suppressed() }},
		{"Relay.ConnectionsOpened", "connections", "Connections opened to targets.", func(r *Relay) int64 { return r.TargetClient.Stats().Opened }},
		{"Relay.ConnectionsReused", "sends", "Sends on idle connections to targets.", func(r *Relay) int64 { return r.TargetClient.Stats().Reused }},
		{"Relay.ConnectionsIdle", "connections", "Idle connections to targets now.", func(r *Relay) int64 { return int64(r.TargetClient.Stats().Idle) }},
	}, closedMetrics()...)
}

// callerStats returns the counts of callers' connections.
func (r *Relay) callerStats() callers.Stats {
	if l := r.CallerConnections.Load(); l != nil {
		return l.Stats()
	}

	return callers.Stats{}
}

// closedMetrics returns the counters of closed connections by reason.
func closedMetrics() []Metric {
	reasons := targetclient.CloseReasons()
	out := make([]Metric, 0, len(reasons))

	for _, reason := range reasons {
		out = append(out, Metric{
			Name: "Relay.ConnectionsClosed." + string(reason), Unit: "connections", Help: "Connections to targets closed: " + reason.Help() + ".",
			read: func(r *Relay) int64 { return r.TargetClient.Stats().Closed[reason] },
		})
	}

	return out
}

// latencies holds the histograms of an entry (ms).
type latencies struct {
	wait, firstByte, total, retryDelay metrics.Histogram
}

// Histograms describes the histograms, in the order in which Register adds them.
func Histograms() []Metric {
	return []Metric{
		{Name: "Relay.WaitMillis", Unit: "ms", Help: "Time from a request's arrival until it is assigned to a target."},
		{Name: "Relay.FirstAnswerMillis", Unit: "ms", Help: "Time from a request's arrival until the first byte of its answer is sent."},
		{Name: "Relay.WholeMillis", Unit: "ms", Help: "Time from a request's arrival until its answer is complete."},
		{Name: "Relay.RetryDelayMillis", Unit: "ms", Help: "Time from the decision to retry a request until it is assigned to a target."},
	}
}

const (
	// sampleSize and sampleAlpha weight the histograms towards the last five minutes.
	sampleSize  = 512
	sampleAlpha = 0.015
	// maxCompletionLines bounds the log lines for completed requests, per second.
	maxCompletionLines = 20
	// maxStatementLines bounds the log lines about what targets state, per second.
	maxStatementLines = 5
)

func newLatencies() latencies {
	h := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}

	return latencies{wait: h(), firstByte: h(), total: h(), retryDelay: h()}
}

// Register adds the relay's metrics to registry.
func (r *Relay) Register(registry metrics.Registry) error {
	for _, m := range Metrics() {
		if err := registry.Register(m.Name, metrics.NewFunctionalGauge(func() int64 { return m.read(r) })); err != nil {
			return eris.Wrap(err, "register metric")
		}
	}

	for i, h := range []metrics.Histogram{r.latencies.wait, r.latencies.firstByte, r.latencies.total, r.latencies.retryDelay} {
		if err := registry.Register(Histograms()[i].Name, h); err != nil {
			return eris.Wrap(err, "register metric")
		}
	}

	return nil
}

// levelMetrics describes the metrics of prioritized services, whose names end with what they count.
func levelMetrics() []Metric {
	return []Metric{
		{Name: levelWaiting + ".SERVICE.LEVEL", Unit: "requests", Help: "Requests currently waiting for a target."},
		{Name: levelRefused + ".SERVICE.LEVEL", Unit: "requests", Help: "Requests refused without being run."},
		{Name: levelPlaced + ".SERVICE.GROUP.LEVEL", Unit: "placements", Help: "Assignments of a request to a target of the group."},
		{Name: levelLate + ".SERVICE.GROUP.LEVEL", Unit: "requests", Help: "Requests whose first event was later than the route's latency target, or a gap between two events longer than the route's."},
		{Name: workspaceWaiting + ".WORKSPACE", Unit: "requests", Help: "The same as by level, for the ten workspaces with most requests in the last minutes. They count from when the entry began to count the workspace: Since in the dump."},
		{Name: workspaceRefused + ".WORKSPACE", Unit: "requests", Help: "As above."},
		{Name: workspacePlaced + ".WORKSPACE", Unit: "placements", Help: "As above."},
		{Name: workspaceLate + ".WORKSPACE", Unit: "requests", Help: "As above."},
	}
}

// The names of the metrics of prioritized services, without what they count.
const (
	levelWaiting     = "Relay.Level.Waiting"
	levelRefused     = "Relay.Level.Refused"
	levelPlaced      = "Relay.Level.Placed"
	levelLate        = "Relay.Level.Late"
	workspaceWaiting = "Relay.Workspace.Waiting"
	workspaceRefused = "Relay.Workspace.Refused"
	workspacePlaced  = "Relay.Workspace.Placed"
	workspaceLate    = "Relay.Workspace.Late"
)

// levelValues returns the values of the metrics of prioritized services, by name.
func (r *Relay) levelValues() map[string]int64 {
	out := make(map[string]int64)
	set := func(value int64, name ...string) { out[strings.Join(name, ".")] = value }

	for _, s := range r.levels.state() {
		service := metricName(s.Service)

		for _, l := range s.Levels {
			level := strconv.Itoa(int(l.Level))
			set(int64(l.Waiting), levelWaiting, service, level)
			set(l.Refused, levelRefused, service, level)
		}

		for _, g := range s.Groups {
			for _, l := range g.Levels {
				level := strconv.Itoa(int(l.Level))
				set(l.Placed, levelPlaced, service, metricName(g.Group), level)
				set(l.Late, levelLate, service, metricName(g.Group), level)
			}
		}
	}

	for _, w := range r.levels.workspaceState(r.Now()) {
		name := metricName(w.Workspace)
		set(int64(w.Waiting), workspaceWaiting, name)
		set(w.Refused, workspaceRefused, name)
		set(w.Placed, workspacePlaced, name)
		set(w.Late, workspaceLate, name)
	}

	return out
}

// metricName returns a part of a metric's name. Each line of metrics as text ends with a space and
// the value.
func metricName(s string) string {
	if s == "" {
		return "-"
	}

	return strings.Join(strings.Fields(s), "_")
}

// UpdateMetrics updates the metrics in registry whose names depend on services, groups and workspaces.
// It must be called before the registry is read.
func (r *Relay) UpdateMetrics(registry metrics.Registry) error {
	r.metricsMu.Lock()
	defer r.metricsMu.Unlock()

	values := r.levelValues()

	for name := range r.levelGauges {
		if _, ok := values[name]; !ok {
			registry.Unregister(name)
			delete(r.levelGauges, name)
		}
	}

	for name, value := range values {
		g := r.levelGauges[name]
		if g == nil {
			g = metrics.NewGauge()
			if err := registry.Register(name, g); err != nil {
				return eris.Wrap(err, "register metric")
			}

			r.levelGauges[name] = g
		}

		g.Update(value)
	}

	return nil
}

// MetricsReference returns the metrics reference page in Markdown.
func MetricsReference() string {
	var b strings.Builder

	b.WriteString("# Metrics\n\nGenerated by `make docs`. Each process serves its metrics at its `AdminAddress`: `/metrics` as JSON, `/metrics.txt` as text,\n")
	b.WriteString("one `name value` per line. A histogram has its count, min, mean and max, and the quantiles p50, p95 and p99 of the last minutes.\n\n")
	b.WriteString("## Entries that proxy directly to their targets\n\n| metric | unit | meaning |\n| --- | --- | --- |\n")

	for _, m := range append(Metrics(), Histograms()...) {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", m.Name, m.Unit, m.Help)
	}

	b.WriteString("\nPrioritized services have these as well. A name ends with the service, the group and the level, or with the workspace;\n")
	b.WriteString("`-` stands for an empty name. See [operators/prioritized.md](operators/prioritized.md).\n\n| metric | unit | meaning |\n| --- | --- | --- |\n")

	for _, m := range levelMetrics() {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", m.Name, m.Unit, m.Help)
	}

	b.WriteString("\n## Agents\n\n| metric | unit | meaning |\n| --- | --- | --- |\n")
	b.WriteString("| AgentNoMemory | requests | Requests whose answer was ended because the memory for requests had no room for its header. They may have run. |\n")
	b.WriteString("\n## Control VMs\n\n| metric | unit | meaning |\n| --- | --- | --- |\n")
	b.WriteString("| Control.TargetsRefused | requests | Announcements and removals of unknown targets that were refused, as MaxTargets were known. |\n")
	b.WriteString("\n## Every process\n\n| metric | unit | meaning |\n| --- | --- | --- |\n")
	fmt.Fprintf(&b, "| %s | lines | Log lines dropped because their reader was stalled. |\n", logs.DroppedMetric)
	fmt.Fprintf(&b, "| %s | bytes | What the requests of the clients of all ports hold now, of what is charged to their memory. |\n", callers.HeldMetric)

	b.WriteString("\nEach port has these as well. PORT is Ready, Admin, Callers (of an entry before agents), Peers and Operators (of a control VM), Entries\n")
	b.WriteString("and Announcements (of an agent), or Ranks (of the agent of a rank).\n\n| metric | unit | meaning |\n| --- | --- | --- |\n")

	for _, m := range callers.Metrics() {
		fmt.Fprintf(&b, "| Clients.PORT.%s | %s | %s |\n", m.Name, m.Unit, m.Help)
	}

	return b.String()
}

func millis(from, to time.Time) int64 { return to.Sub(from).Milliseconds() }
