package expertgroup

import (
	"context"
	"math"
	"time"

	"github.com/parsleygate/parsleygate/internal/expertmap"
	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/placement"
	"github.com/parsleygate/parsleygate/internal/popularity"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	// trackerGain and speedGain are the tracker's weights of new windows.
	trackerGain = 0.3
	speedGain   = 0.3
	// lookEvery is how often ranks are asked for their status.
	lookEvery = time.Second
	// longestLife bounds how long popularity is thought to stay as it is.
	longestLife = time.Hour
)

// unit keeps the map of one group.
type unit struct {
	ctx         context.Context //nolint:containedctx // of the director's Run
	director    *Director
	name        string
	shape       placement.Shape
	coordinator *expertmap.Coordinator
	tracker     *popularity.Tracker
	planner     placement.Planner
	planAt      time.Time
	lookAt      time.Time
	busy        map[int]bool
	// next is the map of the switch that is under way.
	next *wire.GroupMap
}

// ShapeOf returns the shape that a declaration gives.
func ShapeOf(g *wire.Group) placement.Shape {
	slots := int(g.GetSlots())
	if slots == 0 && g.GetRanks() > 0 {
		slots = int(math.Ceil(float64(g.GetExperts())/float64(g.GetRanks()))) + 1
	}

	return placement.Shape{
		Layers: int(g.GetLayers()), Ranks: int(g.GetRanks()), SlotsPerRank: slots, Experts: int(g.GetExperts()),
	}
}

func newUnit(ctx context.Context, d *Director, g *wire.Group) *unit {
	shape := ShapeOf(g)
	s := &d.Settings

	return &unit{
		ctx: ctx, director: d, name: g.GetName(), shape: shape, busy: make(map[int]bool),
		coordinator: &expertmap.Coordinator{
			Ranks: shape.Ranks, Margin: s.SwitchLead, StageTimeout: s.StageTimeout, PrepareTimeout: s.PrepareTimeout, ResendInterval: s.ResendInterval,
		},
		tracker: &popularity.Tracker{
			Layers: shape.Layers, Experts: shape.Experts, Ranks: shape.Ranks,
			Gain: trackerGain, SpeedGain: speedGain, MaxDecay: longestLife,
		},
		planner: s.Planner,
	}
}

func (u *unit) tick(now time.Time) {
	u.do(u.coordinator.Tick(now))
	u.look(now)

	if now.Before(u.planAt) {
		return
	}

	if u.planAt.IsZero() {
		u.planAt = now.Add(u.director.Settings.PlanInterval)

		return
	}

	u.planAt = now.Add(u.director.Settings.PlanInterval)
	u.gather()
}

// look asks every rank for its status now and then: a rank that has restarted
// is heard of by that alone.
func (u *unit) look(now time.Time) {
	if now.Before(u.lookAt) {
		return
	}

	u.lookAt = now.Add(lookEvery)

	for r := range u.shape.Ranks {
		u.order(expertmap.Order{Rank: r})
	}
}

// do carries out what the coordinator asks for.
func (u *unit) do(actions []expertmap.Action) {
	for _, a := range actions {
		switch a.Kind {
		case expertmap.ActionAppend:
			u.append(a.Entry)
		case expertmap.ActionOrder:
			u.order(a.Order)
		case expertmap.ActionDone:
			u.done(a)
		default:
		}
	}
}

func (u *unit) append(e expertmap.Entry) {
	entry := expertmap.EntryToWire(u.name, e)
	if e.Kind == expertmap.EntryBegin && u.next != nil {
		entry.Placement = u.next.GetPlacement()
	}

	go func() {
		ctx, cancel := context.WithTimeout(u.ctx, u.director.Settings.CallTimeout)
		defer cancel()

		if err := u.director.Propose(ctx, entry); err != nil {
			u.director.Logger.Debug("entry not appended", "group", u.name, "error", err)
		}
	}()
}

// order sends an order to a rank, one at a time; the coordinator repeats it.
func (u *unit) order(o expertmap.Order) {
	if u.busy[o.Rank] {
		return
	}

	for _, n := range u.director.RankAgents(u.name) {
		if n.Rank == o.Rank {
			u.busy[o.Rank] = true

			go u.send(n, o, u.director.states[u.name].GetMaps())

			return
		}
	}
}

func (u *unit) send(n RankAgent, o expertmap.Order, maps []*wire.GroupMap) {
	ctx, cancel := context.WithTimeout(u.ctx, u.director.Settings.CallTimeout)
	defer cancel()

	order := expertmap.OrderToWire(u.name, o)

	if needsMaps(o.Kind) {
		order.Maps = maps
	}

	status, err := u.director.SendOrder(ctx, n.Address, order)

	u.director.post(u.ctx, func(now time.Time) {
		u.busy[o.Rank] = false

		if err != nil {
			u.director.Logger.Debug("order not answered", "group", u.name, "rank", o.Rank, "error", err)

			return
		}

		u.do(u.coordinator.Receive(now, expertmap.StatusFromWire(status)))
	})
}

