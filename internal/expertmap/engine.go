package expertmap

import (
	"context"
	"fmt"
)

// Engine is a rank's engine as the agent reaches it. Its standing orders
// outlive the agent: an agent that dies changes nothing in what the engine does.
// An engine that restarts begins no step until Run. The functions reach the one
// engine process that they were made for and fail once that has ended: an order
// meant for a former process would tell the next one to run by old knowledge.
//
// Engines that check fencing numbers refuse a lower one themselves; for the
// others the Participant has already done so.
type Engine struct {
	// Load fetches the map's weights into spare slots and returns once they are there.
	Load func(ctx context.Context, f Fence, v Version) error
	// Drop frees the slots that only v uses.
	Drop func(ctx context.Context, v Version) error
	// Hold keeps the engine from beginning any step from s on until Run. It
	// fails where the engine has begun s; step 0 stands for the next one. Once
	// it returns nil, the hold stands.
	Hold func(ctx context.Context, f Fence, s Step) error
	// Run lifts the hold; each step then uses the map that r gives for it.
	// The engine joins no step whose map it has not loaded, and frees all maps
	// but those of r.
	Run func(ctx context.Context, f Fence, r Activation) error
}

// ActionError says that an action is none of the engine's.
type ActionError struct {
	Kind ActionKind
}

// Error implements error.
func (e *ActionError) Error() string { return fmt.Sprintf("action %d is none of the engine's", e.Kind) }

// Do carries out an engine's action. The caller reports the outcome of
// ActionLoad by Participant.Loaded and that of ActionHold by Participant.Held,
// and repeats a failed ActionRun.
func (e *Engine) Do(ctx context.Context, a Action) error {
	switch a.Kind {
	case ActionLoad:
		return e.Load(ctx, a.Fence, a.Version)
	case ActionDrop:
		return e.Drop(ctx, a.Version)
	case ActionHold:
		return e.Hold(ctx, a.Fence, a.Step)
	case ActionRun:
		return e.Run(ctx, a.Fence, a.Activation)
	default:
		return &ActionError{Kind: a.Kind}
	}
}
