package shares

import (
	"slices"
	"time"
)

// pause is the shortest time between two workings-out of one service's targets: at the
// full size one takes some milliseconds, and a zone that returns brings changes by the
// dozen.
const pause = time.Second

const (
	// leastDegree is how many targets of a service an entry uses at least, where there are
	// as many: enough to even out its load, and to be left some while a zone is out.
	leastDegree = 20
	// usersPerTarget is how many entries use one target where there are many of both. With
	// fewer of them each has a larger part of what a target bears.
	usersPerTarget = 6
)

// SubsetSize returns how many targets of a service an entry uses, out of so many.
func SubsetSize(entries, targets int) int {
	return max(leastDegree, targets*usersPerTarget/max(1, entries))
}

// SubsetCache keeps the targets of each service that an entry uses, and its shares of them. Its
// exported fields are set before the first call.
type SubsetCache struct {
	// SubsetSize returns how many targets of a service an entry uses, out of so many.
	SubsetSize func(entries, targets int) int
	// RecomputeAt is when a former answer that stood in for a new one is to be replaced; zero
	// for never. Due sets it back.
	RecomputeAt time.Time

	services map[string]*kept
	// toldAt is the last DueAt that Due told.
	toldAt time.Time
}

// RecomputeDue reports how long it is until Of is to be asked again for all services, once for each
// such moment: a zone that returns brings many changes before it.
func (k *SubsetCache) RecomputeDue(now time.Time) (wait time.Duration, due bool) {
	due = !k.RecomputeAt.IsZero() && !k.RecomputeAt.Equal(k.toldAt)
	wait = k.RecomputeAt.Sub(now)
	k.toldAt, k.RecomputeAt = k.RecomputeAt, time.Time{}

	return wait, due
}

// kept is what was worked out last for one service, and from what.
type kept struct {
	entries []Node
	targets []Node
	mine    map[string]Share
	nextAt  time.Time
}

// Targets returns the targets of a service that the entry at self uses, out of those that may
// get new work, so that a zone that is out leaves no hole. What has not changed is not
// worked out again. Within the pause the former answer stands, and DueAt says when to ask
// again. What may get new work is told apart from this, at once.
func (k *SubsetCache) Targets(now time.Time, service string, self Node, entries, targets []Node) map[string]Share {
	if k.services == nil {
		k.services = make(map[string]*kept)
	}

	last := k.services[service]
	degree := k.SubsetSize(len(entries), len(targets))

	switch {
	case last == nil:
	case last.same(entries, targets):
		return last.mine
	case len(targets) > degree && now.Before(last.nextAt):
		k.RecomputeAt = last.nextAt

		return last.mine
	}

	mine := Subsetter{Size: degree}.Targets(self, entries, targets)
	k.services[service] = &kept{entries: entries, targets: targets, mine: mine, nextAt: now.Add(pause)}

	return mine
}

func (l *kept) same(entries, targets []Node) bool {
	return slices.Equal(l.entries, entries) && slices.Equal(l.targets, targets)
}
