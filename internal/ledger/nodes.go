package ledger

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// departedRetention is how long the incarnation of a process that left is remembered.
const departedRetention = 24 * time.Hour

// expiryWindow is the time over which expiries are counted.
const expiryWindow = time.Minute

// departureTable keeps, beside the node records, what guards them: the incarnations
// of processes that left, and how many were expired lately.
type departureTable struct {
	limits Limits
	nodes  map[string]*wire.DepartedNode
	window *wire.ExpiryWindow
}

func newDepartureTable(limits Limits) departureTable {
	return departureTable{limits: limits, nodes: map[string]*wire.DepartedNode{}, window: &wire.ExpiryWindow{}}
}

// applyReports takes in what processes say of themselves and returns how many records changed.
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

// removeFinishedStop removes the planned stop of an earlier incarnation: it was carried out.
func (l *Ledger) removeFinishedStop(index uint64, node *wire.Node) {
	stop := l.records.get(StopPrefix + node.GetID()).GetStop()
	if stop != nil && stop.GetIncarnation() != 0 && stop.GetIncarnation() < node.GetIncarnation() {
		l.records.remove(index, StopPrefix+node.GetID())
	}
}

// upToDate guards against late reports: one of an earlier incarnation, or an
// earlier one of the same, would bring back an address or a boot id that is
// gone. Incarnations and reports only grow, so the newer one is known.
func upToDate(node *wire.Node, incarnation, report uint64) bool {
	if node.GetIncarnation() != incarnation {
		return node.GetIncarnation() > incarnation
	}

	return node.GetReport() >= report
}

// wasLeaving guards against a report from before the process began to leave:
// it would get new work again. Within one incarnation leaving is never undone.
func wasLeaving(node, current *wire.Node, departed *wire.DepartedNode) bool {
	if current != nil && current.GetIncarnation() == node.GetIncarnation() {
		return current.GetLeaving()
	}

	return departed.GetIncarnation() == node.GetIncarnation() && departed.GetLeaving()
}

// barsReturn reports whether a process that left must not come back by this report.
// One that was only expired may, under the same incarnation.
func barsReturn(departed *wire.DepartedNode, node *wire.Node) bool {
	if !upToDate(node, departed.GetIncarnation(), departed.GetReport()) {
		return true
	}

	return departed.GetGone() && node.GetIncarnation() == departed.GetIncarnation()
}

func (l *Ledger) removeNode(index uint64, node *wire.Node, gone bool) bool {
	l.records.remove(index, NodePrefix+node.GetID())
	l.departures.add(l.clock.now(), node, gone)

	return true
}

// applyExpiry removes processes that no control VM hears from, as many as the bound
// allows, and returns how many. The bound guards against a fault of the control
// VMs themselves, which shows as the silence of all processes at once: it would
// empty the directory and stop all service. A share of the directory a minute
// is believed, so a zone that is really gone leaves it in bounded time.
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

func (d *departureTable) add(now time.Time, node *wire.Node, gone bool) {
	d.nodes[node.GetID()] = &wire.DepartedNode{
		ID:          node.GetID(),
		Incarnation: node.GetIncarnation(),
		Gone:        gone,
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

// sorted returns the departed processes, the longest gone first.
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
