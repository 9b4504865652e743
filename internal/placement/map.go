// Package placement decides which ranks of an expert-parallel group hold which
// experts, so that the slowest rank of each layer takes as little time as
// possible, and moves weights only where that saves more time than it costs.
//
// The package is a core without I/O: it reads no clock, starts no goroutine and
// gives the same decisions for the same inputs.
package placement

import (
	"fmt"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Limits of a map's shape.
const (
	// MaxRanks is the most ranks of one group: holders of an expert are kept as 64 bits.
	MaxRanks = 64
	// MaxExperts is the most experts of one layer.
	MaxExperts = 1 << 15
)

// Expert is an expert's number within its layer.
type Expert uint16

// None marks an empty slot.
const None Expert = 1<<16 - 1

// Shape gives the sizes of a group's map.
type Shape struct {
	// Layers is the number of layers that have experts.
	Layers int
	// Ranks is the number of ranks of the group.
	Ranks int
	// SlotsPerRank is how many experts of one layer fit on one rank.
	SlotsPerRank int
	// Experts is the number of experts of each layer.
	Experts int
}

// ShapeError says that a shape cannot carry a map.
type ShapeError struct {
	Shape Shape
}

// Error implements error.
func (e *ShapeError) Error() string {
	return fmt.Sprintf("no map has %d layers, %d ranks of %d slots and %d experts",
		e.Shape.Layers, e.Shape.Ranks, e.Shape.SlotsPerRank, e.Shape.Experts)
}

// Check returns a *ShapeError where no valid map has this shape.
func (s Shape) Check() error {
	positive := s.Layers > 0 && s.Ranks > 0 && s.SlotsPerRank > 0 && s.Experts > 0
	bounded := s.Layers <= 1<<12 && s.Ranks <= MaxRanks && s.SlotsPerRank <= MaxExperts && s.Experts <= MaxExperts
	if !positive || !bounded || s.Ranks*s.SlotsPerRank < s.Experts {
		return &ShapeError{Shape: s}
	}

	return nil
}

// size is the number of slots of the whole map.
func (s Shape) size() int { return s.Layers * s.perLayer() }

// perLayer is the number of slots of one layer.
func (s Shape) perLayer() int { return s.Ranks * s.SlotsPerRank }

// Map says which expert each slot holds. Replicas of an expert share its tokens
// equally. A Map is immutable once it is handed out.
type Map struct {
	Shape Shape
	// Slots holds the experts layer by layer, rank by rank; see Shape.
	Slots []Expert
}

// NewMap returns the map that spreads the experts evenly in their order and
// fills the spare slots with second replicas.
func NewMap(s Shape) (*Map, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}

	m := &Map{Shape: s, Slots: make([]Expert, s.size())}
	for l := range s.Layers {
		fillEvenly(s, m.Layer(l))
	}

	return m, nil
}

// fillEvenly fills one layer slot column by slot column, so that no rank gets an expert twice.
func fillEvenly(s Shape, slots []Expert) {
	for i := range slots {
		slots[i] = None
	}
	for i := range slots {
		rank, slot := i%s.Ranks, i/s.Ranks
		e := Expert(i % s.Experts)
		if !slices.Contains(slots[rank*s.SlotsPerRank:][:slot], e) {
			slots[rank*s.SlotsPerRank+slot] = e
		}
	}
}

// Layer returns the slots of layer l, rank by rank.
func (m *Map) Layer(l int) []Expert {
	n := m.Shape.perLayer()

	return m.Slots[l*n : (l+1)*n : (l+1)*n]
}

// Rank returns the slots of rank r in layer l.
func (m *Map) Rank(l, r int) []Expert {
	n := m.Shape.SlotsPerRank

	return m.Layer(l)[r*n : (r+1)*n : (r+1)*n]
}

// Clone returns a copy that shares nothing with m.
func (m *Map) Clone() *Map {
	return &Map{Shape: m.Shape, Slots: slices.Clone(m.Slots)}
}

// Digest identifies the map's content, so that ranks can compare what they staged.
func (m *Map) Digest() uint64 {
	return xxhash.Sum64(m.Encode())
}

// MapError says where a map breaks a rule.
type MapError struct {
	Layer  int
	Rank   int
	Expert Expert
	Reason string
}

