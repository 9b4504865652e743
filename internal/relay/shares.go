package relay

import (
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/internal/view"
)

// entryShares computes this entry's shares of the limits that all entries have in common.
type entryShares struct {
	self    shares.Node
	subsets shares.SubsetCache
	// keys holds the results of addressKey for the targets of the last update.
	keys map[netip.AddrPort]string
	// budgets is nil while this entry does not know with how many others it shares them.
	budgets atomic.Pointer[budgetShares]
	// known holds the entries of the last update.
	known atomic.Pointer[[]shares.Node]
}

// budgetShares holds this entry's shares of the retry budgets.
type budgetShares struct {
	sharers []shares.Node
	// byService holds the shares for the services of the table.
	byService map[string]shares.Share
}

// knownEntries returns the entries of the last update.
func (e *entryShares) knownEntries() []shares.Node {
	if known := e.known.Load(); known != nil {
		return *known
	}

	return nil
}

// update recomputes the shares from the current entries and targets. It returns the shares of
// the targets that this entry uses, by target ID. It must not be called concurrently.
func (e *entryShares) update(now time.Time, f *view.ClusterState) map[string]shares.Share {
	entries := e.entries(f, f.Roster)
	serviceShares := make(map[string]map[string]shares.Share, len(f.Table.Services))
	assignable := e.assignableTargets(f)

	for _, s := range f.Table.Services {
		serviceShares[s.Name] = e.subsets.Targets(now, s.Name, e.self, entries, assignable[s.Name])
	}

	e.known.Store(&entries)

	if !f.RosterIncomplete {
		e.updateBudgets(f)
	}

	targetShares := make(map[string]shares.Share)

	for i := range f.Targets {
		t := &f.Targets[i]
		if share, ok := serviceShares[t.Service][e.keys[t.Address]]; ok {
			targetShares[t.ID] = share
		}
	}

	return targetShares
}

// entries returns known with this entry, and with placeholders for entries that are counted but
// not known by ID.
func (e *entryShares) entries(f *view.ClusterState, known []shares.Node) []shares.Node {
	out := append([]shares.Node{}, known...)
	if !slices.ContainsFunc(out, func(node shares.Node) bool { return node.ID == e.self.ID }) {
		out = append(out, e.self)
	}

	for i := len(out); i < f.Entries; i++ {
		out = append(out, shares.Node{ID: fmt.Sprintf("unknown-%d", i)})
	}

	return out
}

// budgetShare returns this entry's share of the retry budget of a service.
func (e *entryShares) budgetShare(service string) shares.Share {
	b := e.budgets.Load()
	if b == nil {
		return shares.None()
	}

	if share, ok := b.byService[service]; ok {
		return share
	}

	return shares.ForLimit(e.self, b.sharers, service)
}

func (e *entryShares) updateBudgets(f *view.ClusterState) {
	b := &budgetShares{sharers: e.entries(f, f.Sharers), byService: make(map[string]shares.Share, len(f.Table.Services))}
	for _, s := range f.Table.Services {
		b.byService[s.Name] = shares.ForLimit(e.self, b.sharers, s.Name)
	}

	e.budgets.Store(b)
}

// assignableTargets lists the targets that accept new requests, by service.
func (e *entryShares) assignableTargets(f *view.ClusterState) map[string][]shares.Node {
	out := make(map[string][]shares.Node, len(f.Table.Services))
	keys := make(map[netip.AddrPort]string, len(f.Targets))

	for i := range f.Targets {
		t := &f.Targets[i]

		key, ok := e.keys[t.Address]
		if !ok {
			key = addressKey(t)
		}

		keys[t.Address] = key

		if !isDraining(t, f) {
			out[t.Service] = append(out[t.Service], shares.Node{ID: key, Zone: t.Zone, Group: t.Group.Name})
		}
	}

	e.keys = keys

	return out
}

// addressKey identifies a target by its address. A restarted target has another ID at the same
// address, and is assigned to the same entries.
func addressKey(t *directory.Target) string { return t.Address.String() }

// isDraining reports whether a target gets no new requests: it drains, or its zone is out.
func isDraining(t *directory.Target, f *view.ClusterState) bool {
	return t.State == directory.Draining || f.ZoneOut(t.Zone)
}
