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

	mu       sync.Mutex
	merged   directory.MergedTargets
	current  atomic.Pointer[ClusterState]
	members  map[netip.AddrPort][]netip.AddrPort // by who told
	counts   map[netip.AddrPort]uint32
	rosters  map[netip.AddrPort][]shares.Node // by who told
	answered map[netip.AddrPort]bool
	lost     map[netip.AddrPort]bool // whose word on entries is to be dropped
	tables   tables
	running  map[netip.AddrPort]context.CancelFunc
	done     sync.WaitGroup
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

	f.members = make(map[netip.AddrPort][]netip.AddrPort)
	f.counts = make(map[netip.AddrPort]uint32)
	f.rosters = make(map[netip.AddrPort][]shares.Node)
	f.answered = make(map[netip.AddrPort]bool)
	f.lost = make(map[netip.AddrPort]bool)
	f.tables = tables{own: f.Zone, zones: make(map[netip.AddrPort]string)}
	f.running = make(map[netip.AddrPort]context.CancelFunc)
	f.current.Store(&ClusterState{Entries: 1})
}

// State returns what is known now. It is never nil after Init.
func (f *Follower) State() *ClusterState { return f.current.Load() }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	tick := time.NewTicker(f.Settings.RefreshInterval)
	defer tick.Stop()
	defer f.done.Wait()

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

	for _, told := range f.members {
		for _, a := range told {
			wanted[a] = true
		}
	}

	for a, stop := range f.running {
		if !wanted[a] {
			stop()
			delete(f.running, a)
			delete(f.counts, a)
			delete(f.rosters, a)
			delete(f.lost, a)
			delete(f.tables.zones, a)
			delete(f.members, a)
		}
	}

	for a := range wanted {
		if f.running[a] != nil {
			continue
		}

		one, stop := context.WithCancel(ctx)
		f.running[a] = stop

		f.done.Go(func() { f.follow(one, a) })
	}
}

// lostAfter is after how many failed questions in a row what a control VM told of entries
// no longer counts, as soon as another one tells of them.
const lostAfter = 40

// lose notes that a control VM has not answered for long.
func (f *Follower) lose(control netip.AddrPort, k *known) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.lost[control] = true
	k.roster = 0
}

// known is how far this entry knows one control VM's directory.
type known struct {
	boot, revision uint64
	roster         uint64
	number         uint64
	fails          int
}

func (f *Follower) follow(ctx context.Context, control netip.AddrPort) {
	var k known

	for ctx.Err() == nil {
		if err := f.ask(ctx, control, &k); err != nil {
			if k.fails == 0 && ctx.Err() == nil {
				f.Logger.Info("Control VM lost.", "control", control, "error", err)
			}

			if k.fails++; k.fails == lostAfter {
				f.lose(control, &k)
			}

			pauses.For(ctx, f.Settings.RetryDelay)

			continue
		}

		if k.fails > 0 {
			f.Logger.Info("Control VM answers again.", "control", control, "failures", k.fails)
		}

		k.fails = 0
	}
}

func (f *Follower) ask(ctx context.Context, control netip.AddrPort, k *known) error {
	s := f.State()
	r := &wire.FollowRequest{
		Cluster: f.Cluster, ID: f.ID, Zone: f.Zone, KnownIndex: s.Index, KnownNumber: s.Number,
		DirectoryBoot: k.boot, DirectoryRevision: k.revision, Leaving: f.Leaving != nil && f.Leaving(),
		ServicesOnly: f.ServicesOnly, RosterHash: k.roster,
	}

	if f.Relay.IsValid() {
		r.Relay = f.Relay.String()
	}

	fetch, wait := f.fetch(control, k.number)
	r.WithoutTable = !fetch

	if k.boot != 0 && k.fails == 0 {
		r.WaitMillis = uint64(wait.Milliseconds())
	}

	ctx, cancel := context.WithTimeout(ctx, f.Settings.MaxPollWait+f.Settings.AnswerTimeout)
	defer cancel()

	out, err := f.Poll(ctx, control, r)
	if err == nil {
		err = f.take(time.Now(), control, out, k)
	}

	// Before the table is taken in, another control VM would be asked for it once more.
	if fetch {
		f.fetched(control, err)
	}

	if err != nil {
		return err
	}

	k.boot, k.revision = out.GetDirectoryBoot(), out.GetDirectoryRevision()
	k.roster, k.number = out.GetRosterHash(), out.GetNumber()

	return nil
}

// take merges one control VM's answer.
func (f *Follower) take(now time.Time, control netip.AddrPort, out *wire.FollowResponse, k *known) error {
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
		if err := f.takeState(&next, out); err != nil {
			return err
		}

		changed = true
	}

	if err := f.takeMembers(control, out.GetControls()); err != nil {
		return err
	}

	f.counts[control] = out.GetEntries()
	f.tables.zones[control] = out.GetZone()

	if f.takeRoster(control, out, k) {
		next.Roster = f.roster()
		changed = true
	}

	if n := max(f.entries(), len(next.Roster)); n != next.Entries {
		next.Entries = n
		changed = true
	}

	if f.takeTargets(now, &next, out) {
		changed = true
	}

	relays, err := addresses(out.GetRelays())
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

// takeState takes in a later state. A table that it must hold and does not, since
// this entry learnt a higher number meanwhile, leaves the table as it is.
func (f *Follower) takeState(next *ClusterState, out *wire.FollowResponse) error {
	if out.GetTable() != nil && out.GetNumber() > next.Number {
		table, err := routes.NewTable(routes.FromWire(out.GetTable()))
		if err != nil {
			f.Logger.Error("The table of a control VM is invalid.", "number", out.GetNumber(), "error", err)

			return err
		}

		next.Table, next.Number = table, out.GetNumber()
		f.tables.heardAt = time.Time{}

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

func (f *Follower) takeMembers(control netip.AddrPort, controls []string) error {
	members, err := addresses(controls)
	if err != nil {
		return err
	}

	f.members[control] = members

	return nil
}

func addresses(texts []string) ([]netip.AddrPort, error) {
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

func (f *Follower) takeTargets(now time.Time, next *ClusterState, out *wire.FollowResponse) bool {
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

// entries returns how many entries share the targets. Each control VM counts those
// that follow it; the largest count misses the fewest.
func (f *Follower) entries() int {
	n := uint32(1)
	for _, c := range f.counts {
		n = max(n, c)
	}

	return int(n)
}

// takeRoster takes in the entries that a control VM named, and reports whether that may
// have changed the roster.
func (f *Follower) takeRoster(control netip.AddrPort, out *wire.FollowResponse, k *known) bool {
	delete(f.lost, control)

	changed := len(f.lost) > 0

	for other := range f.lost {
		delete(f.rosters, other)
		delete(f.counts, other)
		delete(f.lost, other)
	}

	if out.GetRosterHash() == k.roster {
		return changed
	}

	places := make([]shares.Node, 0, len(out.GetRoster()))
	for _, e := range out.GetRoster() {
		places = append(places, shares.Node{ID: e.GetID(), Zone: e.GetZone()})
	}

	f.rosters[control] = places

	return true
}

// roster returns the entries that any control VM names, by ID.
func (f *Follower) roster() []shares.Node {
	all := make(map[string]shares.Node)

	for _, told := range f.rosters {
		for _, p := range told {
			all[p.ID] = p
		}
	}

	return slices.SortedFunc(maps.Values(all), func(a, b shares.Node) int { return strings.Compare(a.ID, b.ID) })
}
