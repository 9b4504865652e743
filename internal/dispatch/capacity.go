package dispatch

import (
	"fmt"
	"log/slog"
	"time"
)

// blockReason is why a target may not get a request.
type blockReason uint8

const (
	blockNone blockReason = iota
	// blockDraining: it drains, or its zone is out.
	blockDraining
	// blockBroken: its group makes no steps.
	blockBroken
	// blockEjected: it failed lately.
	blockEjected
	// blockFull: it has as many requests as it may.
	blockFull
	// blockConnections: this entry has its share of its connections.
	blockConnections
	// blockCold: this entry has sent its share of what a cold target bears.
	blockCold
	blockReasons
)

// CapacitySummary is the state of a service's targets at the time of a refusal, for logs.
type CapacitySummary struct {
	targets              [blockReasons]int
	waiting              int
	bound                float64
	otherRequests        float64
	completionsPerSecond float64
	firstAnswerTime      time.Duration
}

func (d *Dispatcher) capacity(now time.Time, s *service) CapacitySummary {
	r := CapacitySummary{
		waiting: len(s.waiting), bound: s.concurrencyLimit.bound, otherRequests: s.otherRequests.at(now),
		completionsPerSecond: s.completions.perSecond(now), firstAnswerTime: s.firstAnswer,
	}

	for _, t := range s.targets {
		r.targets[d.blockReason(now, s, t)]++
	}

	return r
}

// LogValue implements slog.LogValuer.
func (r CapacitySummary) LogValue() slog.Value {
	t := &r.targets

	return slog.StringValue(fmt.Sprintf(
		"free %d, leaving %d, broken %d, paused %d, full %d, connections %d, cold %d; waiting %d, bound %.1f, others %.1f, ended %.1f/s, first answer %s",
		t[blockNone], t[blockDraining], t[blockBroken], t[blockEjected], t[blockFull], t[blockConnections],
		t[blockCold], r.waiting, r.bound, r.otherRequests, r.completionsPerSecond, r.firstAnswerTime.Round(time.Millisecond)))
}
