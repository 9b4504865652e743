package ledger

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// departedRetention is how long the incarnation of a removed process is kept.
const departedRetention = 24 * time.Hour

// expiryWindow is the time over which expiries are counted.
const expiryWindow = time.Minute

// departureTable guards the node records: it keeps the incarnations of removed
// processes, and how many processes were expired in the current window.
type departureTable struct {
	limits Limits
	nodes  map[string]*wire.DepartedNode
	window *wire.ExpiryWindow
}

func newDepartureTable(limits Limits) departureTable {
	return departureTable{limits: limits, nodes: map[string]*wire.DepartedNode{}, window: &wire.ExpiryWindow{}}
}

// applyReports applies processes' reports about themselves and returns how many
// records changed.
func (l *Ledger) applyReports(index uint64, reports *wire.NodeReports) uint32 {
	var n uint32

	for _, r := range reports.GetReports() {
		if l.applyReport(index, r) {
			n++
		}
	}

	return n
}

func (l *Ledger) applyReport(index uint64, r *wire.NodeReport) bool {
	node := r.GetNode()
	if node.GetID() == "" {
		return false
	}

	current := l.records.get(NodePrefix + node.GetID()).GetNode()
	if current != nil && !upToDate(node, current.GetIncarnation(), current.GetReport()) {
		return false
	}

	departed := l.departures.nodes[node.GetID()]
	if departed != nil && barsReturn(departed, node) {
		return false
	}

	if r.GetGone() {
		return l.removeNode(index, node, true)
	}

	next := proto.CloneOf(node)
	next.Leaving = next.Leaving || wasLeaving(node, current, departed)

	if proto.Equal(current, next) {
		return false
	}

	delete(l.departures.nodes, node.GetID())
	l.removeFinishedStop(index, next)
	l.records.put(index, &wire.Record{Key: NodePrefix + node.GetID(), Value: &wire.Record_Node{Node: next}})

	return true
}

// removeFinishedStop removes the planned stop of an earlier incarnation, which has
// ended.
func (l *Ledger) removeFinishedStop(index uint64, node *wire.Node) {
	stop := l.records.get(StopPrefix + node.GetID()).GetStop()
	if stop != nil && stop.GetIncarnation() != 0 && stop.GetIncarnation() < node.GetIncarnation() {
		l.records.remove(index, StopPrefix+node.GetID())
	}
}

// upToDate reports whether a report is at least as new as the given one. An older
// report would bring back an address or boot ID that no longer exists. Incarnations
// and, within one incarnation, report numbers only grow.
func upToDate(node *wire.Node, incarnation, report uint64) bool {
	if node.GetIncarnation() != incarnation {
		return node.GetIncarnation() > incarnation
	}

	return node.GetReport() >= report
}

// wasLeaving reports whether this incarnation has already begun to leave. Leaving is
// never undone within an incarnation: an older report would make the process get new
// work again.
func wasLeaving(node, current *wire.Node, departed *wire.DepartedNode) bool {
	if current != nil && current.GetIncarnation() == node.GetIncarnation() {
		return current.GetLeaving()
	}

	return departed.GetIncarnation() == node.GetIncarnation() && departed.GetLeaving()
}

// barsReturn reports whether a removed process must not return by this report. A
// process that was only expired may return under the same incarnation; one that ended
// may not.
func barsReturn(departed *wire.DepartedNode, node *wire.Node) bool {
	if !upToDate(node, departed.GetIncarnation(), departed.GetReport()) {
		return true
	}

	return departed.GetGone() && node.GetIncarnation() == departed.GetIncarnation()
}

func (l *Ledger) removeNode(index uint64, node *wire.Node, ended bool) bool {
	l.records.remove(index, NodePrefix+node.GetID())
	l.departures.add(l.clock.now(), node, ended)

	return true
}

// applyExpiry removes processes that have not polled any control VM, up to a limit per
// window, and returns how many. The limit guards against a fault of the control VMs
// themselves, in which all processes seem unresponsive at once: without it the
// directory would become empty and every request would fail. A zone that really failed
// is still removed in bounded time.
func (l *Ledger) applyExpiry(index uint64, expiry *wire.Expiry) uint32 {
	var n uint32

	live := len(l.records.withPrefix(NodePrefix))

	for _, name := range expiry.GetNodes() {
		current := l.records.get(NodePrefix + name.GetID()).GetNode()
		if current == nil || current.GetIncarnation() != name.GetIncarnation() {
			continue
		}

		if !l.departures.allowExpiry(l.clock.now(), live) {
			break
		}

		l.removeNode(index, current, false)
		n++
	}

	return n
}

// allowExpiry reports whether another process may be expired in the current window, and
// counts it if so.
func (d *departureTable) allowExpiry(now time.Time, live int) bool {
	if !now.Before(fromMillis(d.window.GetStartMillis()).Add(expiryWindow)) || d.window.GetLimit() == 0 {
		limit := max(d.limits.MinExpiries, live/d.limits.ExpiryDivisor)
		d.window = &wire.ExpiryWindow{StartMillis: toMillis(now), Limit: uint32(limit)}
	}

	if d.window.GetUsed() >= d.window.GetLimit() {
		return false
	}

	d.window.Used++

	return true
}

func (d *departureTable) add(now time.Time, node *wire.Node, ended bool) {
	d.nodes[node.GetID()] = &wire.DepartedNode{
		ID:          node.GetID(),
		Incarnation: node.GetIncarnation(),
		Gone:        ended,
		Leaving:     node.GetLeaving(),
		Report:      node.GetReport(),
		AtMillis:    toMillis(now),
	}

	if len(d.nodes) > d.limits.MaxDeparted {
		delete(d.nodes, d.sorted()[0].GetID())
	}
}

func (d *departureTable) dropExpired(now time.Time) {
	for id, departed := range d.nodes {
		if !now.Before(fromMillis(departed.GetAtMillis()).Add(departedRetention)) {
			delete(d.nodes, id)
		}
	}
}

// sorted returns the removed processes, the earliest removal first.
func (d *departureTable) sorted() []*wire.DepartedNode {
	out := make([]*wire.DepartedNode, 0, len(d.nodes))
	for _, departed := range d.nodes {
		out = append(out, departed)
	}

	slices.SortFunc(out, func(a, b *wire.DepartedNode) int {
		if a.GetAtMillis() != b.GetAtMillis() {
			return int(int64(a.GetAtMillis()) - int64(b.GetAtMillis()))
		}

		return strings.Compare(a.GetID(), b.GetID())
	})

	return out
}
