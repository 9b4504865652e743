package view

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/routes"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// ClusterState is what an entry that is the door of its targets knows. It never changes.
type ClusterState struct {
	// Index orders states; Number is the operators' own of Table.
	Index    uint64
	Number   uint64
	Table    *routes.Table
	ZonesOut []string
	Targets  []directory.Target
	// Entries is how many entries share the targets, this one included, and Roster those
	// of them that are known by ID.
	Entries int
	Roster  []shares.Node
	// Relays are where some processes relay orders to engines, by the control VM that
	// answered last.
	Relays []netip.AddrPort
	// ControlsAnswered is how many control VMs have answered since the start.
	ControlsAnswered int
	// FirstAnswerAt is when the first of them answered.
	FirstAnswerAt time.Time
}

// ZoneOut reports whether the operators have taken the zone out.
func (f *ClusterState) ZoneOut(zone string) bool { return slices.Contains(f.ZonesOut, zone) }

// Follower follows every control VM at once. Targets announce themselves to any
// one of them, so that one alone does not know them all; and a control VM that a
// partition has cut off, or that wakes from a suspension, tells old news, which
// the others outrank by its index. Set its exported fields before Run.
type Follower struct {
	Cluster string
	ID      string
	Zone    string
	// Seeds are the control VMs that the settings name; Seeds is called anew for
	// each round of dials, since settings change.
	Seeds func() []netip.AddrPort
	// Poll sends one question to a control VM. It must end when ctx does.
	Poll func(ctx context.Context, control netip.AddrPort, r *wire.FollowRequest) (*wire.FollowResponse, error)
	// Leaving says that this process stops.
	Leaving func() bool
	// Relay is where this process relays orders to engines; invalid where it does not.
	Relay netip.AddrPort
	// ServicesOnly leaves out routes and workspaces, for who takes no callers.
	ServicesOnly bool
	// OnChange is called with each new state, one call at a time.
	OnChange func(*ClusterState)
	Settings FollowerSettings
	Logger   *slog.Logger

	mu              sync.Mutex
	merged          directory.MergedTargets
	current         atomic.Pointer[ClusterState]
	membersBySource map[netip.AddrPort][]netip.AddrPort // by who told
	entryCounts     map[netip.AddrPort]uint32
	rostersBySource map[netip.AddrPort][]shares.Node // by who told
	answered        map[netip.AddrPort]bool
	unreachable     map[netip.AddrPort]bool // whose word on entries is to be dropped
	tableFetch      tableFetch
	cancels         map[netip.AddrPort]context.CancelFunc
	pollers         sync.WaitGroup
}

// FollowerSettings are the intervals of a follower.
type FollowerSettings struct {
	// MaxPollWait is how long a control VM may hold a question, and Timeout how long its
	// answer may take beyond that. Together they are how long a connection that has
	// gone silent keeps news from this entry.
	MaxPollWait   time.Duration
	AnswerTimeout time.Duration
	// RetryDelay is the pause after a question that failed.
	RetryDelay time.Duration
	// RefreshInterval is how often the list of control VMs is looked at.
	RefreshInterval time.Duration
}

