// Package lockstep keeps the expert map of a lock-step group whose engines take
// orders: it reads how often experts are chosen, plans a better map, and switches
// all ranks to it in one step.
//
// One agent directs a group: the one beside its first rank. It needs no log and no
// election. Its fencing numbers rise with each attempt, engines refuse lower ones,
// and an agent that starts anew finds all it must know in the engines' reports.
package lockstep

import (
	"context"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Map says which experts each rank holds, set by set, rank by rank, in order: engines
// take maps with another order for other maps.
type Map [][][]uint16

// Clone returns a copy that shares nothing with m.
func (m Map) Clone() Map {
	out := make(Map, len(m))

	for s := range m {
		out[s] = make([][]uint16, len(m[s]))
		for r := range m[s] {
			out[s][r] = append([]uint16(nil), m[s][r]...)
		}
	}

	return out
}

// sort puts each rank's experts in order.
func (m Map) sort() {
	for _, ranks := range m {
		for _, experts := range ranks {
			slices.Sort(experts)
		}
	}
}

// InitialMap returns the map with which a group begins: experts in turn over the ranks.
func InitialMap(sets, experts, ranks int) Map {
	m := make(Map, sets)

	for s := range m {
		m[s] = make([][]uint16, ranks)
		for e := range experts {
			m[s][e%ranks] = append(m[s][e%ranks], uint16(e))
		}
	}

	return m
}

// Report is what an engine says of itself as a rank.
type Report struct {
	Group string
	Epoch uint64
	Rank  int
	Size  int
	// Open says that the group makes steps.
	Open bool
	// Step is the last step that was begun.
	Step uint64
	Map  uint64
	// Prepared and Armed are versions, zero for none.
	Prepared uint64
	Armed    uint64
	// Held is the step that this rank holds, where Holds is set.
	Held    uint64
	Holds   bool
	Running int
	Waiting int
	// Pace is how many times longer than usual the engine takes.
	Pace float64
}

// Engine is the engine on this VM.
type Engine struct {
	// Report and Counts are fresh and cost the group nothing from its own VM.
	Report func(ctx context.Context) (Report, error)
	Counts func(ctx context.Context) ([]uint64, error)
	// Experts returns the version of the map in use and this rank's experts, set by set.
	Experts func(ctx context.Context) (uint64, [][]uint16, error)
	// Order gives an order. It never fails: what nobody knows is EngineUnknown.
	Order func(ctx context.Context, o *wire.EngineOrder) wire.EngineResult
}

// ToWire returns r as it travels.
func (r *Report) ToWire() *wire.EngineReport {
	return &wire.EngineReport{
		Group: r.Group, Epoch: r.Epoch, Rank: uint32(r.Rank), Size: uint32(r.Size), Open: r.Open, Step: r.Step,
		Map: r.Map, Prepared: r.Prepared, Armed: r.Armed, Held: r.Held, Holds: r.Holds,
		Running: uint32(r.Running), Waiting: uint32(r.Waiting), Pace: r.Pace,
	}
}

// ReportFromWire reads a report.
func ReportFromWire(w *wire.EngineReport) Report {
	return Report{
		Group: w.GetGroup(), Epoch: w.GetEpoch(), Rank: int(w.GetRank()), Size: int(w.GetSize()), Open: w.GetOpen(),
		Step: w.GetStep(), Map: w.GetMap(), Prepared: w.GetPrepared(), Armed: w.GetArmed(),
		Held: w.GetHeld(), Holds: w.GetHolds(), Running: int(w.GetRunning()), Waiting: int(w.GetWaiting()), Pace: w.GetPace(),
	}
}

// PollResult is a rank's report and, where they were asked for, its counts.
type PollResult struct {
	Report Report
	Counts []uint64
	// Experts are the experts of the rank in map ListsOf, set by set.
	Experts    [][]uint16
	MapVersion uint64
	// Slowdowns are those of the ranks whose counts are added up, but for this one's.
	Slowdowns map[int]float64
}

// PollRequest says what a look is to bring beside the report.
type PollRequest struct {
	Counts  bool
	Experts bool
	// SumRanks is for how many ranks, from this one on, Counts are added up; 0 and 1 mean
	// this one alone.
	SumRanks int
}

// GroupClient is the way to all ranks of the group that is directed.
type GroupClient struct {
	// Size is how many there are. The directing agent's own is rank 0.
	Size  int
	Epoch uint64
	Poll  func(ctx context.Context, rank int, q PollRequest) (PollResult, error)
	Order func(ctx context.Context, rank int, o *wire.EngineOrder) wire.EngineResult
	// FanOut brings an errand to some ranks by way of some of their agents, and returns what
	// became of it, in the order of the ranks; nil where each rank is spoken to directly.
	FanOut func(ctx context.Context, ranks []int, e FanOutRequest) []FanOutResult
}

// FanOutRequest is what is brought to a rank: an order, where there is one, and then a look.
type FanOutRequest struct {
	// Order returns the order for a rank. Those for all ranks differ in their version only.
	Order   func(rank int) *wire.EngineOrder
	Experts bool
}

// FanOutResult is what became of an errand at one rank.
type FanOutResult struct {
	Result wire.EngineResult
	Poll   PollResult
	// Err says why the rank was not seen.
	Err error
}

// minFanOutRanks is from how many ranks on an errand is spread by way of agents. Fewer are
// sooner spoken to directly.
const minFanOutRanks = 24

// usesFanOut reports whether an errand to so many ranks goes by way of agents.
func (r *GroupClient) usesFanOut(n int) bool { return r.FanOut != nil && n >= minFanOutRanks }

// Shape is how experts may be placed.
type Shape struct {
	Sets    int
	Experts int
	Ranks   int
	// Slots is how many experts of a set fit on a rank, Spare how many of a set one
	// preparation may bring to it.
	Slots      int
	SpareSlots int
	// CopyTime is how long a rank copies one expert.
	CopyTime time.Duration
}

// Settings are the intervals and weights of a directing agent.
type Settings struct {
	// PollInterval is how often counts are read.
	PollInterval time.Duration
	// SwitchPollInterval is how often ranks are looked at while a switch goes on.
	SwitchPollInterval time.Duration
	// PrepareTimeout bounds the copying of experts, ArmTimeout the arming of all ranks.
	PrepareTimeout time.Duration
	ArmTimeout     time.Duration
	// GoTimeout bounds the lifting of a hold before the ranks are looked at anew.
	GoTimeout time.Duration
	// OrderTimeout bounds one order or look, with RankTime more for each rank that is
	// asked beside it; an order that carries a map has MapTime more for each rank.
	OrderTimeout      time.Duration
	PerRankTimeout    time.Duration
	PerRankMapTimeout time.Duration
	// MinStepLead is how far away the step of a switch is at least, and MostAhead at most:
	// where all ranks are armed and let go on before it comes, its hold costs nothing.
	MinStepLead time.Duration
	MaxStepLead time.Duration
	// MinGain is the part of the present load of the most loaded ranks that a new
	// map must save to be worth its copies.
	MinGain float64
	// MinCopyGain is the same for one copy, in parts of the mean load of a rank.
	MinCopyGain float64
	// CopyBudgets are the numbers of experts that one switch may bring to a rank, over
	// all sets, that are weighed against each other: fewer are copied sooner.
	CopyBudgets []int
	// SwitchTime is what a switch takes beside copies, and Horizon for how long a map's
	// gain counts. It is short against how long demand stays: steps are too long for
	// callers right after a shift alone, so a map of few copies that comes soon goes
	// before a better one.
	SwitchTime time.Duration
	Horizon    time.Duration
	// DemandDecay is over how long chosen experts are counted.
	DemandDecay time.Duration
	// CountAggregators is of how many ranks the counts are read in one look. In a larger
	// group each of these adds up those of its neighbours: the counts of all ranks
	// would fill the directing VM's link.
	CountAggregators int
}

// requestTimeout bounds an order or look that goes to a group of so many ranks. A standby
// that has no connections yet needs longer the more ranks there are: with one bound for
// all sizes it heard from too few ranks of a large group, and could not free it.
func (s *Settings) requestTimeout(ranks int) time.Duration {
	return s.OrderTimeout + time.Duration(ranks)*s.PerRankTimeout
}

// DefaultSettings returns numbers for demand that shifts every few seconds.
func DefaultSettings() Settings {
	return Settings{
		PollInterval: 100 * time.Millisecond, SwitchPollInterval: 15 * time.Millisecond,
		PrepareTimeout: 3 * time.Second, ArmTimeout: time.Second, GoTimeout: 2 * time.Second, OrderTimeout: 150 * time.Millisecond, PerRankTimeout: 3 * time.Millisecond, PerRankMapTimeout: 8 * time.Millisecond,
		MinStepLead: 30 * time.Millisecond, MaxStepLead: 250 * time.Millisecond, MinGain: 0.09, MinCopyGain: 0.01, CopyBudgets: []int{1, 3, 8, 16}, DemandDecay: time.Second, CountAggregators: 12,
		SwitchTime: 200 * time.Millisecond, Horizon: 900 * time.Millisecond,
	}
}
