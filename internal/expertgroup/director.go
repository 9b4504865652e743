// Package expertgroup is the control VM's shell around the cores that keep the
// expert maps of lock-step groups: it gathers the ranks' reports, lets the
// planner decide, and drives the switch to a new map while its VM leads. One
// goroutine owns all of it; calls to ranks and to the log run beside it and
// come back as events.
package expertgroup

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/parsleygate/parsleygate/internal/expertmap"
	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/placement"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// RankAgent is the agent of one rank.
type RankAgent struct {
	Rank    int
	Address netip.AddrPort
}

// Settings are the intervals and costs of all groups.
type Settings struct {
	// PlanInterval is how often the ranks' reports are gathered and a new map is weighed.
	PlanInterval time.Duration
	// TickInterval is how often switches are moved on.
	TickInterval time.Duration
	// CallTimeout bounds one call to a rank or to the log.
	CallTimeout time.Duration
	// StageTimeout, PrepareFor and ResendEvery are the coordinator's.
	StageTimeout   time.Duration
	PrepareTimeout time.Duration
	ResendInterval time.Duration
	// SwitchLead is how many steps ahead a switch is named.
	SwitchLead expertmap.Step
	// Planner holds the costs of a change.
	Planner placement.Planner
}

// DefaultSettings returns the settings for the size that parsleygate is designed for.
func DefaultSettings() Settings {
	return Settings{
		PlanInterval: 30 * time.Second, TickInterval: 50 * time.Millisecond, CallTimeout: time.Second,
		StageTimeout: 5 * time.Minute, PrepareTimeout: 10 * time.Second, ResendInterval: 200 * time.Millisecond, SwitchLead: 50,
		Planner: placement.Planner{
			ExpertBytes: 20 << 20, StoreRate: 512 << 20, RankRate: 256 << 20,
			Slowdown: 0.05, SwitchPause: 50 * time.Millisecond, ExpertFraction: 0.6,
		},
	}
}

// Director keeps the maps of all groups while its VM leads. Its exported fields
// are set before Run.
type Director struct {
	// IsLeader reports whether this VM leads the log. Barrier returns once all entries
	// that earlier leaders committed have been passed to Applied.
	IsLeader func() bool
	Barrier  func(ctx context.Context) error
	// Propose appends an entry; it may be lost, and is then proposed again.
	Propose func(ctx context.Context, e *wire.GroupEntry) error
	// Groups returns the groups that the operators declare, Ranks the agents of one.
	Groups     func() []*wire.Group
	RankAgents func(group string) []RankAgent
	// SendOrder and Report call a rank's agent.
	SendOrder   func(ctx context.Context, to netip.AddrPort, o *wire.RankOrder) (*wire.RankStatus, error)
	FetchReport func(ctx context.Context, to netip.AddrPort, q *wire.RankQuestion) (*wire.RankReport, error)
	Settings    Settings
	Logger      *slog.Logger

	events chan func(now time.Time)
	// latest are the newest states, as the log's goroutine gave them. lost is set
	// where it found no room for an event.
	latest   atomic.Pointer[[]*wire.GroupState]
	lost     atomic.Bool
	units    map[string]*unit
	states   map[string]*wire.GroupState
	leading  bool
	asking   bool
	switches atomic.Int64
}

// eventBuffer is how many events wait for the director's goroutine.
const eventBuffer = 4096

// Init prepares the director. It is called once, before Applied and Run.
func (d *Director) Init() {
	d.events = make(chan func(time.Time), eventBuffer)
	d.units = make(map[string]*unit)
	d.states = make(map[string]*wire.GroupState)
}

// CommittedSwitches returns how many switches this VM has led to their commit.
func (d *Director) CommittedSwitches() int64 { return d.switches.Load() }

