package shares

import (
	"maps"
	"slices"
	"time"
)

const (
	// minRecomputeInterval is the minimum time between two computations of a service's subset,
	// as a zone that returns causes dozens of changes.
	minRecomputeInterval = time.Second
	// recomputeIntervalPerPair is the part of that time for each pair of an entry and a target
	// beyond it. A computation costs in proportion to them, so its share of the processor time
	// has a bound at any size.
	recomputeIntervalPerPair = 5 * time.Microsecond
)

// recomputeInterval returns the minimum time between two computations of a subset.
func recomputeInterval(entries, targets int) time.Duration {
	return max(minRecomputeInterval, time.Duration(entries*targets)*recomputeIntervalPerPair)
}

const (
	// minSubsetSize is the minimum number of targets of a service per entry, if there are
	// as many. It is enough to balance the entry's load, and to leave some targets while a
	// zone is out.
	minSubsetSize = 20
	// entriesPerTarget is the number of entries per target if there are many of both. With
	// fewer entries, each one has a larger share of a target's capacity.
	entriesPerTarget = 6
)

// SubsetSize returns the number of targets of a service per entry.
func SubsetSize(entries, targets int) int {
	return max(minSubsetSize, targets*entriesPerTarget/max(1, entries))
}

// SubsetCache caches the subset of each service's targets that this entry uses, and the
// entry's shares of them. Its exported fields must be set before the first call. It is not
// safe for concurrent use.
type SubsetCache struct {
	// SubsetSize returns the number of targets of a service per entry.
	SubsetSize func(entries, targets int) int
	// RecomputeAt is when an outdated subset that was returned from the cache can be
	// recomputed, or zero if there is none. RecomputeDue resets it.
	RecomputeAt time.Time

	subsets map[string]*cachedSubset
	// reportedAt is the last RecomputeAt reported by RecomputeDue.
	reportedAt time.Time
}

// RecomputeDue returns the time until Targets should be called again for all services. due
// is true only once for each such time, because a zone that returns causes many changes
// before it.
func (c *SubsetCache) RecomputeDue(now time.Time) (wait time.Duration, due bool) {
	due = !c.RecomputeAt.IsZero() && !c.RecomputeAt.Equal(c.reportedAt)
	wait = c.RecomputeAt.Sub(now)
	c.reportedAt, c.RecomputeAt = c.RecomputeAt, time.Time{}

	return wait, due
}

// cachedSubset is the subset last computed for a service, and its inputs.
type cachedSubset struct {
	entries         []Node
	targets         []Node
	subset          map[string]Share
	nextRecomputeAt time.Time
}

// Targets returns the subset of a service's targets that the entry self uses. targets must
// contain only those that may receive new requests, so that a zone that is out leaves no
// gap. The subset is recomputed only if an input has changed. Within recomputeInterval
// the cached subset is returned and RecomputeAt is set. Whether a target may receive
// requests is reported separately and takes effect immediately.
func (c *SubsetCache) Targets(now time.Time, service string, self Node, entries, targets []Node) map[string]Share {
	if c.subsets == nil {
		c.subsets = make(map[string]*cachedSubset)
	}

	last := c.subsets[service]
	size := c.SubsetSize(len(entries), len(targets))

	switch {
	case last == nil:
	case last.hasInputs(entries, targets):
		return last.subset
	case len(targets) > size && now.Before(last.nextRecomputeAt):
		c.RecomputeAt = last.nextRecomputeAt

		return last.subset
	}

	subset := targetsOfEachGroup(size, self, entries, targets)
	c.subsets[service] = &cachedSubset{entries: entries, targets: targets, subset: subset, nextRecomputeAt: now.Add(recomputeInterval(len(entries), len(targets)))}

	return subset
}

// targetsOfEachGroup returns a subset of about size targets, with the same part of each group.
// An entry with few targets in one group has hardly any capacity left if the others are slow
// or lost.
func targetsOfEachGroup(size int, self Node, entries, targets []Node) map[string]Share {
	groups := make(map[string][]Node)
	for _, t := range targets {
		groups[t.Group] = append(groups[t.Group], t)
	}

	subset := make(map[string]Share, size)

	for _, members := range groups {
		part := (size*len(members) + len(targets) - 1) / len(targets)
		maps.Copy(subset, Subsetter{Size: part}.Targets(self, entries, members))
	}

	return subset
}

func (c *cachedSubset) hasInputs(entries, targets []Node) bool {
	return slices.Equal(c.entries, entries) && slices.Equal(c.targets, targets)
}
