package view

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routes"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// ClusterState is the state that an entry received from all control VMs. It is
// immutable.
type ClusterState struct {
	// Index orders states. Number is the operators' configuration number of Table.
	Index    uint64
	Number   uint64
	Table    *routes.Table
	ZonesOut []string
	Targets  []directory.Target
	// Entries is the number of entries that share the targets, including this one.
	// Roster holds those whose IDs are known.
	Entries int
	Roster  []shares.Node
	// Sharers are the entries that may use their parts of limits: those of Roster, and others
	// that are leaving or are not heard of and have not left.
	Sharers []shares.Node
	// RosterIncomplete is set until a control VM has answered that does not state the same of its
	// roster.
	RosterIncomplete bool
	// Relays are the addresses of processes that relay orders to engines, as reported
	// by the control VM that answered last.
	Relays []netip.AddrPort
	// ControlsAnswered is the number of control VMs that have answered since the
	// start.
	ControlsAnswered int
	// FirstAnswerAt is when the first control VM answered.
	FirstAnswerAt time.Time
}

// ZoneOut reports whether the zone is taken out.
func (s *ClusterState) ZoneOut(zone string) bool { return slices.Contains(s.ZonesOut, zone) }

// Follower polls all control VMs concurrently and merges their answers. A target
// announces itself to any one control VM, so no single one has all targets. A control
// VM that was partitioned or suspended may report an old state; the index identifies
// the newest one. Set the exported fields before calling Init and Run.
type Follower struct {
	Cluster string
	ID      string
	Zone    string
	// Seeds returns the control VMs in the settings. It is called at every refresh,
	// since settings may change.
	Seeds func() []netip.AddrPort
	// Poll sends one poll to a control VM. It must return when ctx is done.
	Poll func(ctx context.Context, control netip.AddrPort, r *wire.FollowRequest) (*wire.FollowResponse, error)
	// Stopping, if set, reports whether this process is stopping.
	Stopping func() bool
	// Relay is the address at which this process relays orders to engines; invalid if
	// it does not.
	Relay netip.AddrPort
	// ServicesOnly omits routes and workspaces, for processes that accept no callers.
	ServicesOnly bool
	// Demand, if set, returns the requests per second that callers bring to this process, and
	// OnMeanDemand is called with the mean of all entries that a control VM reports. Both may be
	// called concurrently.
	Demand       func() float64
	OnMeanDemand func(perSecond float64)
	// RetryUsage, if set, returns what this process has counted for the retry budgets that it shares, over
	// RetryWindow, and OnRetryUsage is called with what a control VM has recorded of the others. Both may
	// be called concurrently.
	RetryUsage   func() map[string]retries.Usage
	RetryWindow  time.Duration
	OnRetryUsage func(control netip.AddrPort, r retries.Report)
	// OnChange is called with each new state, never concurrently.
	OnChange func(*ClusterState)
	// Evidence returns the ends of targets that this process knows and that changed after a
	// revision, and the current revision. OnEvidence is called with the ends that a control VM
	// reports. Both may be called concurrently. Neither may call Follower methods other than
	// NotifyEvidence and State. Both are nil in processes that exchange no ends.
	Evidence   func(since uint64) ([]quarantine.End, uint64)
	OnEvidence func([]quarantine.End)
	Settings   FollowerSettings
	Logger     *slog.Logger

	incarnation     uint64
	startedAt       time.Time
	mu              sync.Mutex
	merged          directory.MergedTargets
	current         atomic.Pointer[ClusterState]
	membersBySource map[netip.AddrPort][]netip.AddrPort // by the control VM that reported them
	entryCounts     map[netip.AddrPort]uint32
	rosters         mergedRoster
	absences        mergedRoster
	answered        map[netip.AddrPort]bool
	unreachable     map[netip.AddrPort]bool // whose rosters and counts are dropped at the next answer of another
	tableFetch      tableFetch
	// refusedNumber is the highest number of a route table that could not be applied.
	refusedNumber uint64
	evidence      evidenceExchange
	// newMembers receives a value when a control VM reports others than before.
	newMembers chan struct{}
	cancels    map[netip.AddrPort]context.CancelFunc
	pollers    sync.WaitGroup
}

