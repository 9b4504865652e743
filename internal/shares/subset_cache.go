package shares

import (
	"slices"
	"time"
)

// minRecomputeInterval is the shortest time between two workings-out of one service's targets: at the
// full size one takes some milliseconds, and a zone that returns brings changes by the
// dozen.
const minRecomputeInterval = time.Second

const (
	// minSubsetSize is how many targets of a service an entry uses at least, where there are
	// as many: enough to even out its load, and to be left some while a zone is out.
	minSubsetSize = 20
	// entriesPerTarget is how many entries use one target where there are many of both. With
	// fewer of them each has a larger part of what a target bears.
	entriesPerTarget = 6
)

// SubsetSize returns how many targets of a service an entry uses, out of so many.
func SubsetSize(entries, targets int) int {
	return max(minSubsetSize, targets*entriesPerTarget/max(1, entries))
}

// SubsetCache keeps the targets of each service that an entry uses, and its shares of them. Its
// exported fields are set before the first call.
type SubsetCache struct {
	// SubsetSize returns how many targets of a service an entry uses, out of so many.
	SubsetSize func(entries, targets int) int
	// RecomputeAt is when a former answer that stood in for a new one is to be replaced; zero
	// for never. Due sets it back.
	RecomputeAt time.Time

	subsets map[string]*cachedSubset
	// reportedAt is the last DueAt that Due told.
	reportedAt time.Time
}

// RecomputeDue reports how long it is until Of is to be asked again for all services, once for each
// such moment: a zone that returns brings many changes before it.
func (k *SubsetCache) RecomputeDue(now time.Time) (wait time.Duration, due bool) {
	due = !k.RecomputeAt.IsZero() && !k.RecomputeAt.Equal(k.reportedAt)
	wait = k.RecomputeAt.Sub(now)
	k.reportedAt, k.RecomputeAt = k.RecomputeAt, time.Time{}

	return wait, due
}

// cachedSubset is what was worked out last for one service, and from what.
type cachedSubset struct {
	entries    []Node
	targets    []Node
	subset     map[string]Share
	validUntil time.Time
}

// Targets returns the targets of a service that the entry at self uses, out of those that may
// get new work, so that a zone that is out leaves no hole. What has not changed is not
// worked out again. Within the pause the former answer stands, and DueAt says when to ask
// again. What may get new work is told apart from this, at once.
func (k *SubsetCache) Targets(now time.Time, service string, self Node, entries, targets []Node) map[string]Share {
	if k.subsets == nil {
		k.subsets = make(map[string]*cachedSubset)
	}

	last := k.subsets[service]
	size := k.SubsetSize(len(entries), len(targets))

	switch {
	case last == nil:
	case last.isFor(entries, targets):
		return last.subset
	case len(targets) > size && now.Before(last.validUntil):
		k.RecomputeAt = last.validUntil

		return last.subset
	}

	subset := Subsetter{Size: size}.Targets(self, entries, targets)
	k.subsets[service] = &cachedSubset{entries: entries, targets: targets, subset: subset, validUntil: now.Add(minRecomputeInterval)}

	return subset
}

func (l *cachedSubset) isFor(entries, targets []Node) bool {
	return slices.Equal(l.entries, entries) && slices.Equal(l.targets, targets)
}