// DefaultFollowerSettings returns intervals that bring news of a lost connection
// within a second and cost 1.5 questions a second and control VM.
func DefaultFollowerSettings() FollowerSettings {
	return FollowerSettings{
		MaxPollWait: 600 * time.Millisecond, AnswerTimeout: 400 * time.Millisecond,
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

	f.membersBySource = make(map[netip.AddrPort][]netip.AddrPort)
	f.entryCounts = make(map[netip.AddrPort]uint32)
	f.rostersBySource = make(map[netip.AddrPort][]shares.Node)
	f.answered = make(map[netip.AddrPort]bool)
	f.unreachable = make(map[netip.AddrPort]bool)
	f.tableFetch = tableFetch{localZone: f.Zone, zones: make(map[netip.AddrPort]string)}
	f.cancels = make(map[netip.AddrPort]context.CancelFunc)
	f.current.Store(&ClusterState{Entries: 1})
}

// State returns what is known now. It is never nil after Init.
func (f *Follower) State() *ClusterState { return f.current.Load() }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	tick := time.NewTicker(f.Settings.RefreshInterval)
	defer tick.Stop()
	defer f.pollers.Wait()

	for {
		f.refresh(ctx)

		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// refresh follows the control VMs of the settings and of the members as they are
// now, and no others.
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
			delete(f.rostersBySource, a)
			delete(f.unreachable, a)
			delete(f.tableFetch.zones, a)
			delete(f.membersBySource, a)
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

// maxFailuresReachable is after how many failed questions in a row what a control VM told of entries
// no longer counts, as soon as another one tells of them.
const maxFailuresReachable = 40

// markUnreachable notes that a control VM has not answered for long.
func (f *Follower) markUnreachable(control netip.AddrPort, c *controlState) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.unreachable[control] = true
	c.rosterHash = 0
}

// controlState is how far this entry knows one control VM's directory.
type controlState struct {
	directoryBoot, directoryRevision uint64
	rosterHash                       uint64
	tableNumber                      uint64
	failures                         int
}

func (f *Follower) pollLoop(ctx context.Context, control netip.AddrPort) {
	var c controlState

	for ctx.Err() == nil {
		if err := f.pollOnce(ctx, control, &c); err != nil {
			if c.failures == 0 && ctx.Err() == nil {
				f.Logger.Info("Control VM lost.", "control", control, "error", err)
			}

			if c.failures++; c.failures == maxFailuresReachable {
				f.markUnreachable(control, &c)
			}

			pauses.For(ctx, f.Settings.RetryDelay)

			continue
		}

		if c.failures > 0 {
			f.Logger.Info("Control VM answers again.", "control", control, "failures", c.failures)
		}

		c.failures = 0
	}
}

func (f *Follower) pollOnce(ctx context.Context, control netip.AddrPort, c *controlState) error {
	s := f.State()
	r := &wire.FollowRequest{
		Cluster: f.Cluster, ID: f.ID, Zone: f.Zone, KnownIndex: s.Index, KnownNumber: s.Number,
		DirectoryBoot: c.directoryBoot, DirectoryRevision: c.directoryRevision, Leaving: f.Leaving != nil && f.Leaving(),
		ServicesOnly: f.ServicesOnly, RosterHash: c.rosterHash,
	}

	if f.Relay.IsValid() {
		r.Relay = f.Relay.String()
	}

	fetch, wait := f.startTableFetch(control, c.tableNumber)
	r.WithoutTable = !fetch

	if c.directoryBoot != 0 && c.failures == 0 {
		r.WaitMillis = uint64(wait.Milliseconds())
	}

	ctx, cancel := context.WithTimeout(ctx, f.Settings.MaxPollWait+f.Settings.AnswerTimeout)
	defer cancel()

	out, err := f.Poll(ctx, control, r)
	if err == nil {
		err = f.mergeAnswer(time.Now(), control, out, c)
	}

	// Before the table is taken in, another control VM would be asked for it once more.
	if fetch {
		f.endTableFetch(control, err)
	}

	if err != nil {
		return err
	}

	c.directoryBoot, c.directoryRevision = out.GetDirectoryBoot(), out.GetDirectoryRevision()
	c.rosterHash, c.tableNumber = out.GetRosterHash(), out.GetNumber()

	return nil
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

	if out.GetIndex() > next.Index || out.GetTable() != nil && out.GetNumber() > next.Number {
		if err := f.mergeState(&next, out); err != nil {
			return err
		}

		changed = true
	}

	if err := f.setMembers(control, out.GetControls()); err != nil {
		return err
	}

	f.entryCounts[control] = out.GetEntries()
	f.tableFetch.zones[control] = out.GetZone()

	if f.setRoster(control, out, c) {
		next.Roster = f.mergedRoster()
		changed = true
	}

	if n := max(f.maxEntryCount(), len(next.Roster)); n != next.Entries {
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

	return nil
}

// mergeState takes in a later state. A table that it must hold and does not, since
// this entry learnt a higher number meanwhile, leaves the table as it is.
func (f *Follower) mergeState(next *ClusterState, out *wire.FollowResponse) error {
	if out.GetTable() != nil && out.GetNumber() > next.Number {
		table, err := routes.NewTable(routes.FromWire(out.GetTable()))
		if err != nil {
			f.Logger.Error("The table of a control VM is invalid.", "number", out.GetNumber(), "error", err)

			return err
		}

		next.Table, next.Number = table, out.GetNumber()
		f.tableFetch.announcedAt = time.Time{}

		f.Logger.Info("Configuration in force.", "number", next.Number, "index", out.GetIndex(), "routes", len(table.Routes))
	}

	// A table that was asked for comes after the state that told of it.
	if out.GetIndex() <= next.Index {
		return nil
	}

	if !slices.Equal(next.ZonesOut, out.GetZonesOut()) {
		f.Logger.Info("Zones out.", "zones", out.GetZonesOut(), "index", out.GetIndex())
	}

	next.Index, next.ZonesOut = out.GetIndex(), out.GetZonesOut()

	return nil
}

func (f *Follower) setMembers(control netip.AddrPort, controls []string) error {
	members, err := parseAddresses(controls)
	if err != nil {
		return err
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
			f.Logger.Warn("A target of a control VM cannot be read.", "target", w.GetID(), "error", err)

			continue
		}

		ts = append(ts, t)
	}

	if !f.merged.Merge(ts) {
		return false
	}

	next.Targets = f.merged.Targets()

	for i := range ts {
		f.Logger.Debug("Target.", "target", ts[i].ID, "service", ts[i].Service, "address", ts[i].Address, "state", ts[i].State)
	}

	return true
}

// maxEntryCount returns how many entries share the targets. Each control VM counts those
// that follow it; the largest count misses the fewest.
func (f *Follower) maxEntryCount() int {
	n := uint32(1)
	for _, c := range f.entryCounts {
		n = max(n, c)
	}

	return int(n)
}

// setRoster takes in the entries that a control VM named, and reports whether that may
// have changed the roster.
func (f *Follower) setRoster(control netip.AddrPort, out *wire.FollowResponse, c *controlState) bool {
	delete(f.unreachable, control)

	changed := len(f.unreachable) > 0

	for other := range f.unreachable {
		delete(f.rostersBySource, other)
		delete(f.entryCounts, other)
		delete(f.unreachable, other)
	}

	if out.GetRosterHash() == c.rosterHash {
		return changed
	}

	places := make([]shares.Node, 0, len(out.GetRoster()))
	for _, e := range out.GetRoster() {
		places = append(places, shares.Node{ID: e.GetID(), Zone: e.GetZone()})
	}

	f.rostersBySource[control] = places

	return true
}

// mergedRoster returns the entries that any control VM names, by ID.
func (f *Follower) mergedRoster() []shares.Node {
	all := make(map[string]shares.Node)

	for _, places := range f.rostersBySource {
		for _, p := range places {
			all[p.ID] = p
		}
	}

	return slices.SortedFunc(maps.Values(all), func(a, b shares.Node) int { return strings.Compare(a.ID, b.ID) })
}