// Error implements error.
func (e *MapError) Error() string {
	return fmt.Sprintf("layer %d, rank %d, expert %d: %s", e.Layer, e.Rank, e.Expert, e.Reason)
}

// Validate checks that every expert of every layer has a replica and that no
// rank holds one twice. A map that lacks an expert would lose the tokens routed to it.
func (m *Map) Validate() error {
	if err := m.Shape.Check(); err != nil {
		return err
	}
	if len(m.Slots) != m.Shape.size() {
		return &ShapeError{Shape: m.Shape}
	}

	held := make([]uint64, m.Shape.Experts)
	for l := range m.Shape.Layers {
		if err := m.validateLayer(l, held); err != nil {
			return err
		}
	}

	return nil
}

func (m *Map) validateLayer(l int, held []uint64) error {
	clear(held)
	for r := range m.Shape.Ranks {
		for _, e := range m.Rank(l, r) {
			switch {
			case e == None:
			case int(e) >= m.Shape.Experts:
				return &MapError{Layer: l, Rank: r, Expert: e, Reason: "no such expert"}
			case held[e]&(1<<r) != 0:
				return &MapError{Layer: l, Rank: r, Expert: e, Reason: "held twice by one rank"}
			default:
				held[e] |= 1 << r
			}
		}
	}
	for e, ranks := range held {
		if ranks == 0 {
			return &MapError{Layer: l, Rank: -1, Expert: Expert(e), Reason: "no replica"}
		}
	}

	return nil
}

// Move is one copy of an expert's weights from the weight store to a rank.
type Move struct {
	Layer  int
	Expert Expert
	Rank   int
}

// Moves returns the copies that turn from into to, layer by layer. Slots that
// only lose an expert or change places within a rank cost nothing.
func Moves(from, to *Map) []Move {
	var moves []Move
	for l := range to.Shape.Layers {
		for r := range to.Shape.Ranks {
			old := from.Rank(l, r)
			for _, e := range to.Rank(l, r) {
				if e != None && !slices.Contains(old, e) {
					moves = append(moves, Move{Layer: l, Expert: e, Rank: r})
				}
			}
		}
	}

	return moves
}

// Load is what the planner knows of a group's work and speed.
type Load struct {
	// Tokens holds the expected share of tokens, layer by layer, expert by
	// expert. Only the ratios within a layer count.
	Tokens []float64
	// Speed is each rank's measured speed; 1 is the ordinary one. Zero or less
	// means that the rank is out and takes no part in steps.
	Speed []float64
	// Volatility is the standard deviation of an expert's tokens from those
	// expected, as a part of them.
	Volatility float64
}

// Live reports whether rank r takes part in steps.
func (d *Load) Live(r int) bool { return d.Speed[r] > 0 }

// StepTime is the modelled time of the expert layers of one step, in units of
// a step that is balanced perfectly over ranks of speed 1.
type StepTime struct {
	// Slowest sums the slowest rank's time over the layers.
	Slowest float64
	// Mean sums the mean over live ranks over the layers.
	Mean float64
	// Ideal is Slowest where work could be split at will.
	Ideal float64
}

// Skew is the slowest rank's time over the mean, at least 1.
func (t StepTime) Skew() float64 {
	if t.Mean <= 0 {
		return 1
	}

	return t.Slowest / t.Mean
}

// Evaluate returns the step time of m under d. Ranks wait for each other in
// each layer, so the slowest rank of every layer counts. Work of experts that
// only ranks that are out hold is left aside.
func Evaluate(m *Map, d *Load) StepTime {
	var total StepTime
	var w layerState
	withoutVolatility := Load{Tokens: d.Tokens, Speed: d.Speed}
	for l := range m.Shape.Layers {
		w.loadLayer(m, &withoutVolatility, l)
		t := w.stepTime()
		total.Slowest += t.Slowest
		total.Mean += t.Mean
		total.Ideal += t.Ideal
	}
	n := float64(m.Shape.Layers)

	return StepTime{Slowest: total.Slowest / n, Mean: total.Mean / n, Ideal: total.Ideal / n}
}

// replicas counts the ranks in a set of holders.
func replicas(holders uint64) int { return bits.OnesCount64(holders) }
