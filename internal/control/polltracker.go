package control

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// processKey is one incarnation of an entry or agent.
type processKey struct {
	id          string
	incarnation uint64
}

// pollRecord is the last poll of one process.
type pollRecord struct {
	knownVersion uint64
	receivedAt   time.Time
	load         *wire.NodeLoad
}

// pollRecordTTL is how long a process that left stays in what was heard. It is
// longer than any freshness lease, so that whoever may still act is named.
const pollRecordTTL = time.Minute

// pollTracker is the core that knows, without I/O, which processes polled this VM
// and which of their reports must go into the log.
type pollTracker struct {
	polls   map[processKey]pollRecord
	pending map[string]*wire.NodeReport
	version uint64
	nodes   map[string]*wire.Node
}

func newPollTracker() *pollTracker {
	return &pollTracker{
		polls:   map[processKey]pollRecord{},
		pending: map[string]*wire.NodeReport{},
		nodes:   map[string]*wire.Node{},
	}
}

// updateDirectory takes in the directory as the log has it.
func (t *pollTracker) updateDirectory(records ledger.Records) {
	if records.Version == t.version {
		return
	}

	d := records.DeltaSince(t.version)
	if d.Full {
		t.nodes = map[string]*wire.Node{}
	}

	for _, key := range d.Removed {
		if id, ok := strings.CutPrefix(key, ledger.NodePrefix); ok {
			delete(t.nodes, id)
		}
	}

	for _, r := range d.Changed {
		if node := r.GetNode(); node != nil {
			t.nodes[node.GetID()] = node
		}
	}

	t.version = records.Version
}

// recordPoll takes in a poll. What the directory already holds is not reported again.
func (t *pollTracker) recordPoll(now time.Time, r *wire.PollRequest) {
	node := r.GetNode()
	key := processKey{id: node.GetID(), incarnation: node.GetIncarnation()}
	prev := t.polls[key]

	t.polls[key] = pollRecord{
		knownVersion: max(r.GetKnownVersion(), prev.knownVersion),
		receivedAt:   later(now, prev.receivedAt),
		load:         r.GetLoad(),
	}

	if r.GetGone() || !t.inDirectory(node) {
		t.queueReport(&wire.NodeReport{Node: node, Gone: r.GetGone()})
	}
}

// inDirectory reports whether the directory has node as it is. A process that began to
// leave stays leaving there, whatever it says later; that is no news each time.
func (t *pollTracker) inDirectory(node *wire.Node) bool {
	current := t.nodes[node.GetID()]
	if current.GetLeaving() && !node.GetLeaving() && current.GetIncarnation() == node.GetIncarnation() {
		node = proto.CloneOf(node)
		node.Leaving = true
	}

	return proto.Equal(current, node)
}

func (t *pollTracker) queueReport(r *wire.NodeReport) {
	queued := t.pending[r.GetNode().GetID()].GetNode()
	if queued.GetIncarnation() > r.GetNode().GetIncarnation() {
		return
	}

	t.pending[r.GetNode().GetID()] = r
}

// maxReportBatch bounds the reports in one command, so that the return of all
// processes at once makes a few commands, none of them large.
const maxReportBatch = 256

// takeBatch returns the next reports to commit, and forgets them: a process whose
// report is lost with a failed command polls again and is reported again.
func (t *pollTracker) takeBatch() []*wire.NodeReport {
	var out []*wire.NodeReport

	for id, r := range t.pending {
		if len(out) == maxReportBatch {
			break
		}

		out = append(out, r)
		delete(t.pending, id)
	}

	return out
}

// dropOldRecords drops processes that have long been silent and are not in the directory.
func (t *pollTracker) dropOldRecords(now time.Time) {
	for key, h := range t.polls {
		current := t.nodes[key.id].GetIncarnation() == key.incarnation
		if !current && now.Sub(h.receivedAt) > pollRecordTTL {
			delete(t.polls, key)
		}
	}
}

// response returns what was heard, for another control VM or for this one.
func (t *pollTracker) response(now time.Time) *wire.HeardResponse {
	out := &wire.HeardResponse{Version: t.version}

	for key, h := range t.polls {
		out.Nodes = append(out.Nodes, &wire.HeardNode{
			ID:           key.id,
			Incarnation:  key.incarnation,
			KnownVersion: h.knownVersion,
			AgeMillis:    uint64(now.Sub(h.receivedAt).Milliseconds()),
			Load:         h.load,
		})
	}

	return out
}

func nodesByID(records ledger.Records) map[string]*wire.Node {
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
