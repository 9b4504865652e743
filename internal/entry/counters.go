package entry

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// counters count the requests of an entry's callers.
type counters struct {
	inFlight   atomic.Int64
	answered   atomic.Int64
	notRun     atomic.Int64
	mayHaveRun atomic.Int64
	broken     atomic.Int64
	attempts   atomic.Int64
}

// Counts are the values of an entry's counters.
type Counts struct {
	InFlight int64
	// Answered counts complete answers, NotRun and MayHaveRun refusals by verdict, and
	// Broken answers that were cut off.
	Answered   int64
	NotRun     int64
	MayHaveRun int64
	Broken     int64
	// Tries counts attempts sent to agents.
	Tries int64
}

func (c *counters) begin() { c.inFlight.Add(1) }

func (c *counters) end() { c.inFlight.Add(-1) }

func (c *counters) countRefusal(err *verdict.Error) {
	if err.Verdict == verdict.NotRun {
		c.notRun.Add(1)

		return
	}

	c.mayHaveRun.Add(1)
}

// Counts returns the current values of the counters.
func (e *Entry) Counts() Counts {
	c := &e.counters

	return Counts{
		InFlight: c.inFlight.Load(), Answered: c.answered.Load(), NotRun: c.notRun.Load(),
		MayHaveRun: c.mayHaveRun.Load(), Broken: c.broken.Load(), Tries: c.attempts.Load(),
	}
}

// Register adds the entry's counters to a metrics registry.
func (e *Entry) Register(r metrics.Registry) error {
	gauges := map[string]*atomic.Int64{
		"Entry.InFlight": &e.counters.inFlight, "Entry.Answered": &e.counters.answered,
		"Entry.NotRun": &e.counters.notRun, "Entry.MayHaveRun": &e.counters.mayHaveRun,
		"Entry.Broken": &e.counters.broken, "Entry.Tries": &e.counters.attempts,
	}
	for name, n := range gauges {
		if err := r.Register(name, metrics.NewFunctionalGauge(n.Load)); err != nil {
			return err //nolint:wrapcheck // it names the metric already
		}
	}

	return nil
}
