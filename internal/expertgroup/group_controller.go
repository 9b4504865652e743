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
	// trackerGain and speedGain are the weights that the tracker gives to a new window, for
	// token shares and rank speeds.
	trackerGain = 0.3
	speedGain   = 0.3
	// pollInterval is the interval at which ranks are polled for their status.
	pollInterval = time.Second
	// maxPopularityDecay bounds for how long the current expert popularity is assumed to last.
	maxPopularityDecay = time.Hour
)

// groupController manages the map of one group.
type groupController struct {
	ctx           context.Context //nolint:containedctx // the context of Director.Run
	director      *Director
	name          string
	shape         placement.Shape
	coordinator   *expertmap.Coordinator
	tracker       *popularity.Tracker
	planner       placement.Planner
	nextPlan      time.Time
	nextPoll      time.Time
	orderInFlight map[int]bool
	// proposed is the map of the switch in progress, or nil.
	proposed *wire.GroupMap
}

// ShapeOf returns the shape of a declared group. Without declared slots a rank gets one more
// than it needs to hold its share of the experts.
func ShapeOf(g *wire.Group) placement.Shape {
	slots := int(g.GetSlots())
	if slots == 0 && g.GetRanks() > 0 {
		slots = int(math.Ceil(float64(g.GetExperts())/float64(g.GetRanks()))) + 1
	}

	return placement.Shape{
		Layers: int(g.GetLayers()), Ranks: int(g.GetRanks()), SlotsPerRank: slots, Experts: int(g.GetExperts()),
	}
}

func newGroupController(ctx context.Context, d *Director, g *wire.Group) *groupController {
	shape := ShapeOf(g)
	s := &d.Settings

	return &groupController{
		ctx: ctx, director: d, name: g.GetName(), shape: shape, orderInFlight: make(map[int]bool),
		coordinator: &expertmap.Coordinator{
			Ranks: shape.Ranks, SwitchLead: s.SwitchLead, StageTimeout: s.StageTimeout, PrepareTimeout: s.PrepareTimeout, ResendInterval: s.ResendInterval,
		},
		tracker: &popularity.Tracker{
			Layers: shape.Layers, Experts: shape.Experts, Ranks: shape.Ranks,
			Gain: trackerGain, SpeedGain: speedGain, MaxDecay: maxPopularityDecay,
		},
		planner: s.Planner,
	}
}

func (c *groupController) tick(now time.Time) {
	c.execute(c.coordinator.Tick(now))
	c.poll(now)

	if now.Before(c.nextPlan) {
		return
	}

	if c.nextPlan.IsZero() {
		c.nextPlan = now.Add(c.director.Settings.PlanInterval)

		return
	}

	c.nextPlan = now.Add(c.director.Settings.PlanInterval)
	c.collectReports()
}

// poll asks every rank for its status once per pollInterval. It is the only way to detect that
// a rank has restarted.
func (c *groupController) poll(now time.Time) {
	if now.Before(c.nextPoll) {
		return
	}

	c.nextPoll = now.Add(pollInterval)

	for r := range c.shape.Ranks {
		c.sendOrder(expertmap.Order{Rank: r})
	}
}

// execute carries out the coordinator's actions.
func (c *groupController) execute(actions []expertmap.Action) {
	for _, a := range actions {
		switch a.Kind {
		case expertmap.ActionAppend:
			c.appendEntry(a.Entry)
		case expertmap.ActionOrder:
			c.sendOrder(a.Order)
		case expertmap.ActionDone:
			c.switchEnded(a)
		default:
		}
	}
}

func (c *groupController) appendEntry(e expertmap.Entry) {
	entry := expertmap.EntryToWire(c.name, e)
	if e.Kind == expertmap.EntryBegin && c.proposed != nil {
		entry.Placement = c.proposed.GetPlacement()
	}

	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, c.director.Settings.CallTimeout)
		defer cancel()

		if err := c.director.Propose(ctx, entry); err != nil {
			c.director.Logger.Debug("Appending a log entry failed.", "group", c.name, "error", err)
		}
	}()
}

// sendOrder sends an order to a rank unless another one is in flight there; the coordinator
// repeats it.
func (c *groupController) sendOrder(o expertmap.Order) {
	if c.orderInFlight[o.Rank] {
		return
	}

	for _, n := range c.director.RankAgents(c.name) {
		if n.Rank == o.Rank {
			c.orderInFlight[o.Rank] = true

			go c.callAgent(n, o, c.director.states[c.name].GetMaps())

			return
		}
	}
}

func (c *groupController) callAgent(n RankAgent, o expertmap.Order, maps []*wire.GroupMap) {
	ctx, cancel := context.WithTimeout(c.ctx, c.director.Settings.CallTimeout)
	defer cancel()

	order := expertmap.OrderToWire(c.name, o)

	if needsMaps(o.Kind) {
		order.Maps = maps
	}

	status, err := c.director.SendOrder(ctx, n.Address, order)

	c.director.post(c.ctx, func(now time.Time) {
		c.orderInFlight[o.Rank] = false

		if err != nil {
			c.director.Logger.Debug("Rank did not answer an order.", "group", c.name, "rank", o.Rank, "error", err)

			return
		}

		c.execute(c.coordinator.Receive(now, expertmap.StatusFromWire(status)))
	})
}

