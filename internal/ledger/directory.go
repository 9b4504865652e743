package ledger

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// departedFor is how long the incarnation of a process that left is remembered.
const departedFor = 24 * time.Hour

// expiryPeriod is the time over which expiries are counted.
const expiryPeriod = time.Minute

// directory keeps, beside the node records, what guards them: the incarnations
// of processes that left, and how many were expired lately.
type directory struct {
	limits   Limits
	departed map[string]*wire.DepartedNode
	window   *wire.ExpiryWindow
}

func newDirectory(limits Limits) directory {
	return directory{limits: limits, departed: map[string]*wire.DepartedNode{}, window: &wire.ExpiryWindow{}}
}

// report takes in what processes say of themselves and returns how many records changed.
func (l *Ledger) report(index uint64, reports *wire.NodeReports) uint32 {
	var n uint32

	for _, r := range reports.GetReports() {
		if l.reportOne(index, r) {
			n++
		}
	}

	return n
}

func (l *Ledger) reportOne(index uint64, r *wire.NodeReport) bool {
	node := r.GetNode()
	if node.GetID() == "" {
		return false
	}

	held := l.records.get(NodePrefix + node.GetID()).GetNode()
	if held != nil && !follows(node, held.GetIncarnation(), held.GetReport()) {
		return false
	}

	departed := l.directory.departed[node.GetID()]
	if departed != nil && bars(departed, node) {
		return false
	}

	if r.GetGone() {
		return l.depart(index, node, true)
	}

	next := proto.CloneOf(node)
	next.Leaving = next.Leaving || staysLeaving(node, held, departed)

	if proto.Equal(held, next) {
		return false
	}

	delete(l.directory.departed, node.GetID())
	l.endStop(index, next)
	l.records.put(index, &wire.Record{Key: NodePrefix + node.GetID(), Value: &wire.Record_Node{Node: next}})

	return true
}

// endStop removes the planned stop of an earlier incarnation: it was carried out.
func (l *Ledger) endStop(index uint64, node *wire.Node) {
	stop := l.records.get(StopPrefix + node.GetID()).GetStop()
	if stop != nil && stop.GetIncarnation() != 0 && stop.GetIncarnation() < node.GetIncarnation() {
		l.records.remove(index, StopPrefix+node.GetID())
	}
}

// follows guards against late reports: one of an earlier incarnation, or an
// earlier one of the same, would bring back an address or a boot id that is
// gone. Incarnations and reports only grow, so the newer one is known.
func follows(node *wire.Node, incarnation, report uint64) bool {
	if node.GetIncarnation() != incarnation {
		return node.GetIncarnation() > incarnation
	}

	return node.GetReport() >= report
}

// staysLeaving guards against a report from before the process began to leave:
// it would get new work again. Within one incarnation leaving is never undone.
func staysLeaving(node, held *wire.Node, departed *wire.DepartedNode) bool {
	if held != nil && held.GetIncarnation() == node.GetIncarnation() {
		return held.GetLeaving()
	}

	return departed.GetIncarnation() == node.GetIncarnation() && departed.GetLeaving()
}

// bars reports whether a process that left must not come back by this report.
// One that was only expired may, under the same incarnation.
func bars(departed *wire.DepartedNode, node *wire.Node) bool {
	if !follows(node, departed.GetIncarnation(), departed.GetReport()) {
		return true
	}

	return departed.GetGone() && node.GetIncarnation() == departed.GetIncarnation()
}

func (l *Ledger) depart(index uint64, node *wire.Node, gone bool) bool {
	l.records.remove(index, NodePrefix+node.GetID())
	l.directory.remember(l.clock.now(), node, gone)

	return true
}

// expire removes processes that no control VM hears from, as many as the bound
// allows, and returns how many. The bound guards against a fault of the control
// VMs themselves, which shows as the silence of all processes at once: it would
// empty the directory and stop all service. A share of the directory a minute
// is believed, so a zone that is really gone leaves it in bounded time.
func (l *Ledger) expire(index uint64, expiry *wire.Expiry) uint32 {
	var n uint32

	live := len(l.records.byKind(NodePrefix))

	for _, name := range expiry.GetNodes() {
		held := l.records.get(NodePrefix + name.GetID()).GetNode()
		if held == nil || held.GetIncarnation() != name.GetIncarnation() {
			continue
		}

		if !l.directory.mayExpire(l.clock.now(), live) {
			break
		}

		l.depart(index, held, false)
		n++
	}

	return n
}

func (d *directory) mayExpire(now time.Time, live int) bool {
	if !now.Before(fromMillis(d.window.GetStartMillis()).Add(expiryPeriod)) || d.window.GetLimit() == 0 {
		limit := max(d.limits.MinExpiries, live/d.limits.ExpiryDivisor)
		d.window = &wire.ExpiryWindow{StartMillis: millis(now), Limit: uint32(limit)}
	}

	if d.window.GetUsed() >= d.window.GetLimit() {
		return false
	}

	d.window.Used++

	return true
}

func (d *directory) remember(now time.Time, node *wire.Node, gone bool) {
	d.departed[node.GetID()] = &wire.DepartedNode{
		ID:          node.GetID(),
		Incarnation: node.GetIncarnation(),
		Gone:        gone,
		Leaving:     node.GetLeaving(),
		Report:      node.GetReport(),
		AtMillis:    millis(now),
	}

	if len(d.departed) > d.limits.MaxDeparted {
		delete(d.departed, d.sorted()[0].GetID())
	}
}

func (d *directory) forget(now time.Time) {
	for id, departed := range d.departed {
		if !now.Before(fromMillis(departed.GetAtMillis()).Add(departedFor)) {
			delete(d.departed, id)
		}
	}
}

// sorted returns the departed processes, the longest gone first.
func (d *directory) sorted() []*wire.DepartedNode {
	out := make([]*wire.DepartedNode, 0, len(d.departed))
	for _, departed := range d.departed {
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
