package role

import (
	"context"
	"time"

	"github.com/parsleygate/parsleygate/internal/loadreport"
	"github.com/parsleygate/parsleygate/internal/lockstep"
)

func (a *RankAgent) load(ctx context.Context) (loadreport.Load, error) {
	r, err := a.Engine.Report(ctx)
	if err != nil {
		return loadreport.Load{}, err
	}

	now := time.Now()
	a.lastReport.Store(&receivedReport{report: r, at: now})

	l := loadreport.Load{
		Running: r.Running, Waiting: r.Waiting, Slowdown: r.Pace,
		Stalled: a.steps.isStalled(now, r), Broken: r.Group != "" && !r.Open, Skew: a.skew.at(now, r),
	}

	if r.Rank == 0 {
		l.Group = r.Group
	}

	return l, nil
}

// stepProgress tells whether the group of an engine makes progress.
type stepProgress struct {
	epoch, step uint64
	// since is when the step began, or when the engine last had no requests.
	since time.Time
}

// stallTime is how long an engine with requests begins no step until its group counts as
// stalled. It exceeds the steps of a group with a slow rank that callers can still bear.
const stallTime = 400 * time.Millisecond

// isStalled records a report of the engine, and reports whether its group is stalled.
func (s *stepProgress) isStalled(now time.Time, r lockstep.Report) bool {
	if r.Running+r.Waiting == 0 || r.Epoch != s.epoch || r.Step != s.step {
		*s = stepProgress{epoch: r.Epoch, step: r.Step, since: now}
	}

	return now.Sub(s.since) >= stallTime
}

// receivedReport is a report of the engine on this VM, received at at.
type receivedReport struct {
	report lockstep.Report
	at     time.Time
}

// recentReport returns the report that was fetched for the load if it is less than maxAge old,
// else a new one.
func (a *RankAgent) recentReport(ctx context.Context, maxAge time.Duration) (lockstep.Report, error) {
	if last := a.lastReport.Load(); last != nil && time.Since(last.at) < maxAge {
		return last.report, nil
	}

	return a.Engine.Report(ctx)
}
