package control

import (
	"slices"
	"strings"
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// silence is the core that decides, without I/O, which processes of the
// directory are to be expired, from what all control VMs have heard.
type silence struct {
	after time.Duration
	// since is when this VM began to watch: silence before it says nothing.
	since time.Time
	last  map[process]time.Time
}

func newSilence(after time.Duration) *silence {
	return &silence{after: after, last: map[process]time.Time{}}
}

// idle forgets everything: this VM does not lead, so it does not watch.
func (c *silence) idle() { c.since = time.Time{} }

// watch takes in what was heard, and returns the processes that no control VM
// has heard from for too long. A process that no control VM ever named counts
// from the first time it was missed.
func (c *silence) watch(now time.Time, nodes map[string]*wire.Node, all []sighting) []*wire.NodeName {
	if c.since.IsZero() {
		c.since = now
		c.last = map[process]time.Time{}
	}

	for _, s := range all {
		name := process{id: s.node.GetID(), incarnation: s.node.GetIncarnation()}
		c.last[name] = later(c.last[name], s.at)
	}

	return c.due(now, nodes)
}

func (c *silence) due(now time.Time, nodes map[string]*wire.Node) []*wire.NodeName {
	var out []*wire.NodeName

	kept := make(map[process]time.Time, len(nodes))

	for id, node := range nodes {
		name := process{id: id, incarnation: node.GetIncarnation()}

		at, ok := c.last[name]
		if !ok {
			at = now
		}

		kept[name] = later(at, c.since)

		if now.Sub(kept[name]) >= c.after {
			out = append(out, &wire.NodeName{ID: id, Incarnation: node.GetIncarnation()})
		}
	}

	c.last = kept

	slices.SortFunc(out, func(a, b *wire.NodeName) int { return strings.Compare(a.GetID(), b.GetID()) })

	return out
}
