package dispatch

import (
	"fmt"
	"log/slog"
	"time"
)

// blockReason is the reason why a target may not receive a request.
type blockReason uint8

const (
	blockNone blockReason = iota
	// blockDraining: the target drains, or its zone is out.
	blockDraining
	// blockBroken: the target's group completes no steps.
	blockBroken
	// blockEjected: the target failed or rejected a request recently.
	blockEjected
	// blockFull: the target has reached its concurrency limit, or this entry its share of
	// it.
	blockFull
	// blockConnections: this entry has used its share of the target's connections.
	blockConnections
	// blockCold: this entry has used its share of a cold target's request rate.
	blockCold
	numBlockReasons
)

// CapacitySummary describes the targets of a service at the time of a refusal. It is meant
// for logs.
type CapacitySummary struct {
	targets              [numBlockReasons]int
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
