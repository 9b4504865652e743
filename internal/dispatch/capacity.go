package dispatch

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strings"
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
	// blockStart: the steps of the target's group are long, so starts are delayed.
	blockStart
	// blockRateLimit: this entry has used its share of the rate that the target accepts.
	blockRateLimit
	// blockResting: the target has asked for rest, or a request tries it after one.
	blockResting
	numBlockReasons
)

// CapacitySummary describes the targets of a service at the time of a refusal. It is meant
// for logs.
type CapacitySummary struct {
	targets              [numBlockReasons]int
	waiting              int
	completionsPerSecond float64
	groups               []groupSummary
}

// groupSummary describes one group of the service.
type groupSummary struct {
	name            string
	targets, free   int
	bound           float64
	otherRequests   float64
	firstAnswerTime time.Duration
	stepGap         float64
	late            bool
	// forecast is nil unless the service is prioritized.
	forecast *ForecastState
}

func (d *Dispatcher) capacity(now time.Time, s *service) CapacitySummary {
	r := CapacitySummary{waiting: len(s.waiting), completionsPerSecond: s.completions.perSecond(now)}

	for _, g := range s.groups {
		if len(g.targets) == 0 {
			continue
		}

		sum := groupSummary{
			name: g.name, targets: len(g.targets), bound: g.concurrencyLimit.bound,
			otherRequests: g.otherRequests.at(now), firstAnswerTime: g.firstAnswer,
			stepGap: g.startLimit.stepGap, late: s.Streams && g.isLate(now),
		}

		if s.Prioritized {
			sum.forecast = g.forecastState(now)
		}

		for _, t := range g.targets {
			reason := d.blockReason(now, s, t)
			r.targets[reason]++

			if reason == blockNone {
				sum.free++
			}
		}

		r.groups = append(r.groups, sum)
	}

	slices.SortFunc(r.groups, func(a, b groupSummary) int { return cmp.Compare(a.name, b.name) })

	return r
}

// LogValue implements slog.LogValuer.
func (r CapacitySummary) LogValue() slog.Value {
	t := &r.targets

	var b strings.Builder

	fmt.Fprintf(&b, "free %d, leaving %d, broken %d, paused %d, full %d, starts delayed %d, connections %d, cold %d, rate limited %d, resting %d; waiting %d, ended %.1f/s",
		t[blockNone], t[blockDraining], t[blockBroken], t[blockEjected], t[blockFull], t[blockStart], t[blockConnections],
		t[blockCold], t[blockRateLimit], t[blockResting], r.waiting, r.completionsPerSecond)

	for _, g := range r.groups {
		fmt.Fprintf(&b, "; group %q: free %d of %d, bound %.1f, others %.1f, first answer %s, steps %.2f of the gap accepted, late %t",
			g.name, g.free, g.targets, g.bound, g.otherRequests, g.firstAnswerTime.Round(time.Millisecond), g.stepGap, g.late)

		if g.forecast != nil {
			b.WriteString(", " + g.forecast.String())
		}
	}

	return slog.StringValue(b.String())
}
