// Package placement decides which ranks of an expert-parallel group hold which
// experts. It minimises the time of the slowest rank of each layer, and moves
// weights only if that saves more time than it costs.
//
// The package does no I/O, reads no clock, starts no goroutines and returns the
// same decisions for the same inputs.
package placement

import (
	"fmt"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Limits of a map's shape.
const (
	// MaxRanks is the maximum number of ranks in a group: the holders of an
	// expert are stored as a 64-bit set.
	MaxRanks = 64
	// MaxExperts is the maximum number of experts per layer.
	MaxExperts = 1 << 15
)

// Expert is the number of an expert within its layer.
type Expert uint16

// None marks an empty slot.
const None Expert = 1<<16 - 1

// Shape is the dimensions of a group's map.
type Shape struct {
	// Layers is the number of layers that have experts.
	Layers int
	// Ranks is the number of ranks in the group.
	Ranks int
	// SlotsPerRank is the number of experts of one layer that fit on one rank.
	SlotsPerRank int
	// Experts is the number of experts per layer.
	Experts int
}

// ShapeError reports a shape that no valid map can have.
type ShapeError struct {
	Shape Shape
}

// Error implements error.
func (e *ShapeError) Error() string {
	return fmt.Sprintf("invalid map shape: %d layers, %d ranks of %d slots each, %d experts",
		e.Shape.Layers, e.Shape.Ranks, e.Shape.SlotsPerRank, e.Shape.Experts)
}

// Check returns a *ShapeError if no valid map can have this shape.
func (s Shape) Check() error {
	positive := s.Layers > 0 && s.Ranks > 0 && s.SlotsPerRank > 0 && s.Experts > 0
	bounded := s.Layers <= 1<<12 && s.Ranks <= MaxRanks && s.SlotsPerRank <= MaxExperts && s.Experts <= MaxExperts
	if !positive || !bounded || s.Ranks*s.SlotsPerRank < s.Experts {
		return &ShapeError{Shape: s}
	}

	return nil
}

// size returns the number of slots of the whole map.
func (s Shape) size() int { return s.Layers * s.perLayer() }

// perLayer returns the number of slots per layer.
func (s Shape) perLayer() int { return s.Ranks * s.SlotsPerRank }

// Map assigns an expert to each slot. Replicas of an expert share its tokens
// equally. A Map must not be modified once it is shared.
type Map struct {
	Shape Shape
	// Slots holds the experts ordered by layer, then by rank; see Shape.
	Slots []Expert
}

// NewMap returns a map that distributes the experts evenly in numerical order
// and fills spare slots with second replicas.
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

// fillEvenly fills the first slot of every rank of a layer, then the second
// slots and so on, without giving a rank the same expert twice.
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

// Layer returns the slots of layer l, ordered by rank.
func (m *Map) Layer(l int) []Expert {
	n := m.Shape.perLayer()

	return m.Slots[l*n : (l+1)*n : (l+1)*n]
}

// Rank returns the slots of rank r in layer l.
func (m *Map) Rank(l, r int) []Expert {
	n := m.Shape.SlotsPerRank

	return m.Layer(l)[r*n : (r+1)*n : (r+1)*n]
}

// Clone returns a deep copy of m.
func (m *Map) Clone() *Map {
	return &Map{Shape: m.Shape, Slots: slices.Clone(m.Slots)}
}

// Digest returns a hash of the map's content, with which ranks can compare the
// maps that they staged.
func (m *Map) Digest() uint64 {
	return xxhash.Sum64(m.Encode())
}

// MapError reports a violated rule of a map and where it was violated.
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
// rank holds an expert twice. With a map that lacks an expert, the tokens
// routed to that expert would be lost.
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
				return &MapError{Layer: l, Rank: r, Expert: e, Reason: "expert number out of range"}
			case held[e]&(1<<r) != 0:
				return &MapError{Layer: l, Rank: r, Expert: e, Reason: "duplicate replica on the same rank"}
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

// Moves returns the copies needed to change from into to, ordered by layer.
// Removing an expert or moving it to another slot of the same rank needs no
// copy.
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

// Load is the expected work and the measured speed of a group.
type Load struct {
	// Tokens is the expected share of tokens of each expert, ordered by layer.
	// Only the ratios within a layer matter.
	Tokens []float64
	// Speed is each rank's measured speed, where 1 is normal speed. Zero or less
	// means that the rank is unavailable and takes no part in steps.
	Speed []float64
	// Volatility is the standard deviation of an expert's tokens from their
	// expected number, as a fraction of that number.
	Volatility float64
}

// Live reports whether rank r takes part in steps.
func (d *Load) Live(r int) bool { return d.Speed[r] > 0 }

// StepTime is the modelled time of the expert layers of one step. Its unit is
// the time of a step that is balanced perfectly over ranks of speed 1.
type StepTime struct {
	// Slowest is the time of the slowest rank, averaged over the layers.
	Slowest float64
	// Mean is the mean time of the live ranks, averaged over the layers.
	Mean float64
	// Ideal is the value of Slowest if work could be divided arbitrarily.
	Ideal float64
}

// Skew returns the ratio of the slowest rank's time to the mean, at least 1.
func (t StepTime) Skew() float64 {
	if t.Mean <= 0 {
		return 1
	}

	return t.Slowest / t.Mean
}

// Evaluate returns the step time of m under load d. Ranks wait for each other
// in each layer, so the slowest rank of every layer counts. The work of experts
// held only by unavailable ranks is ignored.
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

// replicas returns the number of ranks in a set of holders.
func replicas(holders uint64) int { return bits.OnesCount64(holders) }
