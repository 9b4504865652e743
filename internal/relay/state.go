package relay

import (
	"net/netip"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/targetclient"
)

// State is the relay's state in a dump. Counters are totals since the start of the process.
type State struct {
	// Prioritized holds the requests to prioritized services by level, and Workspaces the
	// workspaces that sent most of them lately.
	Prioritized []ServiceLevels
	Workspaces  []WorkspaceState

	Requests, Served, Refused, Denied, Failed, Cut, Left int64
	Again, Unpaid, Misdirected, BudgetSpent              int64
	Number, Index                                        uint64
	Targets                                              []netip.AddrPort
	Entries, Waiting                                     int
	Groups                                               []dispatch.GroupState
	Connections                                          targetclient.Stats
	// HeldParts are the requests that are held back, by what they have in common.
	HeldParts []HeldPartState
}

// Dump returns the current state.
func (r *Relay) Dump() State {
	f := r.State()
	c := &r.counters
	s := State{
		Requests: c.requests.Load(), Served: c.completions.Load(), Refused: c.refused.Load(), Denied: c.denied.Load(),
		Failed: c.failed.Load(), Cut: c.cut.Load(), Left: c.disconnected.Load(),
		Again: c.retries.Load(), Unpaid: c.freeRetries.Load(), Misdirected: c.misdirected.Load(), BudgetSpent: c.budgetSpent.Load(),
		Number: f.Number, Index: f.Index, Entries: f.Entries, Connections: r.TargetClient.Stats(),
		HeldParts: r.guard.state().Held,
	}

	for i := range f.Targets {
		s.Targets = append(s.Targets, f.Targets[i].Address)
	}

	r.queue.mu.Lock()
	s.Waiting = r.queue.dispatcher.Waiting()
	s.Groups = r.queue.dispatcher.Groups(r.Now())
	r.queue.mu.Unlock()

	s.Prioritized, s.Workspaces = r.levels.state(), r.levels.workspaceState(r.Now())

	return s
}
