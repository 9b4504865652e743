package logs

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// stallCheckInterval is how often a process looks at the clock: seldom enough to cost
	// no processor time that could be measured, often enough to date a stop.
	stallCheckInterval = 250 * time.Millisecond
	// minLoggedStall is the shortest stop that is told of. A busy VM is late by tens of
	// milliseconds, and one whose quota is used up by a tenth of a second.
	minLoggedStall = 400 * time.Millisecond
)

// StallDetector tells of a process that did not run: its VM was suspended, or its
// processor was taken away. What the process knows is older by that time, its
// connections may be gone, and requests in hand seem to have taken that long; only
// this line tells such a stop from a slow target. Its fields are set before Run.
type StallDetector struct {
	Logger *slog.Logger
	// SinceBoot returns the time since the VM started, suspended time included; nil
	// stands for the operating system's. The steady clock leaves that time out, and the
	// time of day may jump.
	SinceBoot func() (time.Duration, error)
}

// Run looks at the clock until ctx ends.
func (s *StallDetector) Run(ctx context.Context) {
	if s.SinceBoot == nil {
		s.SinceBoot = sinceBoot
	}

	tick := time.NewTicker(stallCheckInterval)
	defer tick.Stop()

	last, err := s.SinceBoot()

	for err == nil {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}

		var now time.Duration

		now, err = s.SinceBoot()
		if missed := now - last - stallCheckInterval; err == nil && missed >= minLoggedStall {
			s.Logger.Warn("Stood still.", "for", missed.Round(time.Millisecond))
		}

		last = now
	}

	s.Logger.Warn("No clock that counts suspended time: a process that stood still will not be told of.", "error", err)
}

func sinceBoot() (time.Duration, error) {
	var t unix.Timespec

	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)

	return time.Duration(t.Nano()), eris.Wrap(err, "read clock")
}
