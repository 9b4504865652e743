package control

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// processKey identifies one incarnation of a process (entry, agent or control VM).
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

// pollRecordTTL is how long the last poll of a process that is not in the directory is kept.
// It exceeds any freshness lease, so every process that may still act is reported.
const pollRecordTTL = time.Minute

// pollTracker tracks which processes polled this VM and which of their reports have to be
// committed to the log. It does no I/O.
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

// updateDirectory copies the nodes of the replicated directory from records.
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

// recordPoll records a poll. It queues a report if the process ends or if the directory
// does not hold the process as the poll describes it.
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

// inDirectory reports whether the directory already holds node. The directory keeps a
// process as leaving once it began to leave. A later poll that says otherwise is therefore
// no difference, or each such poll would be reported.
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

// maxReportBatch bounds the reports in one command: when all processes restart at once,
// their reports make a few commands of limited size.
const maxReportBatch = 256

// takeBatch removes and returns the next reports to commit. If the command fails, the next
// poll of the process queues its report again.
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

// dropOldRecords drops processes that are not in the directory and have not polled within
// pollRecordTTL.
func (t *pollTracker) dropOldRecords(now time.Time) {
	for key, h := range t.polls {
		current := t.nodes[key.id].GetIncarnation() == key.incarnation
		if !current && now.Sub(h.receivedAt) > pollRecordTTL {
			delete(t.polls, key)
		}
	}
}

// response returns the recorded polls for the Heard RPC.
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