// OnApplied takes in an entry of the log, or with a nil one a restored snapshot.
// The goroutine of the log calls it, and it does not wait.
func (d *Director) OnApplied(index uint64, e *wire.GroupEntry, states []*wire.GroupState) {
	d.latest.Store(&states)

	select {
	case d.events <- func(now time.Time) { d.apply(now, index, e, states) }:
	default:
		d.lost.Store(true)
	}
}

func (d *Director) apply(now time.Time, index uint64, e *wire.GroupEntry, states []*wire.GroupState) {
	d.keep(states)

	if e == nil {
		d.follow()

		return
	}

	if u := d.units[e.GetGroup()]; u != nil {
		u.do(u.coordinator.Apply(now, expertmap.Fence(index), expertmap.EntryFromWire(e)))
	}
}

// keep takes in states. After a resync those of queued events are older.
func (d *Director) keep(states []*wire.GroupState) {
	for _, s := range states {
		if s.GetRecord().GetAsOf() >= d.states[s.GetGroup()].GetRecord().GetAsOf() {
			d.states[s.GetGroup()] = s
		}
	}
}

// resync makes up for lost events. A coordinator that missed an entry believes
// an old map to rule, and would tell so to a rank that asks: two ranks would run
// by two maps. So all units end, and new ones begin from the newest states.
func (d *Director) resync() {
	if !d.lost.Swap(false) {
		return
	}

	d.Logger.Warn("fell behind the log")
	d.keep(*d.latest.Load())
	d.follow()
}

// post hands an event of a call to the director's goroutine, and waits for room.
func (d *Director) post(ctx context.Context, event func(now time.Time)) {
	select {
	case d.events <- event:
	case <-ctx.Done():
	}
}

// Run directs until ctx ends.
func (d *Director) Run(ctx context.Context) error {
	tick := time.NewTicker(d.Settings.TickInterval)
	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-d.events:
			d.resync()
			event(time.Now())
		case now := <-tick.C:
			d.resync()
			d.tick(ctx, now)
		}
	}
}

func (d *Director) tick(ctx context.Context, now time.Time) {
	switch leads := d.IsLeader(); {
	case !leads && d.leading:
		d.follow()
	case leads && !d.leading && !d.asking:
		d.askBarrier(ctx)
	}

	if !d.leading {
		return
	}

	declared := make(map[string]bool)

	for _, g := range d.Groups() {
		declared[g.GetName()] = true
		d.unit(ctx, now, g).tick(now)
	}

	for name, u := range d.units {
		if !declared[name] {
			d.end(u)
		}
	}
}

// askBarrier takes the lead of the groups only behind the entries of earlier
// leaders: a switch that one of them committed must not be begun anew.
func (d *Director) askBarrier(ctx context.Context) {
	d.asking = true

	go func() {
		err := d.barrier(ctx)

		d.post(ctx, func(time.Time) {
			d.asking = false
			d.leading = err == nil && d.IsLeader()
		})
	}()
}

func (d *Director) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.Settings.CallTimeout)
	defer cancel()

	return d.Barrier(ctx)
}

func (d *Director) follow() {
	d.leading = false
	for _, u := range d.units {
		d.end(u)
	}
}

// end ends a unit. Answers that come later find it no longer leading.
func (d *Director) end(u *unit) {
	u.coordinator.Follow()
	delete(d.units, u.name)
}

// unit returns the group's unit, which begins to lead when it is made.
func (d *Director) unit(ctx context.Context, now time.Time, g *wire.Group) *unit {
	if u := d.units[g.GetName()]; u != nil && ShapeOf(g) == u.shape {
		return u
	} else if u != nil {
		d.end(u)
	}

	u := newUnit(ctx, d, g)
	d.units[g.GetName()] = u

	record := ledger.InitialRecord()
	if s := d.states[g.GetName()]; s != nil {
		record = expertmap.RecordFromWire(s.GetRecord())
	}

	u.coordinator.Start(record)
	u.do(u.coordinator.Lead(now))

	return u
}