// FollowerSettings holds the intervals of a follower.
type FollowerSettings struct {
	// MinPollWait is how long a control VM may hold a poll, and AnswerTimeout how long
	// the answer may take beyond that. Their sum bounds how long an unresponsive
	// connection delays updates.
	MinPollWait   time.Duration
	AnswerTimeout time.Duration
	// PollSpacing is the mean time between two polls while nothing changes. Where there are
	// many control VMs, each holds its polls longer, up to MaxPollWait.
	PollSpacing time.Duration
	MaxPollWait time.Duration
	// RetryDelay is the delay after a failed poll.
	RetryDelay time.Duration
	// RefreshInterval is the interval at which the list of control VMs is recomputed.
	RefreshInterval time.Duration
}

// DefaultFollowerSettings returns intervals with which a lost connection is detected
// within a second, at a cost of ten polls per second. With more than six control VMs it takes
// longer, but another one reports the same changes.
func DefaultFollowerSettings() FollowerSettings {
	return FollowerSettings{
		MinPollWait: 600 * time.Millisecond, AnswerTimeout: 400 * time.Millisecond,
		PollSpacing: 100 * time.Millisecond, MaxPollWait: 2 * time.Second,
		RetryDelay: 150 * time.Millisecond, RefreshInterval: 500 * time.Millisecond,
	}
}

// Init prepares the follower. It must be called once, after the exported fields are set.
func (f *Follower) Init() {
	if f.Settings == (FollowerSettings{}) {
		f.Settings = DefaultFollowerSettings()
	}

	if f.Logger == nil {
		f.Logger = slog.New(slog.DiscardHandler)
	}

	f.incarnation, f.startedAt = rand.Uint64(), time.Now()
	f.membersBySource = make(map[netip.AddrPort][]netip.AddrPort)
	f.entryCounts = make(map[netip.AddrPort]uint32)
	f.answered = make(map[netip.AddrPort]bool)
	f.unreachable = make(map[netip.AddrPort]bool)
	f.tableFetch = tableFetch{localZone: f.Zone, zones: make(map[netip.AddrPort]string)}
	f.cancels = make(map[netip.AddrPort]context.CancelFunc)
	f.newMembers = make(chan struct{}, 1)
	f.evidence.controls = make(map[netip.AddrPort]*controlEvidence)
	f.evidence.changed = make(chan struct{}, 1)
	f.current.Store(&ClusterState{Entries: 1, RosterIncomplete: true})
}

// State returns the current state. It is never nil after Init.
func (f *Follower) State() *ClusterState { return f.current.Load() }

// Run polls until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	tick := time.NewTicker(f.Settings.RefreshInterval)
	defer tick.Stop()
	defer f.pollers.Wait()

	f.pollers.Go(func() { f.runEvidence(ctx) })

	for {
		f.refresh(ctx)

		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-f.newMembers:
		}
	}
}

// refresh starts polling new control VMs of the settings or the reported members, and
// stops polling all others.
func (f *Follower) refresh(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()

	wanted := make(map[netip.AddrPort]bool)
	for _, a := range f.Seeds() {
		wanted[a] = true
	}

	for _, members := range f.membersBySource {
		for _, a := range members {
			wanted[a] = true
		}
	}

	for a, stop := range f.cancels {
		if !wanted[a] {
			stop()
			delete(f.cancels, a)
			delete(f.entryCounts, a)
			f.rosters.drop(a)
			f.absences.drop(a)
			delete(f.unreachable, a)
			delete(f.tableFetch.zones, a)
			delete(f.membersBySource, a)
			f.forgetEvidence(a)
		}
	}

	for a := range wanted {
		if f.cancels[a] != nil {
			continue
		}

		pollCtx, stop := context.WithCancel(ctx)
		f.cancels[a] = stop

		f.pollers.Go(func() { f.pollLoop(pollCtx, a) })
	}
}

// pollWait returns how long a control VM may hold a poll. The caller holds mu.
func (f *Follower) pollWait() time.Duration {
	wait := time.Duration(len(f.cancels)) * f.Settings.PollSpacing

	return min(max(wait, f.Settings.MinPollWait), f.Settings.MaxPollWait)
}

// unreachableAfterFailures is the number of consecutive failed polls after which the
// entries that a control VM reported no longer count, once another control VM answers.
const unreachableAfterFailures = 40

