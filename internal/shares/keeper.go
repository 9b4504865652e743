package role

import (
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/internal/view"
)

// subsetDegree is how many targets of a service an entry keeps to.
const subsetDegree = 30

// subsetPause is the shortest time between two workings-out of one service's
// subset: at the full size one takes some 15 ms, and a zone that returns brings
// changes by the dozen.
const subsetPause = time.Second

// subsets holds the targets of each service that an entry keeps to.
type subsets struct {
	services map[string]*subset
	// dueAt is when a former answer that stood in for a new one is to be replaced;
	// zero for never.
	dueAt time.Time
}

// subset is what was worked out last for one service, and from what.
type subset struct {
	entries []routing.Place
	targets []routing.Place
	mine    map[string]bool
	nextAt  time.Time
}

// of returns the targets of a service that the entry at self keeps to, out of
// those that may get new work, so that a zone that is out leaves no hole. What
// has not changed is not worked out again. Within subsetPause the former answer
// stands, and dueAt says when to ask again. What may get new work is told apart
// from this, at once.
func (s *subsets) of(now time.Time, service string, self routing.Place, entries, targets []routing.Place) map[string]bool {
	if s.services == nil {
		s.services = make(map[string]*subset)
	}

	last := s.services[service]

	switch {
	case last == nil || len(targets) <= subsetDegree:
	case last.same(entries, targets):
		return last.mine
	case now.Before(last.nextAt):
		s.dueAt = last.nextAt

		return last.mine
	}

	mine := make(map[string]bool)
	for _, id := range (routing.Subsets{Degree: subsetDegree}).Of(self, entries, targets) {
		mine[id] = true
	}

	s.services[service] = &subset{entries: entries, targets: targets, mine: mine, nextAt: now.Add(subsetPause)}

	return mine
}

func (s *subset) same(entries, targets []routing.Place) bool {
	return slices.Equal(s.entries, entries) && slices.Equal(s.targets, targets)
}

// places lists the targets that may get new work.
func places(s *view.Snapshot, targets []view.Target) []routing.Place {
	var out []routing.Place

	for _, t := range targets {
		if t.Admissible() {
			out = append(out, routing.Place{ID: t.Node.GetID(), Zone: t.Node.GetZone(), Region: regionOf(s, t.Node.GetZone())})
		}
	}

	return out
}

func (r *Entry) place() routing.Place {
	return routing.Place{ID: r.ID, Zone: r.Zone, Region: r.Region}
}
