// Package expertgroup manages the expert maps of lock-step groups on a control VM. The leading
// VM collects reports from the ranks, lets the planner decide about a new map and drives the
// switch to it. It does the I/O for packages expertmap, placement and popularity, which have
// none. All state belongs to one goroutine. Calls to ranks and to the log run in goroutines of
// their own and return their results to it as events.
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

// RankAgent is the address of one rank's agent.
type RankAgent struct {
	Rank    int
	Address netip.AddrPort
}

// Settings are the intervals, timeouts and costs for all groups.
type Settings struct {
	// PlanInterval is the interval at which the ranks' reports are collected and a new map is
	// considered.
	PlanInterval time.Duration
	// TickInterval is the interval at which the switch coordinators are ticked.
	TickInterval time.Duration
	// CallTimeout bounds one call to a rank or to the log.
	CallTimeout time.Duration
	// StageTimeout, PrepareTimeout and ResendInterval are passed to expertmap.Coordinator.
	StageTimeout   time.Duration
	PrepareTimeout time.Duration
	ResendInterval time.Duration
	// SwitchLead is how many steps ahead of the current one a switch is scheduled.
	SwitchLead expertmap.Step
	// Planner holds the costs of a map change.
	Planner placement.Planner
}

// DefaultSettings returns the settings for the group sizes that parsleygate is designed for.
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

// Director manages the expert maps of all groups while its VM leads. Set the exported fields
// before Run.
type Director struct {
	// IsLeader reports whether this VM leads the log. Barrier returns once all entries that
	// earlier leaders committed have been passed to OnApplied.
	IsLeader func() bool
	Barrier  func(ctx context.Context) error
	// Propose appends an entry to the log. An entry may be lost; the coordinator then proposes
	// it again.
	Propose func(ctx context.Context, e *wire.GroupEntry) error
	// Groups returns the groups that the operators declared. RankAgents returns the agents of
	// one group's ranks.
	Groups     func() []*wire.Group
	RankAgents func(group string) []RankAgent
	// SendOrder and FetchReport call a rank's agent.
	SendOrder   func(ctx context.Context, to netip.AddrPort, o *wire.RankOrder) (*wire.RankStatus, error)
	FetchReport func(ctx context.Context, to netip.AddrPort, q *wire.RankQuestion) (*wire.RankReport, error)
	Settings    Settings
	Logger      *slog.Logger

	events chan func(now time.Time)
	// latestStates holds the states most recently passed to OnApplied. missedEvents is set
	// when the event queue was full and an event was dropped.
	latestStates      atomic.Pointer[[]*wire.GroupState]
	missedEvents      atomic.Bool
	controllers       map[string]*groupController
	states            map[string]*wire.GroupState
	leading           bool
	awaitingBarrier   bool
	committedSwitches atomic.Int64
}

// eventQueueSize is the capacity of the director's event queue.
const eventQueueSize = 4096

// Init prepares the director. Call it once, before OnApplied and Run.
func (d *Director) Init() {
	d.events = make(chan func(time.Time), eventQueueSize)
	d.controllers = make(map[string]*groupController)
	d.states = make(map[string]*wire.GroupState)
}

// CommittedSwitches returns how many switches were committed while this VM led them.
func (d *Director) CommittedSwitches() int64 { return d.committedSwitches.Load() }

// OnApplied handles an applied log entry, or a restored snapshot if e is nil. The log's
// goroutine calls it; it does not block.
func (d *Director) OnApplied(index uint64, e *wire.GroupEntry, states []*wire.GroupState) {
	d.latestStates.Store(&states)

	select {
	case d.events <- func(now time.Time) { d.handleApplied(now, index, e, states) }:
	default:
		d.missedEvents.Store(true)
	}
}

func (d *Director) handleApplied(now time.Time, index uint64, e *wire.GroupEntry, states []*wire.GroupState) {
	d.mergeStates(states)

	if e == nil {
		d.stepDown()

		return
	}

	if c := d.controllers[e.GetGroup()]; c != nil {
		c.execute(c.coordinator.Apply(now, expertmap.Fence(index), expertmap.EntryFromWire(e)))
	}
}

// mergeStates stores states unless newer ones are known: after a resync, queued events carry
// older states.
func (d *Director) mergeStates(states []*wire.GroupState) {
	for _, s := range states {
		if s.GetRecord().GetAsOf() >= d.states[s.GetGroup()].GetRecord().GetAsOf() {
			d.states[s.GetGroup()] = s
		}
	}
}

// resync restores consistency after dropped events. A coordinator that missed an entry may
// consider an old map current and report it to a rank that asks, so that two ranks would use
// different maps. Therefore all controllers are stopped, and new ones start from the latest
// states.
func (d *Director) resync() {
	if !d.missedEvents.Swap(false) {
		return
	}

	d.Logger.Warn("Event queue overflowed; restarting all group controllers from the latest state.")
	d.mergeStates(*d.latestStates.Load())
	d.stepDown()
}

// post queues the result of a call for the director's goroutine, and blocks while the queue is
// full.
func (d *Director) post(ctx context.Context, event func(now time.Time)) {
	select {
	case d.events <- event:
	case <-ctx.Done():
	}
}

// Run processes events until ctx ends.
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
	switch leader := d.IsLeader(); {
	case !leader && d.leading:
		d.stepDown()
	case leader && !d.leading && !d.awaitingBarrier:
		d.startBarrier(ctx)
	}

	if !d.leading {
		return
	}

	declared := make(map[string]bool)

	for _, g := range d.Groups() {
		declared[g.GetName()] = true
		d.controller(ctx, now, g).tick(now)
	}

	for name, c := range d.controllers {
		if !declared[name] {
			d.stopController(c)
		}
	}
}

// startBarrier makes this VM lead the groups once it has applied all entries of earlier
// leaders. Otherwise it could start a switch again that an earlier leader committed.
func (d *Director) startBarrier(ctx context.Context) {
	d.awaitingBarrier = true

	go func() {
		err := d.barrier(ctx)

		d.post(ctx, func(time.Time) {
			d.awaitingBarrier = false
			d.leading = err == nil && d.IsLeader()
		})
	}()
}

func (d *Director) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.Settings.CallTimeout)
	defer cancel()

	return d.Barrier(ctx)
}

func (d *Director) stepDown() {
	d.leading = false
	for _, c := range d.controllers {
		d.stopController(c)
	}
}

// stopController stops the group's controller. Its coordinator ignores answers that arrive
// later, as it no longer leads.
func (d *Director) stopController(c *groupController) {
	c.coordinator.Follow()
	delete(d.controllers, c.name)
}

// controller returns the group's controller. It creates one that starts to lead if there is
// none or the group's shape has changed.
func (d *Director) controller(ctx context.Context, now time.Time, g *wire.Group) *groupController {
	if c := d.controllers[g.GetName()]; c != nil && ShapeOf(g) == c.shape {
		return c
	} else if c != nil {
		d.stopController(c)
	}

	c := newGroupController(ctx, d, g)
	d.controllers[g.GetName()] = c

	record := ledger.InitialRecord()
	if s := d.states[g.GetName()]; s != nil {
		record = expertmap.RecordFromWire(s.GetRecord())
	}

	c.coordinator.Start(record)
	c.execute(c.coordinator.Lead(now))

	return c
}
