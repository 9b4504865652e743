package relay

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/internal/view"
)

// entryShares works out this entry's part of what entries hold together.
type entryShares struct {
	self   shares.Node
	keeper shares.SubsetCache
	// budgets are the parts of the retry budget, by service.
	budgets atomic.Pointer[map[string]shares.Share]
}

// update takes in the entries and targets as they are now, and returns those targets that
// this entry uses, by ID. One goroutine at a time calls it.
func (e *entryShares) update(now time.Time, f *view.Followed) map[string]shares.Share {
	entries := e.entries(f)
	budgets := make(map[string]shares.Share, len(f.Table.Services))
	targetShares := make(map[string]shares.Share, len(f.Targets))

	for _, s := range f.Table.Services {
		budgets[s.Name] = shares.ForLimit(e.self, entries, s.Name)
		serviceShares := e.keeper.Targets(now, s.Name, e.self, entries, assignableTargets(f, s.Name))

		for i := range f.Targets {
			if share, ok := serviceShares[addressKey(&f.Targets[i])]; ok && f.Targets[i].Service == s.Name {
				targetShares[f.Targets[i].ID] = share
			}
		}
	}

	e.budgets.Store(&budgets)

	return targetShares
}

// entries lists the entries that share, and stand-ins for those that are counted and not
// known by ID.
func (e *entryShares) entries(f *view.Followed) []shares.Node {
	out := append([]shares.Node{}, f.Roster...)
	if !slices.ContainsFunc(out, func(node shares.Node) bool { return node.ID == e.self.ID }) {
		out = append(out, e.self)
	}

	for i := len(out); i < f.Entries; i++ {
		out = append(out, shares.Node{ID: fmt.Sprintf("unknown-%d", i)})
	}

	return out
}

// budgetShare returns this entry's part of the retry budget of a service.
func (e *entryShares) budgetShare(service string) shares.Share {
	if known := e.budgets.Load(); known != nil {
		return (*known)[service]
	}

	return shares.Share{}
}

// assignableTargets lists the targets of a service that may get new work.
func assignableTargets(f *view.Followed, service string) []shares.Node {
	var out []shares.Node

	for i := range f.Targets {
		if t := &f.Targets[i]; t.Service == service && !takesNoNewWork(t, f) {
			out = append(out, shares.Node{ID: addressKey(t), Zone: t.Zone})
		}
	}

	return out
}

// addressKey names where a target is. A target that starts anew has another ID at the same
// address, and is to be used by the same entries.
func addressKey(t *directory.Target) string { return t.Address.String() }

// takesNoNewWork reports whether a target gets no new work any more.
func takesNoNewWork(t *directory.Target, f *view.Followed) bool {
	return t.State == directory.Draining || f.Out(t.Zone)
}
