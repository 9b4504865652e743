package expertmap

import (
	"context"
	"fmt"
)

// Engine gives an agent access to its rank's engine. The engine keeps to its
// last Hold or Run when the agent dies. After a restart, an engine begins no
// step until Run. The functions reach only the engine process for which they
// were made and fail once it has ended, because an order for an earlier process
// would make the next one run with outdated data.
//
// Engines that check fencing numbers reject lower ones themselves; for the
// others, Participant has already rejected them.
type Engine struct {
	// Load fetches the map's weights into spare slots and returns when they are
	// loaded.
	Load func(ctx context.Context, f Fence, v Version) error
	// Drop frees the slots that only v uses.
	Drop func(ctx context.Context, v Version) error
	// Hold keeps the engine from beginning step s or any later step until Run.
	// Step 0 means the engine's next step. Hold fails if the engine has already
	// begun s. Once it has returned nil, the hold is in force.
	Hold func(ctx context.Context, f Fence, s Step) error
	// Run lifts the hold; each step then uses the map that a gives for it. The
	// engine begins no step whose map it has not loaded, and frees all maps that
	// are not in a.
	Run func(ctx context.Context, f Fence, a Activation) error
}

// ActionError reports an action that the engine does not carry out.
type ActionError struct {
	Kind ActionKind
}

// Error implements error.
func (e *ActionError) Error() string { return fmt.Sprintf("action %d is not an engine action", e.Kind) }

// Do carries out an engine's action. The caller reports the result of
// ActionLoad with Participant.Loaded and that of ActionHold with
// Participant.Held, and retries a failed ActionRun.
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
