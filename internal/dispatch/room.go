package dispatch

import (
	"fmt"
	"log/slog"
	"time"
)

// obstacle is why a target may not get a request.
type obstacle uint8

const (
	obstacleNone obstacle = iota
	// obstacleLeaving: it drains, or its zone is out.
	obstacleLeaving
	// obstacleBroken: its group makes no steps.
	obstacleBroken
	// obstaclePaused: it failed lately.
	obstaclePaused
	// obstacleFull: it has as many requests as it may.
	obstacleFull
	// obstacleConnections: this entry has its share of its connections.
	obstacleConnections
	// obstacleCold: this entry has sent its share of what a cold target bears.
	obstacleCold
	obstacles
)

// CapacitySummary is the state of a service's targets at the time of a refusal, for logs.
type CapacitySummary struct {
	targets  [obstacles]int
	waiting  int
	bound    float64
	others   float64
	perSec   float64
	firstAns time.Duration
}

func (d *Dispatcher) room(now time.Time, s *service) CapacitySummary {
	r := CapacitySummary{
		waiting: len(s.waiting), bound: s.crowding.bound, others: s.others.at(now),
		perSec: s.ends.perSecond(now), firstAns: s.firstAnswer,
	}

	for _, t := range s.targets {
		r.targets[d.obstacle(now, s, t)]++
	}

	return r
}

// LogValue implements slog.LogValuer.
func (r CapacitySummary) LogValue() slog.Value {
	t := &r.targets

	return slog.StringValue(fmt.Sprintf(
		"free %d, leaving %d, broken %d, paused %d, full %d, connections %d, cold %d; waiting %d, bound %.1f, others %.1f, ended %.1f/s, first answer %s",
		t[obstacleNone], t[obstacleLeaving], t[obstacleBroken], t[obstaclePaused], t[obstacleFull], t[obstacleConnections],
		t[obstacleCold], r.waiting, r.bound, r.others, r.perSec, r.firstAns.Round(time.Millisecond)))
}
