package control

import (
	"slices"
	"strings"
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// expiryChecker finds the processes of the directory that have to be expired, from the
// polls that all control VMs received. It does no I/O.
type expiryChecker struct {
	timeout time.Duration
	// watchingSince is when this VM began to check, or zero while it is not the leader. A
	// missing poll before that time counts for nothing.
	watchingSince time.Time
	lastPolls     map[processKey]time.Time
}

func newExpiryChecker(timeout time.Duration) *expiryChecker {
	return &expiryChecker{timeout: timeout, lastPolls: map[processKey]time.Time{}}
}

// reset stops the check, as this VM is not the leader. The next check starts from scratch.
func (c *expiryChecker) reset() { c.watchingSince = time.Time{} }

// check records the polls and returns the processes whose last poll at any control VM is
// older than the timeout. If no control VM reported a process at all, its time counts from
// the first check that missed it.
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
