package logs

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// stallCheckInterval is the interval at which a process reads the clock. It is long
	// enough that the CPU time is not measurable, and short enough to date a stall.
	stallCheckInterval = 250 * time.Millisecond
	// minLoggedStall is the shortest stall that is logged. Timers on a busy VM are late by
	// tens of milliseconds, and by 100 ms on one that has used up its CPU quota.
	minLoggedStall = 400 * time.Millisecond
)

// StallDetector logs when the process did not run for a while because its VM was
// suspended or it got no CPU time. After a stall the state of the process is out of date,
// its connections may be closed, and the durations of requests in flight include the
// stall. The log line is the only way to distinguish a stall from a slow target. Set the fields
// before Run.
type StallDetector struct {
	Logger *slog.Logger
	// SinceBoot returns the time since the VM booted, including time spent suspended. If
	// nil, the operating system's clock is read. The monotonic clock does not count
	// suspended time, and the wall clock may jump.
	SinceBoot func() (time.Duration, error)
}

// Run checks the clock periodically until ctx is done.
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
			s.Logger.Warn("Stalled: the process was not scheduled or its VM was suspended.", "for", missed.Round(time.Millisecond))
		}

		last = now
	}

	s.Logger.Warn("The clock that counts suspended time cannot be read; stalls of the process will not be logged.", "error", err)
}

func sinceBoot() (time.Duration, error) {
	var t unix.Timespec

	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)

	return time.Duration(t.Nano()), eris.Wrap(err, "read clock")
}
