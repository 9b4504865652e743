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

// parts works out this entry's part of what entries hold together.
type parts struct {
	self   shares.Node
	keeper shares.SubsetCache
	// budgets are the parts of the retry budget, by service.
	budgets atomic.Pointer[map[string]shares.Share]
}

// change takes in the entries and targets as they are now, and returns those targets that
// this entry uses, by ID. One goroutine at a time calls it.
func (p *parts) change(now time.Time, f *view.Followed) map[string]shares.Share {
	entries := p.entries(f)
	budgets := make(map[string]shares.Share, len(f.Table.Services))
	mine := make(map[string]shares.Share, len(f.Targets))

	for _, s := range f.Table.Services {
		budgets[s.Name] = shares.ForLimit(p.self, entries, s.Name)
		used := p.keeper.Targets(now, s.Name, p.self, entries, placesOf(f, s.Name))

		for i := range f.Targets {
			if share, ok := used[place(&f.Targets[i])]; ok && f.Targets[i].Service == s.Name {
				mine[f.Targets[i].ID] = share
			}
		}
	}

	p.budgets.Store(&budgets)

	return mine
}

// entries lists the entries that share, and stand-ins for those that are counted and not
// known by ID.
func (p *parts) entries(f *view.Followed) []shares.Node {
	out := append([]shares.Node{}, f.Roster...)
	if !slices.ContainsFunc(out, func(e shares.Node) bool { return e.ID == p.self.ID }) {
		out = append(out, p.self)
	}

	for i := len(out); i < f.Entries; i++ {
		out = append(out, shares.Node{ID: fmt.Sprintf("unknown-%d", i)})
	}

	return out
}

// budget returns this entry's part of the retry budget of a service.
func (p *parts) budget(service string) shares.Share {
	if known := p.budgets.Load(); known != nil {
		return (*known)[service]
	}

	return shares.Share{}
}

// placesOf lists the targets of a service that may get new work.
func placesOf(f *view.Followed, service string) []shares.Node {
	var out []shares.Node

	for i := range f.Targets {
		if t := &f.Targets[i]; t.Service == service && !leaves(t, f) {
			out = append(out, shares.Node{ID: place(t), Zone: t.Zone})
		}
	}

	return out
}

// place names where a target is. A target that starts anew has another ID at the same
// address, and is to be used by the same entries.
func place(t *directory.Target) string { return t.Address.String() }

// leaves reports whether a target gets no new work any more.
func leaves(t *directory.Target, f *view.Followed) bool {
	return t.State == directory.Draining || f.Out(t.Zone)
}
