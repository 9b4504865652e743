package relay

import (
	"sync"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/priority"
)

// levelWarnings remembers the groups whose sums were missing at the last report, so that this is
// logged once.
type levelWarnings struct {
	mu      sync.Mutex
	missing map[string]bool
}

// LevelReports returns what this entry reports about the groups of prioritized services to the
// agents beside their rank 0. A single entry reports nothing.
func (r *Relay) LevelReports() []dispatch.LevelReport {
	if r.State().Entries <= 1 {
		return nil
	}

	reports := r.queue.levelReports()

	r.levelWarnings.mu.Lock()
	defer r.levelWarnings.mu.Unlock()

	previous := r.levelWarnings.missing
	r.levelWarnings.missing = make(map[string]bool)

	for i := range reports {
		l := &reports[i]

		switch {
		case l.SumsMissing && !previous[l.Group]:
			r.Logger.Warn("No sums by level from the agent of rank 0; this entry decides alone which requests get a place.", "service", l.Service, "group", l.Group)
		case !l.SumsMissing && previous[l.Group] && l.Pressed:
			r.Logger.Info("The agent of rank 0 reports sums by level again.", "service", l.Service, "group", l.Group)
		}

		if l.SumsMissing {
			r.levelWarnings.missing[l.Group] = true
		}
	}

	return reports
}

// UpdateLevels records the sums over all entries for a group. It returns an error, and ignores them,
// if the group could never cause them.
func (r *Relay) UpdateLevels(group string, c priority.Counts) error {
	return r.queue.updateLevels(group, c, r.State().Entries)
}
