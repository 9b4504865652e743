package agent

import "github.com/rcrowley/go-metrics"

// counters are the agent's metrics.
type counters struct {
	admitted       metrics.Counter
	refused        metrics.Counter
	ran            metrics.Counter
	broken         metrics.Counter
	crossed        metrics.Counter
	attemptQueries metrics.Counter
	granted        metrics.Counter
	boots          metrics.Counter
	orders         metrics.Counter
	noMemory       metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	count := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter(name, r)
	}

	return counters{
		admitted:       count("AgentAdmitted"),
		refused:        count("AgentRefused"),
		ran:            count("AgentRan"),
		broken:         count("AgentBroken"),
		crossed:        count("AgentCrossed"),
		attemptQueries: count("AgentAsked"),
		granted:        count("AgentGranted"),
		boots:          count("AgentTargetBoots"),
		orders:         count("AgentOrders"),
		noMemory:       count("AgentNoMemory"),
	}
}
