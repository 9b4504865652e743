package lockstep

import (
	"context"
	"log/slog"

	"github.com/parsleygate/parsleygate/internal/pauses"
)

// Standby stands in for a directing agent that is gone: without it, a step that was
// held in a switch would stay held until that agent has started again. It does
// nothing but free the group, which is safe beside a director that still lives:
// the one with the lower fencing number is refused. Its fields are set before Run.
type Standby struct {
	Group    GroupClient
	Settings Settings
	Logger   *slog.Logger
	// DirectorAlive reports whether the directing agent answers.
	DirectorAlive func(ctx context.Context) bool
}

// standbyMissedPolls is how many times in a row the directing agent must not have
// answered while a step is held.
const standbyMissedPolls = 2

// Run watches until ctx ends.
func (s *Standby) Run(ctx context.Context) {
	switcher := &Switcher{Group: s.Group, Settings: s.Settings, Logger: s.Logger}
	missed := 0

	for pauses.For(ctx, s.Settings.PollInterval) {
		if s.DirectorAlive(ctx) {
			missed = 0

			continue
		}

		if missed++; missed < standbyMissedPolls {
			continue
		}

		poll, err := s.Group.Poll(ctx, switcher.holder(), PollRequest{})
		if err != nil || !poll.Report.Holds {
			continue
		}

		if err := s.release(ctx, switcher); err != nil {
			s.Logger.Warn("A step is held, its director is gone, and it is not freed yet.", "error", err)
		}
	}
}

// release frees the group, and leaves it to the directing agent as soon as that one
// answers again: two that raise their numbers against each other free nothing.
func (s *Standby) release(ctx context.Context, switcher *Switcher) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	go func() {
		for pauses.For(ctx, s.Settings.PollInterval) {
			if s.DirectorAlive(ctx) {
				cancel()
			}
		}
	}()

	return switcher.ReleaseHolds(ctx)
}
