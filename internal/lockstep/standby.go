package lockstep

import (
	"context"
	"log/slog"

	"github.com/parsleygate/parsleygate/internal/pauses"
)

// Standby replaces a directing agent that has failed. Without it, a step that is held for a
// switch would stay held until that agent has restarted. It only releases holds, which is safe
// beside a director that is still running: the one with the lower fencing number is refused.
// Its fields are set before Run.
type Standby struct {
	Group    GroupClient
	Settings Settings
	Logger   *slog.Logger
	// DirectorAlive reports whether the directing agent answers.
	DirectorAlive func(ctx context.Context) bool
}

// standbyMissedPolls is how many times in a row the directing agent must fail to answer before
// the standby acts on a held step.
const standbyMissedPolls = 2

// Run monitors the directing agent until ctx ends.
func (s *Standby) Run(ctx context.Context) {
	switcher := &Switcher{Group: s.Group, Settings: s.Settings, Logger: s.Logger}
	missed := 0

	for pauses.Sleep(ctx, s.Settings.PollInterval) {
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
			s.Logger.Warn("Director does not answer, and the release of a held step failed; retrying.", "error", err)
		}
	}
}

// release releases the holds of the group. It stops as soon as the directing agent answers
// again, because two agents that keep raising their fencing numbers above each other's make no
// progress.
func (s *Standby) release(ctx context.Context, switcher *Switcher) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	go func() {
		for pauses.Sleep(ctx, s.Settings.PollInterval) {
			if s.DirectorAlive(ctx) {
				cancel()
			}
		}
	}()

	return switcher.ReleaseHolds(ctx)
}
