package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// heard is the last poll of one process at this VM or a peer.
type heard struct {
	incarnation uint64
	known       uint64
	at          time.Time
	load        *wire.NodeLoad
}

// reports is the core that decides, without I/O, which processes' own words
// must go into the log.
type reports struct {
	heard   map[string]heard
	pending map[string]*wire.NodeReport
}

func newReports() *reports {
	return &reports{heard: map[string]heard{}, pending: map[string]*wire.NodeReport{}}
}

// polled takes in a poll. What the directory already holds is not reported again.
func (c *reports) polled(now time.Time, r *wire.PollRequest, directory map[string]*wire.Node) {
	node := r.GetNode()
	known := c.heard[node.GetID()]

	if node.GetIncarnation() < known.incarnation {
		return
	}

	if node.GetIncarnation() == known.incarnation {
		now = later(now, known.at)
	}

	c.heard[node.GetID()] = heard{
		incarnation: node.GetIncarnation(),
		known:       r.GetKnownVersion(),
		at:          now,
		load:        r.GetLoad(),
	}

	if r.GetGone() {
		delete(c.heard, node.GetID())
	}

	if r.GetGone() || !proto.Equal(directory[node.GetID()], node) {
		c.add(&wire.NodeReport{Node: node, Gone: r.GetGone()})
	}
}

func (c *reports) add(r *wire.NodeReport) {
	waiting := c.pending[r.GetNode().GetID()].GetNode()
	if waiting != nil && waiting.GetIncarnation() > r.GetNode().GetIncarnation() {
		return
	}

	c.pending[r.GetNode().GetID()] = r
}

// maxBatch bounds the reports in one command, so that the return of all
// processes at once makes a few commands, none of them large.
const maxBatch = 256

// take returns the next reports to commit, and forgets them: a process whose
// report is lost with a failed command polls again and is reported again.
func (c *reports) take() []*wire.NodeReport {
	var out []*wire.NodeReport

	for id, r := range c.pending {
		if len(out) == maxBatch {
			break
		}

		out = append(out, r)
		delete(c.pending, id)
	}

	return out
}

func nodesOf(records ledger.Records) map[string]*wire.Node {
	out := map[string]*wire.Node{}

	for _, r := range records.All() {
		if node := r.GetNode(); node != nil {
			out[node.GetID()] = node
		}
	}

	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
