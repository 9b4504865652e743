package control

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// process is one incarnation of an entry or agent.
type process struct {
	id          string
	incarnation uint64
}

// heard is the last poll of one process.
type heard struct {
	known uint64
	at    time.Time
	load  *wire.NodeLoad
}

// forgetAfter is how long a process that left stays in what was heard. It is
// longer than any freshness lease, so that whoever may still act is named.
const forgetAfter = time.Minute

// hearing is the core that knows, without I/O, which processes polled this VM
// and which of their reports must go into the log.
type hearing struct {
	heard   map[process]heard
	pending map[string]*wire.NodeReport
	version uint64
	nodes   map[string]*wire.Node
}

func newHearing() *hearing {
	return &hearing{
		heard:   map[process]heard{},
		pending: map[string]*wire.NodeReport{},
		nodes:   map[string]*wire.Node{},
	}
}

// refresh takes in the directory as the log has it.
func (c *hearing) refresh(records ledger.Records) {
	if records.Version == c.version {
		return
	}

	d := records.DeltaSince(c.version)
	if d.Full {
		c.nodes = map[string]*wire.Node{}
	}

	for _, key := range d.Removed {
		if id, ok := strings.CutPrefix(key, ledger.NodePrefix); ok {
			delete(c.nodes, id)
		}
	}

	for _, r := range d.Changed {
		if node := r.GetNode(); node != nil {
			c.nodes[node.GetID()] = node
		}
	}

	c.version = records.Version
}

// polled takes in a poll. What the directory already holds is not reported again.
func (c *hearing) polled(now time.Time, r *wire.PollRequest) {
	node := r.GetNode()
	name := process{id: node.GetID(), incarnation: node.GetIncarnation()}
	before := c.heard[name]

	c.heard[name] = heard{
		known: max(r.GetKnownVersion(), before.known),
		at:    later(now, before.at),
		load:  r.GetLoad(),
	}

	if r.GetGone() || !c.holds(node) {
		c.report(&wire.NodeReport{Node: node, Gone: r.GetGone()})
	}
}

// holds reports whether the directory has node as it is. A process that began to
// leave stays leaving there, whatever it says later; that is no news each time.
func (c *hearing) holds(node *wire.Node) bool {
	held := c.nodes[node.GetID()]
	if held.GetLeaving() && !node.GetLeaving() && held.GetIncarnation() == node.GetIncarnation() {
		node = proto.CloneOf(node)
		node.Leaving = true
	}

	return proto.Equal(held, node)
}

func (c *hearing) report(r *wire.NodeReport) {
	waiting := c.pending[r.GetNode().GetID()].GetNode()
	if waiting.GetIncarnation() > r.GetNode().GetIncarnation() {
		return
	}

	c.pending[r.GetNode().GetID()] = r
}

// maxBatch bounds the reports in one command, so that the return of all
// processes at once makes a few commands, none of them large.
const maxBatch = 256

// take returns the next reports to commit, and forgets them: a process whose
// report is lost with a failed command polls again and is reported again.
func (c *hearing) take() []*wire.NodeReport {
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

// forget drops processes that have long been silent and are not in the directory.
func (c *hearing) forget(now time.Time) {
	for name, h := range c.heard {
		current := c.nodes[name.id].GetIncarnation() == name.incarnation
		if !current && now.Sub(h.at) > forgetAfter {
			delete(c.heard, name)
		}
	}
}

// list returns what was heard, for another control VM or for this one.
func (c *hearing) list(now time.Time) *wire.HeardResponse {
	out := &wire.HeardResponse{Version: c.version}

	for name, h := range c.heard {
		out.Nodes = append(out.Nodes, &wire.HeardNode{
			ID:           name.id,
			Incarnation:  name.incarnation,
			KnownVersion: h.known,
			AgeMillis:    uint64(now.Sub(h.at).Milliseconds()),
			Load:         h.load,
		})
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
