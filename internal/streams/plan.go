// Package streams plans what happens to the answers that a draining target is still
// generating. Each one either finishes there or continues on another target, with its
// KV cache transferred or recomputed, whichever costs less.
package streams

import (
	"cmp"
	"slices"
	"time"
)

// Stream is one answer in flight on the draining target.
type Stream struct {
	ID string
	// Tokens counts the tokens of the prompt and those generated so far. Remaining is
	// the expected number still to generate.
	Tokens    int
	Remaining int
	// KVBytes is the size of the stream's KV cache.
	KVBytes int64
	// Exportable is set if the engine can export the KV cache for import by another.
	Exportable bool
	// Resumable is set if another target may continue the stream from its text alone.
	// This requires an idempotent request, since recomputing runs it a second time.
	Resumable bool
}

// DrainingTarget is the target that the streams run on.
type DrainingTarget struct {
	// Deadline is when the target has to be empty, or zero if there is no deadline.
	Deadline time.Time
	// TokensPerSecond is the generation rate of each of its streams.
	TokensPerSecond float64
	// BytesPerSecond is the rate at which it may export KV caches, one at a time.
	BytesPerSecond float64
}

// Destination is a target that can accept streams.
type Destination struct {
	AgentID string
	// Free is how many more streams it can accept now. For a cold target this is its
	// credit.
	Free int
	// PrefillPerSecond is its prefill rate in prompt tokens per second.
	PrefillPerSecond float64
	// CanImport is set if it can import KV caches of the draining target.
	CanImport bool
}

// Kind is the kind of a Decision.
type Kind uint8

const (
	// Stay lets the stream finish on the draining target.
	Stay Kind = iota
	// Move exports the KV cache and imports it at another target.
	Move
	// Recompute resumes the stream at another target from its text.
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

// Decision is the decision about one stream.
type Decision struct {
	StreamID string
	Kind     Kind
	// To is the agent ID of the destination, or empty for Stay.
	To string
	// StartAt is when to begin. For Move this is when the export link becomes free.
	StartAt time.Time
	// Stall is how long the caller waits for the next token because of the handover.
	Stall time.Duration
	// DoneAt is when the stream is expected to no longer use the draining target.
	DoneAt time.Time
	// Overrun is set if DoneAt is after DrainingTarget.Deadline. The stop then has to
	// wait for the stream, since a planned stop never cuts off a request.
	Overrun bool
}

// Planner compares the costs of the options. The zero value of each field selects the
// default given in parentheses.
type Planner struct {
	// DelayCost is the cost of delaying the stop by one second, in seconds of a
	// caller's stall (0.02).
	DelayCost float64
	// PrefillCost is the cost to the destination's other callers of one second of
	// recomputing a prompt, in seconds of a caller's stall (1).
	PrefillCost float64
	// HandoverTime is the stall of any handover in addition to the transfer or prefill
	// (50 ms).
	HandoverTime time.Duration
	// MaxStall bounds the stall of handovers that are not needed to meet the deadline
	// (2 s).
	MaxStall time.Duration
}

func (p Planner) withDefaults() Planner {
	p.DelayCost = cmp.Or(p.DelayCost, 0.02)
	p.PrefillCost = cmp.Or(p.PrefillCost, 1)
	p.HandoverTime = cmp.Or(p.HandoverTime, 50*time.Millisecond)
	p.MaxStall = cmp.Or(p.MaxStall, 2*time.Second)
	return p
}

// Plan decides about all streams of a draining target. Streams with the most remaining
// tokens are decided first, because they delay the stop longest and gain most from a
// handover.
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
