// Package lockstep maintains the expert map of a lock-step group whose engines take orders. It
// reads how many times each expert is chosen, searches for a better map, and switches all
// ranks to it in the same step.
//
// The agent beside the first rank directs the group. This needs no replicated log and no
// election: fencing numbers rise with each attempt, engines refuse lower ones, and an agent
// that restarts recovers all state that it needs from the reports of the engines.
package lockstep

import (
	"context"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Map lists the experts of each rank, by set and rank, in ascending order. The order matters,
// because engines treat maps that differ in it as different maps.
type Map [][][]uint16

// Clone returns a deep copy of m.
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

// sort sorts the experts of each rank.
func (m Map) sort() {
	for _, ranks := range m {
		for _, experts := range ranks {
			slices.Sort(experts)
		}
	}
}

// InitialMap returns the map that a group starts with: experts are dealt to the ranks in turn.
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

// Report is the state that an engine reports as a rank of its group.
type Report struct {
	Group string
	Epoch uint64
	Rank  int
	Size  int
	// Open is set while the group runs steps.
	Open bool
	// Step is the last step that has begun.
	Step uint64
	Map  uint64
	// Prepared and Armed are map versions, or zero for none.
	Prepared uint64
	Armed    uint64
	// Held is the step that this rank holds, if Holds is set.
	Held    uint64
	Holds   bool
	Running int
	Waiting int
	// Pace is the slowdown of the engine: the ratio of its step time to the baseline.
	Pace float64
}

// Engine provides access to the engine on this VM.
type Engine struct {
	// Report and Counts return current values. Calling them from the engine's own VM does not
	// slow down the group.
	Report func(ctx context.Context) (Report, error)
	Counts func(ctx context.Context) ([]uint64, error)
	// Experts returns the version of the current map and the experts of this rank by set.
	Experts func(ctx context.Context) (uint64, [][]uint16, error)
	// Order sends an order to the engine. If the outcome is unknown, it returns EngineUnknown.
	Order func(ctx context.Context, o *wire.EngineOrder) wire.EngineResult
}

// ToWire returns the wire form of r.
func (r *Report) ToWire() *wire.EngineReport {
	return &wire.EngineReport{
		Group: r.Group, Epoch: r.Epoch, Rank: uint32(r.Rank), Size: uint32(r.Size), Open: r.Open, Step: r.Step,
		Map: r.Map, Prepared: r.Prepared, Armed: r.Armed, Held: r.Held, Holds: r.Holds,
		Running: uint32(r.Running), Waiting: uint32(r.Waiting), Pace: r.Pace,
	}
}

// ReportFromWire returns the report with the wire form w.
func ReportFromWire(w *wire.EngineReport) Report {
	return Report{
		Group: w.GetGroup(), Epoch: w.GetEpoch(), Rank: int(w.GetRank()), Size: int(w.GetSize()), Open: w.GetOpen(),
		Step: w.GetStep(), Map: w.GetMap(), Prepared: w.GetPrepared(), Armed: w.GetArmed(),
		Held: w.GetHeld(), Holds: w.GetHolds(), Running: int(w.GetRunning()), Waiting: int(w.GetWaiting()), Pace: w.GetPace(),
	}
}

// PollResult is a rank's answer to a status poll: its report, and what else was requested.
type PollResult struct {
	Report Report
	Counts []uint64
	// Experts lists the experts of the rank in map MapVersion, by set.
	Experts    [][]uint16
	MapVersion uint64
	// Slowdowns holds the slowdowns of the other ranks whose counts are included in Counts.
	Slowdowns map[int]float64
}

// PollRequest specifies what a poll returns in addition to the report.
type PollRequest struct {
	Counts  bool
	Experts bool
	// SumRanks is the number of consecutive ranks, starting at the polled one, whose counts are
	// summed. 0 and 1 both mean the polled rank only.
	SumRanks int
}

// GroupClient provides access to all ranks of a group.
type GroupClient struct {
	// Size is the number of ranks. The rank beside the directing agent is rank 0.
	Size  int
	Epoch uint64
	Poll  func(ctx context.Context, rank int, q PollRequest) (PollResult, error)
	Order func(ctx context.Context, rank int, o *wire.EngineOrder) wire.EngineResult
	// FanOut sends a request to many ranks through some of their agents and returns the outcome
	// at each rank, in the order of ranks. It is nil if all ranks are addressed directly.
	FanOut func(ctx context.Context, ranks []int, e FanOutRequest) []FanOutResult
}

// FanOutRequest is an optional order that is followed by a poll.
type FanOutRequest struct {
	// Order returns the order for a rank. The orders for different ranks differ only in their
	// version.
	Order   func(rank int) *wire.EngineOrder
	Experts bool
}

// FanOutResult is the outcome of a fan-out request at one rank.
type FanOutResult struct {
	Result wire.EngineResult
	Poll   PollResult
	// Err is why the rank could not be polled.
	Err error
}

// minFanOutRanks is the smallest number of ranks for which fan-out is used. Fewer ranks are
// reached sooner directly.
const minFanOutRanks = 24

// usesFanOut reports whether a request to n ranks is sent by fan-out.
func (r *GroupClient) usesFanOut(n int) bool { return r.FanOut != nil && n >= minFanOutRanks }

// Shape describes the group and the bounds on the placement of experts.
type Shape struct {
	Sets    int
	Experts int
	Ranks   int
	// Slots is how many experts of a set fit on a rank, SpareSlots how many new experts of a
	// set one preparation can load there.
	Slots      int
	SpareSlots int
	// CopyTime is how long a rank takes to copy one expert.
	CopyTime time.Duration
	// EventGap is the gap between two events that callers accept, if a switch may use the time
	// that steps leave of it; zero otherwise.
	EventGap time.Duration
}

// Settings are the intervals, timeouts and thresholds of a directing agent.
type Settings struct {
	// PollInterval is the interval at which counts are read.
	PollInterval time.Duration
	// FirstPollInterval is the interval until the first search for a map in an epoch.
	FirstPollInterval time.Duration
	// SwitchPollInterval is the interval at which ranks are polled during a switch.
	SwitchPollInterval time.Duration
	// PrepareTimeout bounds the copying of experts, ArmTimeout the arming of all ranks.
	PrepareTimeout time.Duration
	ArmTimeout     time.Duration
	// GoTimeout bounds the attempts to lift a hold, and to disarm all ranks, before the ranks
	// are polled again.
	GoTimeout time.Duration
	// OrderTimeout bounds one order or poll. Each rank that is addressed at the same time adds
	// PerRankTimeout, or PerRankMapTimeout if the order carries a map.
	OrderTimeout      time.Duration
	PerRankTimeout    time.Duration
	PerRankMapTimeout time.Duration
	// MinStepLead and MaxStepLead bound how far ahead the step of a switch is chosen. If all
	// ranks are armed and the hold is lifted before that step is due, the hold delays nothing.
	MinStepLead time.Duration
	MaxStepLead time.Duration
	// MinLongLead and MaxLongLead are these bounds while steps with the old map remain within
	// the event gap that callers accept. A switch that is late then costs nothing, but one whose
	// orders are unanswered and that holds its step makes every stream of the group late.
	MinLongLead time.Duration
	MaxLongLead time.Duration
	// MinGain is the smallest reduction of the load of the most loaded ranks, relative to the
	// current load, for which a new map is worth its copies.
	MinGain float64
	// MinCopyGain is the smallest gain of one copy, relative to the mean load of a rank.
	MinCopyGain float64
	// CopyBudgets lists the limits on copies per rank, over all sets, for which maps are
	// searched and compared. Fewer copies take less time.
	CopyBudgets []int
	// SwitchTime is the duration of a switch without its copies. Horizon is the time over which
	// the gain of a map counts. It is short compared with how long demand remains stable: steps
	// are too long for callers only right after a shift, so a map with few copies that is in
	// use soon is preferred to a better one.
	SwitchTime time.Duration
	Horizon    time.Duration
	// DemandDecay is the time constant by which counts of chosen experts decay.
	DemandDecay time.Duration
	// CountAggregators is the number of ranks polled for counts. In a larger group, each of
	// them sums the counts of its neighbours, because the counts of all ranks would saturate
	// the link of the directing VM.
	CountAggregators int
}

// requestTimeout bounds an order or poll sent to the given number of ranks. A standby without
// open connections needs more time the more ranks there are: with a fixed timeout it received
// answers from too few ranks of a large group and could not release its hold.
func (s *Settings) requestTimeout(ranks int) time.Duration {
	return s.OrderTimeout + time.Duration(ranks)*s.PerRankTimeout
}

// DefaultSettings returns settings for demand that shifts every few seconds.
func DefaultSettings() Settings {
	return Settings{
		PollInterval: 100 * time.Millisecond, FirstPollInterval: 40 * time.Millisecond, SwitchPollInterval: 15 * time.Millisecond,
		PrepareTimeout: 3 * time.Second, ArmTimeout: time.Second, GoTimeout: 2 * time.Second, OrderTimeout: 150 * time.Millisecond, PerRankTimeout: 3 * time.Millisecond, PerRankMapTimeout: 8 * time.Millisecond,
		MinStepLead: 30 * time.Millisecond, MaxStepLead: 250 * time.Millisecond, MinLongLead: 400 * time.Millisecond, MaxLongLead: 900 * time.Millisecond, MinGain: 0.09, MinCopyGain: 0.01, CopyBudgets: []int{1, 3, 8, 16}, DemandDecay: time.Second, CountAggregators: 12,
		SwitchTime: 200 * time.Millisecond, Horizon: 900 * time.Millisecond,
	}
}
