package relay

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/targetclient"
)

// retainConnections sets to which targets connections are kept: those of prioritized services
// that accept requests. Idle connections to all others are closed. Targets of these services
// tell the dispatcher whether they have an idle connection.
func (r *Relay) retainConnections(now time.Time, services []dispatch.Service, targets []dispatch.Target) {
	prioritized := make(map[string]dispatch.Service, len(services))

	for _, s := range services {
		if s.Prioritized {
			prioritized[s.Name] = s
		}
	}

	limits := make(map[targetclient.Target]int)

	for i := range targets {
		t := &targets[i]
		if s, ok := prioritized[t.Service]; ok && !t.Draining {
			limits[connectionTarget(t)] = connectionLimit(now, &s, t)
		}
	}

	r.TargetClient.Retain(limits)

	if len(limits) == 0 {
		return
	}

	for i := range targets {
		if target := connectionTarget(&targets[i]); limits[target] > 0 {
			targets[i].Idle = r.TargetClient.HasIdle(target)
		}
	}
}

// connectionLimit returns this entry's share of the connections that a target accepts, or zero if
// none may be kept. A share that rotates among the entries cannot be used by idle connections.
func connectionLimit(now time.Time, s *dispatch.Service, t *dispatch.Target) int {
	switch {
	case s.MaxConnections <= 0:
		return targetclient.NoLimit
	case s.MaxConnections < t.Share.Entries:
		return 0
	default:
		return t.Share.Units(now, float64(s.MaxConnections))
	}
}

func connectionTarget(t *dispatch.Target) targetclient.Target {
	return targetclient.Target{Address: t.Address, ID: t.ID, StartTime: t.StartTime}
}

// connectionTarget returns the target of the current attempt.
func (p *proxiedRequest) connectionTarget() targetclient.Target {
	return connectionTarget(&p.placed.Target)
}

// mayReuse reports whether the next attempt may use an idle connection. If the target closes
// that connection, the request must be sent again, so it must be one that may be repeated, with
// an attempt left. Later attempts use new connections, so that this happens once at most.
func (p *proxiedRequest) mayReuse() bool {
	return p.mayRepeat() && p.route.MaxTargets > 1 && len(p.tried) == 0
}

// keepConnection keeps the connection of a complete answer that passed all checks, unless the target
// has said that it leaves.
func (p *proxiedRequest) keepConnection(answer *targetclient.Answer, info ResponseInfo) {
	if info.Signed && info.ID == p.caller.ID && !info.Leaving {
		answer.Keep()
	}
}
