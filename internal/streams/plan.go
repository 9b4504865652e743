// Package streams decides what becomes of the answers still being generated on
// a target that is leaving: they finish there, or they go on elsewhere, with
// their KV cache moved or computed anew, where that is cheaper.
package streams

import (
	"cmp"
	"slices"
	"time"
)

// Stream is one answer in flight on the leaving target.
type Stream struct {
	ID string
	// Tokens are the prompt's and those generated so far, Remaining those expected to come.
	Tokens    int
	Remaining int
	// KVBytes is the size of its KV cache.
	KVBytes int64
	// Exportable says that the engine can export its cache and another import it.
	Exportable bool
	// Resumable says that it may go on elsewhere from its text alone. Only streams
	// of idempotent requests may: computed anew, the request runs a second time.
	Resumable bool
}

// DrainingTarget is the target that the streams are on.
type DrainingTarget struct {
	// Deadline is when it is to be empty; zero when nothing presses.
	Deadline time.Time
	// TokensPerSecond is how fast each of its streams generates.
	TokensPerSecond float64
	// BytesPerSecond is the rate at which it may export; exports go one after the other.
	BytesPerSecond float64
}

// Destination is a target that may take streams over.
type Destination struct {
	AgentID string
	// Free is how many more streams it may take now: at a cold target, its credit.
	Free int
	// PrefillPerSecond is how many tokens of a prompt it computes in a second.
	PrefillPerSecond float64
	// CanImport says that it can import the leaving target's caches.
	CanImport bool
}

// Kind is what becomes of a stream.
type Kind uint8

const (
	// Stay lets the stream finish where it is.
	Stay Kind = iota
	// Move exports its cache and imports it elsewhere.
	Move
	// Recompute resumes it elsewhere from its text.
	Recompute
)

// String returns the name of k.
func (k Kind) String() string {
	switch k {
	case Move:
		return "Move"
	case Recompute:
		return "Recompute"
	default:
		return "Stay"
	}
}

// Decision is what becomes of one stream.
type Decision struct {
	StreamID string
	Kind     Kind
	// To is the destination's agent; empty with Stay.
	To string
	// StartAt is when to begin; with Move, when the export link is free.
	StartAt time.Time
	// Stall is how long the caller waits for the next token meanwhile.
	Stall time.Duration
	// DoneAt is when the stream is expected to have left the target.
	DoneAt time.Time
	// Overrun says that GoneAt is after Leaving.By: the stop has to wait for it,
	// for no planned stop cuts a request off.
	Overrun bool
}

// Planner weighs the ways. The zero value of each field stands for the default beside it.
type Planner struct {
	// DelayCost is what a second of holding up the stop costs in seconds of a
	// caller's stall (0.02).
	DelayCost float64
	// PrefillCost is what a second of computing a prompt anew costs the
	// destination's other callers, in the same measure (1).
	PrefillCost float64
	// HandoverTime is the stall of any change of place beside its transfer (50 ms).
	HandoverTime time.Duration
	// MaxStall bounds the stall that a caller is given without need (2 s).
	MaxStall time.Duration
}

func (p Planner) withDefaults() Planner {
	p.DelayCost = cmp.Or(p.DelayCost, 0.02)
	p.PrefillCost = cmp.Or(p.PrefillCost, 1)
	p.HandoverTime = cmp.Or(p.HandoverTime, 50*time.Millisecond)
	p.MaxStall = cmp.Or(p.MaxStall, 2*time.Second)
	return p
}

// Plan decides about all streams of a leaving target. Those with most to come
// are looked at first: they hold the stop up longest, and gain most by leaving.
func (p Planner) Plan(now time.Time, target DrainingTarget, list []Stream, destinations []Destination) []Decision {
	state := &planState{Planner: p.withDefaults(), now: now, target: target, destinations: slices.Clone(destinations), linkFree: now}

	order := slices.Clone(list)
	slices.SortStableFunc(order, func(a, b Stream) int { return cmp.Compare(b.Remaining, a.Remaining) })

	out := make([]Decision, 0, len(order))
	for _, s := range order {
		out = append(out, state.decide(s))
	}

	return out
}