// markUnreachable marks a control VM as unreachable and requests its full roster at
// the next poll.
func (f *Follower) markUnreachable(control netip.AddrPort, c *controlState) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.unreachable[control] = true
	c.rosterHash = 0
}

// controlState is what this entry last received from one control VM.
type controlState struct {
	directoryBoot, directoryRevision uint64
	rosterHash                       uint64
	tableNumber                      uint64
	failures                         int
	// answeredAt is when the control VM answered last. answersSince is when it began to answer in the
	// same incarnation and without a gap of maxAnswerGap.
	answeredAt, answersSince time.Time
	// settled is set if that was rosterSettleTime before the current poll was sent.
	settled bool
	// keepsEarlier is set while what it reported before answersSince is kept.
	keepsEarlier bool
}

const (
	// rosterSettleTime is how long a control VM must answer until its roster replaces what was known. It
	// exceeds the time after which all entries that can reach the VM have polled it.
	rosterSettleTime = 5 * time.Second
	// maxAnswerGap is the time after which a control VM that has not answered may have been cut off, and
	// may have dropped the entries that it did not hear of.
	maxAnswerGap = 4 * time.Second
)

// beginPoll notes whether all entries that can reach the control VM are in its roster.
func (c *controlState) beginPoll(now time.Time) {
	c.settled = !c.answersSince.IsZero() && now.Sub(c.answersSince) >= rosterSettleTime

	// The roster that replaces what was known must come whole.
	if c.settled && c.keepsEarlier {
		c.rosterHash = 0
	}
}

// recordAnswer records an answer of an incarnation.
func (c *controlState) recordAnswer(now time.Time, boot uint64) {
	if boot != c.directoryBoot || now.Sub(c.answeredAt) > maxAnswerGap {
		c.answersSince, c.settled, c.keepsEarlier = now, false, true
	}

	c.answeredAt = now
}

func (f *Follower) pollLoop(ctx context.Context, control netip.AddrPort) {
	var c controlState

	for ctx.Err() == nil {
		if err := f.pollOnce(ctx, control, &c); err != nil {
			f.failEvidence(control)

			if c.failures == 0 && ctx.Err() == nil {
				f.Logger.Info("Poll of a control VM failed; retrying.", "control", control, "error", err)
			}

			if c.failures++; c.failures == unreachableAfterFailures {
				f.markUnreachable(control, &c)
			}

			pauses.Sleep(ctx, f.Settings.RetryDelay)

			continue
		}

		if c.failures > 0 {
			f.Logger.Info("Control VM is reachable again.", "control", control, "failures", c.failures)
		}

		c.failures = 0
	}
}

func (f *Follower) refused() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.refusedNumber
}

// newRequest returns a poll of a control VM, without the ends that it lacks.
func (f *Follower) newRequest(c *controlState) *wire.FollowRequest {
	s := f.State()
	r := &wire.FollowRequest{
		Cluster: f.Cluster, ID: f.ID, Zone: f.Zone, KnownIndex: s.Index, KnownNumber: s.Number,
		DirectoryBoot: c.directoryBoot, DirectoryRevision: c.directoryRevision, Leaving: f.Stopping != nil && f.Stopping(),
		ServicesOnly: f.ServicesOnly, RosterHash: c.rosterHash, RosterChanges: true, Incarnation: f.incarnation,
		RunningMillis: uint64(time.Since(f.startedAt).Milliseconds()),
	}

	if n := f.refused(); n > s.Number {
		r.RefusedNumber = n
	}

	if f.Relay.IsValid() {
		r.Relay = f.Relay.String()
	}

	if f.Demand != nil {
		r.Demand = proto.Float64(f.Demand())
	}

	if f.RetryUsage != nil {
		r.RetryUsage, r.RetryWindowMillis = retries.UsageToWire(f.RetryUsage()), uint64(f.RetryWindow.Milliseconds())
	}

	return r
}

