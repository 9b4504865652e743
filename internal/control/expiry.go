package control

import (
	"slices"
	"strings"
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// expiryChecker is the core that decides, without I/O, which processes of the
// directory are to be expired, from what all control VMs have heard.
type expiryChecker struct {
	timeout time.Duration
	// watchingSince is when this VM began to watch: silence before it says nothing.
	watchingSince time.Time
	lastPolls     map[processKey]time.Time
}

func newExpiryChecker(timeout time.Duration) *expiryChecker {
	return &expiryChecker{timeout: timeout, lastPolls: map[processKey]time.Time{}}
}

// reset forgets everything: this VM does not lead, so it does not watch.
func (c *expiryChecker) reset() { c.watchingSince = time.Time{} }

// check takes in what was heard, and returns the processes that no control VM
// has heard from for too long. A process that no control VM ever named counts
// from the first time it was missed.
func (c *expiryChecker) check(now time.Time, nodes map[string]*wire.Node, polls []reportedPoll) []*wire.NodeName {
	if c.watchingSince.IsZero() {
		c.watchingSince = now
		c.lastPolls = map[processKey]time.Time{}
	}

	for _, poll := range polls {
		key := processKey{id: poll.node.GetID(), incarnation: poll.node.GetIncarnation()}
		c.lastPolls[key] = later(c.lastPolls[key], poll.at)
	}

	return c.expired(now, nodes)
}

func (c *expiryChecker) expired(now time.Time, nodes map[string]*wire.Node) []*wire.NodeName {
	var out []*wire.NodeName

	lastPolls := make(map[processKey]time.Time, len(nodes))

	for id, node := range nodes {
		key := processKey{id: id, incarnation: node.GetIncarnation()}

		at, ok := c.lastPolls[key]
		if !ok {
			at = now
		}

		lastPolls[key] = later(at, c.watchingSince)

		if now.Sub(lastPolls[key]) >= c.timeout {
			out = append(out, &wire.NodeName{ID: id, Incarnation: node.GetIncarnation()})
		}
	}

	c.lastPolls = lastPolls

	slices.SortFunc(out, func(a, b *wire.NodeName) int { return strings.Compare(a.GetID(), b.GetID()) })

	return out
}