// needsMaps reports whether the rank may have to load a map because of an order.
// A map weighs 20 KB and more: with each status ask, once a second, that would be
// most of what the leader says.
func needsMaps(k expertmap.OrderKind) bool {
	return k == expertmap.OrderStage || k == expertmap.OrderInform || k == expertmap.OrderConfirm
}

func (u *unit) done(a expertmap.Action) {
	u.next = nil

	if a.Outcome == expertmap.Committed {
		u.director.switches.Add(1)
	}

	u.director.Logger.Info("switch ended", "group", u.name, "version", a.Version, "committed", a.Outcome == expertmap.Committed)
}

// gather asks every rank for its counts, and weighs a new map once all have
// answered or failed to.
func (u *unit) gather() {
	nodes := u.director.RankAgents(u.name)
	reports := make(chan *wire.RankReport, len(nodes))

	for _, n := range nodes {
		go func() {
			ctx, cancel := context.WithTimeout(u.ctx, u.director.Settings.CallTimeout)
			defer cancel()

			r, err := u.director.FetchReport(ctx, n.Address, &wire.RankQuestion{
				Group: u.name, Rank: uint32(n.Rank), Tokens: u.countsFor(n.Rank),
			})
			if err != nil {
				u.director.Logger.Debug("no report", "group", u.name, "rank", n.Rank, "error", err)
			}

			reports <- r
		}()
	}

	go func() {
		var all []*wire.RankReport
		for range nodes {
			if r := <-reports; r != nil {
				all = append(all, r)
			}
		}

		u.director.post(u.ctx, func(now time.Time) { u.weigh(now, all) })
	}()
}

// countsFor reports whether the rank's counts of each expert are asked for. Its
// routing is a sample of the group's: two ranks count for all, the second in
// case the first is away, where all 32 would say 16 times as much.
func (u *unit) countsFor(rank int) bool { return rank == 0 || rank == u.shape.Ranks/2 }

func (u *unit) weigh(now time.Time, reports []*wire.RankReport) {
	for _, r := range reports {
		_, err := u.tracker.Observe(&popularity.Report{
			Rank: int(r.GetRank()), Incarnation: r.GetIncarnation(), Seq: r.GetSequence(),
			Busy: time.Duration(r.GetBusyMicros()) * time.Microsecond, Work: r.GetWork(), Tokens: r.GetTokens(),
		})
		if err != nil {
			u.director.Logger.Warn("report ignored", "group", u.name, "rank", r.GetRank(), "error", err)
		}
	}

	u.tracker.CloseWindow(now)

	if u.director.units[u.name] != u || u.next != nil || len(reports) < u.shape.Ranks {
		return
	}

	if err := u.propose(now); err != nil {
		u.director.Logger.Debug("no new map", "group", u.name, "error", err)
	}
}

func (u *unit) propose(now time.Time) error {
	current, err := u.current()
	if err != nil {
		return err
	}

	d, err := u.planner.Decide(now, &placement.Group{
		Map: current, PopularityDecay: u.tracker.Decay(),
		Load: placement.Load{Tokens: u.tracker.TokenShares(), Speed: u.tracker.Speeds(), Volatility: u.tracker.Volatility()},
	})
	if err != nil || d.Map == nil {
		return err
	}

	u.director.Logger.Info("new map", "group", u.name, "why", d.Reason.String(), "moves", len(d.Moves),
		"bytes", d.Bytes, "skewBefore", d.Before.Skew(), "skewAfter", d.After.Skew(), "saved", d.Saved, "cost", d.Cost)

	version := nextVersion(u.coordinator.Record().AsOf, d.Map)
	u.next = &wire.GroupMap{Version: uint64(version), Placement: d.Map.Encode()}

	actions, err := u.coordinator.Propose(now, version)
	if err != nil {
		u.next = nil

		return err
	}

	u.do(actions)

	return nil
}

// versionBits is how many low bits of a version are of its map's content.
const versionBits = 32

// nextVersion numbers a map by how far the log is, and by its content. One more
// than the ruling version would not do: a switch that was aborted, or a proposal
// of another leader that comes late, leaves ranks with a map of that number, and
// a rank that has it loads no other. They would compute a step with that map,
// and the others with the one proposed next under the same number.
func nextVersion(asOf expertmap.Fence, m *placement.Map) expertmap.Version {
	return expertmap.Version((uint64(asOf)+1)<<versionBits | m.Digest()&(1<<versionBits-1))
}

// current returns the map that rules.
func (u *unit) current() (*placement.Map, error) {
	version := uint64(u.coordinator.Record().Current.Version)
	if version == ledger.InitialMapVersion {
		return placement.NewMap(u.shape)
	}

	for _, m := range u.director.states[u.name].GetMaps() {
		if m.GetVersion() == version {
			return placement.Decode(m.GetPlacement())
		}
	}

	return nil, &MissingMapError{Group: u.name, Version: version}
}