func (f *Follower) pollOnce(ctx context.Context, control netip.AddrPort, c *controlState) error {
	c.beginPoll(time.Now())

	r := f.newRequest(c)
	fetch, wait := f.startTableFetch(control, c.tableNumber)
	r.WithoutTable = !fetch

	if c.directoryBoot != 0 && c.failures == 0 {
		r.WaitMillis = uint64(wait.Milliseconds())
	}

	ctx, cancel := context.WithTimeout(ctx, max(wait, f.Settings.MinPollWait)+f.Settings.AnswerTimeout)
	defer cancel()

	sent := f.addEvidence(control, r)

	out, err := f.Poll(ctx, control, r)
	if err == nil {
		err = f.mergeAnswer(time.Now(), control, out, c)

		if f.OnMeanDemand != nil && out.MeanDemand != nil {
			f.OnMeanDemand(out.GetMeanDemand())
		}
	}

	// Ending the fetch before the table is merged would let another control VM be
	// asked for it as well.
	if fetch {
		f.endTableFetch(control, err)
	}

	if err != nil {
		return err
	}

	c.directoryBoot, c.directoryRevision = out.GetDirectoryBoot(), out.GetDirectoryRevision()
	c.rosterHash, c.tableNumber = out.GetRosterHash(), out.GetNumber()
	f.mergeEvidence(time.Now(), control, sent, out, c)
	f.mergeRetryUsage(time.Now(), control, out)

	return nil
}

func (f *Follower) mergeRetryUsage(now time.Time, control netip.AddrPort, out *wire.FollowResponse) {
	if f.OnRetryUsage != nil {
		since := now.Add(-time.Duration(out.GetRetryUsageMillis()) * time.Millisecond)
		f.OnRetryUsage(control, retries.Report{Usage: retries.UsageFromWire(out.GetRetryUsage()), RecordedSince: since})
	}
}

// mergeAnswer merges one control VM's answer.
func (f *Follower) mergeAnswer(now time.Time, control netip.AddrPort, out *wire.FollowResponse, c *controlState) error {
	f.mu.Lock()
	defer f.mu.Unlock()

	next := *f.current.Load()
	changed := false

	if !f.answered[control] {
		f.answered[control] = true
		next.ControlsAnswered = len(f.answered)
		changed = true
	}

	if next.FirstAnswerAt.IsZero() {
		next.FirstAnswerAt = now
	}

	var invalid error

	if out.GetIndex() > next.Index || out.GetTable() != nil && out.GetNumber() > next.Number {
		// The answer is asked for again because of an invalid table; zones and targets must not wait for that.
		invalid = f.mergeState(&next, out)
		changed = true
	}

	if err := f.setMembers(control, out.GetControls()); err != nil {
		return err
	}

	f.tableFetch.zones[control] = out.GetZone()

	f.setRoster(now, control, out, c)

	if f.rosters.changed || f.absences.changed {
		next.Roster = f.rosters.nodes()
		next.Sharers = sharers(next.Roster, f.absences.nodes())
		changed = true
	}

	if next.RosterIncomplete && !out.GetRosterIncomplete() {
		next.RosterIncomplete = false
		changed = true
	}

	if n := max(f.maxEntryCount(), len(next.Roster)); n != next.Entries {
		f.logEntryCount(next.Entries, n, control, out)

		next.Entries = n
		changed = true
	}

	if f.mergeTargets(now, &next, out) {
		changed = true
	}

	relays, err := parseAddresses(out.GetRelays())
	if err != nil {
		return err
	}

	if !slices.Equal(relays, next.Relays) {
		next.Relays = relays
		changed = true
	}

	if changed {
		f.current.Store(&next)
		f.OnChange(&next)
	}

	return invalid
}

// mergeState merges a newer state. If it comes without its table, because this entry
// has received a higher number meanwhile, or with an invalid one, the current table stays.
func (f *Follower) mergeState(next *ClusterState, out *wire.FollowResponse) error {
	var invalid error

	if out.GetTable() != nil && out.GetNumber() > next.Number {
		table, err := routes.NewTable(routes.FromWire(out.GetTable()))
		if err != nil {
			f.Logger.Error("Invalid route table received; keeping the current one.", "number", out.GetNumber(), "error", err)

			invalid, f.refusedNumber = err, max(f.refusedNumber, out.GetNumber())
		} else {
			next.Table, next.Number = table, out.GetNumber()
			f.tableFetch.announcedAt = time.Time{}

			f.Logger.Info("Configuration in force.", "number", next.Number, "index", out.GetIndex(), "routes", len(table.Routes))
		}
	}

	// A requested table arrives after the state that announced it.
	if out.GetIndex() <= next.Index {
		return invalid
	}

	if !slices.Equal(next.ZonesOut, out.GetZonesOut()) {
		f.Logger.Info("The list of zones that are out changed.", "zones", out.GetZonesOut(), "index", out.GetIndex())
	}

	next.Index, next.ZonesOut = out.GetIndex(), out.GetZonesOut()

	return invalid
}