// needsMaps reports whether the rank may have to load a map to follow an order. A map takes 20
// KB or more; sent with each status poll, once a second, maps would be most of the leader's
// traffic.
func needsMaps(k expertmap.OrderKind) bool {
	return k == expertmap.OrderStage || k == expertmap.OrderInform || k == expertmap.OrderConfirm
}

func (c *groupController) switchEnded(a expertmap.Action) {
	c.proposed = nil

	if a.Outcome == expertmap.Committed {
		c.director.committedSwitches.Add(1)
	}

	c.director.Logger.Info("Map switch ended.", "group", c.name, "version", a.Version, "committed", a.Outcome == expertmap.Committed)
}

// collectReports asks every rank for its report, and considers a new map once all ranks have
// answered or failed.
func (c *groupController) collectReports() {
	agents := c.director.RankAgents(c.name)
	reports := make(chan *wire.RankReport, len(agents))

	for _, n := range agents {
		go func() {
			ctx, cancel := context.WithTimeout(c.ctx, c.director.Settings.CallTimeout)
			defer cancel()

			r, err := c.director.FetchReport(ctx, n.Address, &wire.RankQuestion{
				Group: c.name, Rank: uint32(n.Rank), Tokens: c.needsTokenCounts(n.Rank),
			})
			if err != nil {
				c.director.Logger.Debug("Rank did not return a report.", "group", c.name, "rank", n.Rank, "error", err)
			}

			reports <- r
		}()
	}

	go func() {
		var all []*wire.RankReport
		for range agents {
			if r := <-reports; r != nil {
				all = append(all, r)
			}
		}

		c.director.post(c.ctx, func(now time.Time) { c.evaluate(now, all) })
	}()
}

// needsTokenCounts reports whether the rank is asked for token counts per expert. The routing
// of one rank is a sample of the whole group's, so the counts of two ranks are enough; the
// second covers a failure of the first. Counts of all 32 ranks would take 16 times the
// traffic.
func (c *groupController) needsTokenCounts(rank int) bool {
	return rank == 0 || rank == c.shape.Ranks/2
}

func (c *groupController) evaluate(now time.Time, reports []*wire.RankReport) {
	for _, r := range reports {
		_, err := c.tracker.Observe(&popularity.Report{
			Rank: int(r.GetRank()), Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(),
			Busy: time.Duration(r.GetBusyMicros()) * time.Microsecond, Work: r.GetWork(), Tokens: r.GetTokens(),
		})
		if err != nil {
			c.director.Logger.Warn("Rank report rejected.", "group", c.name, "rank", r.GetRank(), "error", err)
		}
	}

	c.tracker.CloseWindow(now)

	if c.director.controllers[c.name] != c || c.proposed != nil || len(reports) < c.shape.Ranks {
		return
	}

	if err := c.propose(now); err != nil {
		c.director.Logger.Debug("Proposing a new map failed.", "group", c.name, "error", err)
	}
}

func (c *groupController) propose(now time.Time) error {
	current, err := c.currentMap()
	if err != nil {
		return err
	}

	d, err := c.planner.Decide(now, &placement.Group{
		Map: current, PopularityDecay: c.tracker.Decay(),
		Load: placement.Load{Tokens: c.tracker.TokenShares(), Speed: c.tracker.Speeds(), Volatility: c.tracker.Volatility()},
	})
	if err != nil || d.Map == nil {
		return err
	}

	c.director.Logger.Info("Proposing a new map.", "group", c.name, "why", d.Reason.String(), "moves", len(d.Moves),
		"bytes", d.Bytes, "skewBefore", d.Before.Skew(), "skewAfter", d.After.Skew(), "saved", d.Saved, "cost", d.Cost)

	version := nextVersion(c.coordinator.Record().AsOf, d.Map)
	c.proposed = &wire.GroupMap{Version: uint64(version), Placement: d.Map.Encode()}

	actions, err := c.coordinator.Propose(now, version)
	if err != nil {
		c.proposed = nil

		return err
	}

	c.execute(actions)

	return nil
}

// digestBits is how many low bits of a version are taken from the map's digest.
const digestBits = 32

// nextVersion derives a map's version from the log position and the map's content. The current
// version plus one is not unique: an aborted switch, or a late proposal of another leader,
// leaves ranks with a different map of that version, and a rank that has a version does not
// load it again. Ranks would then compute a step with different maps.
func nextVersion(asOf expertmap.Fence, m *placement.Map) expertmap.Version {
	return expertmap.Version((uint64(asOf)+1)<<digestBits | m.Digest()&(1<<digestBits-1))
}

// currentMap returns the map in force.
func (c *groupController) currentMap() (*placement.Map, error) {
	version := uint64(c.coordinator.Record().Current.Version)
	if version == ledger.InitialMapVersion {
		return placement.NewMap(c.shape)
	}

	for _, m := range c.director.states[c.name].GetMaps() {
		if m.GetVersion() == version {
			return placement.Decode(m.GetPlacement())
		}
	}

	return nil, &MissingMapError{Group: c.name, Version: version}
}