func (f *Follower) setMembers(control netip.AddrPort, controls []string) error {
	members, err := parseAddresses(controls)
	if err != nil {
		return err
	}

	if !slices.Equal(f.membersBySource[control], members) {
		select {
		case f.newMembers <- struct{}{}:
		default:
		}
	}

	f.membersBySource[control] = members

	return nil
}

func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	out := make([]netip.AddrPort, 0, len(texts))

	for _, t := range texts {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return nil, err //nolint:wrapcheck // names the address itself
		}

		out = append(out, a)
	}

	return out, nil
}

func (f *Follower) mergeTargets(now time.Time, next *ClusterState, out *wire.FollowResponse) bool {
	var ts []directory.Target

	for _, w := range out.GetTargets() {
		t, err := directory.FromWire(w, now)
		if err != nil {
			f.Logger.Warn("Invalid target received; ignoring it.", "target", w.GetID(), "error", err)

			continue
		}

		ts = append(ts, t)
	}

	if !f.merged.Merge(ts) {
		return false
	}

	next.Targets = f.merged.Targets()

	for i := range ts {
		f.Logger.Debug("Target updated.", "target", ts[i].ID, "service", ts[i].Service, "address", ts[i].Address, "state", ts[i].State)
	}

	return true
}

// logEntryCount logs a change of the number of entries after the answer of a control VM. Only a
// decrease enlarges this entry's shares.
func (f *Follower) logEntryCount(before, after int, control netip.AddrPort, out *wire.FollowResponse) {
	level := slog.LevelDebug
	if after < before {
		level = slog.LevelInfo
	}

	f.Logger.Log(context.Background(), level, "Number of entries changed.", "before", before, "after", after, "control", control,
		"reported", out.GetEntries(), "controlsHeard", len(f.entryCounts))
}

// maxEntryCount returns the number of entries that share the targets. Each control VM
// counts the entries that poll it; the largest count misses the fewest.
func (f *Follower) maxEntryCount() int {
	n := uint32(1)
	for _, c := range f.entryCounts {
		n = max(n, c)
	}

	return int(n)
}

// setRoster stores the entries that a control VM reported. Until the VM has settled, its reports only
// add to what is known. Then they also replace those of unreachable control VMs.
func (f *Follower) setRoster(now time.Time, control netip.AddrPort, out *wire.FollowResponse, c *controlState) {
	delete(f.unreachable, control)
	c.recordAnswer(now, out.GetDirectoryBoot())

	present, absent := nodesOf(out.GetRoster()), nodesOf(out.GetAbsent())

	if !c.settled {
		f.entryCounts[control] = max(f.entryCounts[control], out.GetEntries())
		f.rosters.change(control, present, nil)
		f.absences.change(control, absent, nil)

		return
	}

	for other := range f.unreachable {
		f.rosters.drop(other)
		f.absences.drop(other)
		delete(f.entryCounts, other)
		delete(f.unreachable, other)
	}

	f.entryCounts[control] = out.GetEntries()

	if out.GetRosterHash() == c.rosterHash {
		return
	}

	c.keepsEarlier = false
	f.absences.replace(control, absent)

	if out.GetRosterPartial() {
		f.rosters.change(control, present, out.GetRosterGone())
	} else {
		f.rosters.replace(control, present)
	}
}

func nodesOf(entries []*wire.RosterEntry) []shares.Node {
	out := make([]shares.Node, 0, len(entries))
	for _, e := range entries {
		out = append(out, shares.Node{ID: e.GetID(), Zone: e.GetZone()})
	}

	return out
}

// sharers returns the entries of a roster and the absent ones. One that a control VM does not hear of
// may be in the roster of another.
func sharers(present, absent []shares.Node) []shares.Node {
	known := make(map[string]bool, len(present))
	for _, n := range present {
		known[n.ID] = true
	}

	out := slices.Clone(present)

	for _, n := range absent {
		if !known[n.ID] {
			out = append(out, n)
		}
	}

	return out
}
