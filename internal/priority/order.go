package priority

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

// The load pattern that this file addresses: more requests than places, where the requests differ
// in urgency, some workspaces ask for far more than others, and refused callers return.

const (
	// floorInterval is the number of placements of which a level with waiting requests gets one, so
	// that no level is starved.
	floorInterval = 20
	// precedenceInterval is the number of placements of a workspace of which at most one goes to a
	// request before newer ones because its caller has returned as told. Callers can claim that.
	precedenceInterval = 4
	// idleCredit is the work for which a workspace that has used less than its share goes before the
	// others. Without it, a workspace that asks for less than its share on average loses the requests
	// that happen to arrive together.
	idleCredit = 4
	// usageTTL is how long a workspace and a level are remembered after their last request.
	usageTTL = 10 * time.Second
	// maxFlows is the number of workspaces to design for.
	maxFlows = 13_000
)

// Item is a waiting request.
type Item struct {
	Level     Level
	Workspace string
	// Work is what its workspace is charged when it is placed.
	Work    float64
	Attempt Attempt
	// Late is set if it cannot be answered by its soft deadline.
	Late bool
	// Since is when it began to wait. Its caller leaves at Deadline.
	Since, Deadline time.Time
}

// Order is the order in which the waiting requests of a service are placed: by level, within a
// level by workspace, by start-time fair queueing over the work that was placed, and within a
// workspace by time. It is not safe for concurrent use.
type Order struct {
	levels [NumLevels]levelUsage
	flows  recent[flowKey, flow]

	// plan and the following are reused by each call of Arrange.
	plan     plan
	sequence []int
}

// levelUsage is what a level has got.
type levelUsage struct {
	// virtualTime is the latest virtual time at which work that was placed began.
	virtualTime float64
	// passed is the number of placements of other levels since the last one of this level.
	passed int
	// requestedAt is when the level had a request last.
	requestedAt time.Time
}

type flowKey struct {
	level     Level
	workspace string
}

// flow is what a workspace has got in a level.
type flow struct {
	usage flowUsage

	// planned belongs to the call of Arrange with the number call.
	planned plannedFlow
	call    uint64
}

type flowUsage struct {
	// end is the virtual time at which the work ends that the workspace is charged for.
	end float64
	// sincePrecedence is the number of placements, up to precedenceInterval - 1, since one had
	// precedence because its caller had returned as told.
	sincePrecedence int
}

func (u *flowUsage) hasPrecedence(i *Item) bool {
	return i.Attempt == ReturnedAsTold && !i.Late && u.sincePrecedence >= precedenceInterval-1
}

// charge adds a placement and returns the virtual time at which its work begins.
func (u *flowUsage) charge(virtualTime float64, i *Item) (start float64) {
	if u.hasPrecedence(i) {
		u.sincePrecedence = 0
	} else {
		u.sincePrecedence = min(u.sincePrecedence+1, precedenceInterval-1)
	}

	work := i.Work
	if !(work > 0) || math.IsInf(work, 1) {
		work = 1
	}

	start = u.start(virtualTime)
	u.end = start + work

	return start
}

// start returns the virtual time at which the next work begins.
func (u *flowUsage) start(virtualTime float64) float64 {
	return max(virtualTime-idleCredit, u.end)
}

// Place records that a request is placed.
func (o *Order) Place(now time.Time, i *Item) {
	level := &o.levels[i.Level]
	level.virtualTime = max(level.virtualTime, o.flow(now, i).usage.charge(level.virtualTime, i))
	level.requestedAt = now

	for l := range o.levels {
		if other := &o.levels[l]; now.Sub(other.requestedAt) <= usageTTL {
			other.passed++
		} else {
			other.passed = 0
		}
	}

	level.passed = 0
}

func (o *Order) flow(now time.Time, i *Item) *flow {
	o.flows.ttl, o.flows.capacity = usageTTL, maxFlows

	return o.flows.use(now, flowKey{level: i.Level, workspace: i.Workspace})
}

// Workspaces returns the number of pairs of a workspace and a level that are remembered.
func (o *Order) Workspaces() int { return o.flows.len() }

// plan is the order that results if the waiting requests are placed one after another.
type plan struct {
	call    uint64
	items   []Item
	entries []planEntry
	levels  [NumLevels]plannedLevel
}

type planEntry struct {
	item int
	flow *flow
}

type plannedLevel struct {
	levelUsage

	waiting flowHeap
}

// plannedFlow is the part of a plan for one workspace in a level.
type plannedFlow struct {
	flowUsage

	// number is its position among the workspaces of the plan.
	number int
	// returned are requests in time whose callers have returned as told, others the rest.
	returned, others entryRange
	// startAt is the virtual time at which its next request begins.
	startAt float64
}

// entryRange is a part of plan.entries.
type entryRange struct{ next, end int }

func (r *entryRange) isEmpty() bool { return r.next == r.end }

// Arrange returns the positions of items in the order in which they should be placed. The result is
// valid until the next call.
func (o *Order) Arrange(now time.Time, items []Item) []int {
	o.sequence = o.sequence[:0]

	for i := range items {
		o.levels[items[i].Level].requestedAt = now
	}

	if len(items) < 2 {
		for i := range items {
			o.sequence = append(o.sequence, i)
		}

		return o.sequence
	}

	o.startPlan(now, items)

	for range items {
		o.sequence = append(o.sequence, o.plan.next())
	}

	o.plan.items = nil

	return o.sequence
}

// startPlan groups the items by workspace and level.
func (o *Order) startPlan(now time.Time, items []Item) {
	p := &o.plan
	p.call++
	p.items, p.entries = items, p.entries[:0]
	flows := 0

	for l := range p.levels {
		p.levels[l].levelUsage, p.levels[l].waiting = o.levels[l], p.levels[l].waiting[:0]
	}

	for i := range items {
		f := o.flow(now, &items[i])
		if f.call != p.call {
			f.call, f.planned = p.call, plannedFlow{flowUsage: f.usage, number: flows}
			flows++
		}

		p.entries = append(p.entries, planEntry{item: i, flow: f})
	}

	slices.SortFunc(p.entries, func(a, b planEntry) int {
		if a.flow != b.flow {
			return cmp.Compare(a.flow.planned.number, b.flow.planned.number)
		}

		return cmp.Or(compareItems(&items[a.item], &items[b.item]), cmp.Compare(a.item, b.item))
	})

	for from := 0; from < len(p.entries); {
		f := p.entries[from].flow
		end, others := from, from

		for ; end < len(p.entries) && p.entries[end].flow == f; end++ {
			if partOf(&items[p.entries[end].item]) == partReturned {
				others = end + 1
			}
		}

		level := &p.levels[items[p.entries[from].item].Level]
		f.planned.returned, f.planned.others = entryRange{next: from, end: others}, entryRange{next: others, end: end}
		f.planned.startAt = f.planned.start(level.virtualTime)
		level.waiting = append(level.waiting, f)
		from = end
	}

	for l := range p.levels {
		heap.Init(&p.levels[l].waiting)
	}
}

// The parts of a workspace's requests in a level, in the order in which entries of a plan are
// sorted.
const (
	partReturned = iota
	partInTime
	partLate
	partRepeated
)

func partOf(i *Item) int {
	switch {
	case i.Attempt == RepeatedAtOnce:
		return partRepeated
	case i.Late:
		return partLate
	case i.Attempt == ReturnedAsTold:
		return partReturned
	default:
		return partInTime
	}
}

// compareItems orders the requests of a workspace in a level. Those in time are ordered by their
// arrival, the newest first: in a burst, first come, first served would make every request late.
// Late ones are ordered by their deadlines.
func compareItems(a, b *Item) int {
	switch {
	case partOf(a) != partOf(b):
		return cmp.Compare(partOf(a), partOf(b))
	case a.Late != b.Late && a.Late:
		return 1
	case a.Late != b.Late:
		return -1
	case a.Late:
		return a.Deadline.Compare(b.Deadline)
	default:
		return b.Since.Compare(a.Since)
	}
}

// next returns the position of the item that is placed next.
func (p *plan) next() int {
	level := p.nextLevel()
	f := level.waiting[0]
	i := p.take(&f.planned)
	level.virtualTime = max(level.virtualTime, f.planned.charge(level.virtualTime, &p.items[i]))
	f.planned.startAt = f.planned.end

	if f.planned.returned.isEmpty() && f.planned.others.isEmpty() {
		heap.Pop(&level.waiting)
	} else {
		heap.Fix(&level.waiting, 0)
	}

	for l := range p.levels {
		p.levels[l].passed++
	}

	level.passed = 0

	return i
}

// nextLevel returns the first level with waiting requests, unless another one is due because of its
// floor. With several waiting levels, each is due so early that all can get their floor.
func (p *plan) nextLevel() *plannedLevel {
	var first, due *plannedLevel

	waiting := 0

	for l := range p.levels {
		level := &p.levels[l]
		if len(level.waiting) == 0 {
			continue
		}

		waiting++

		if first == nil {
			first = level
		}

		if due == nil || level.passed > due.passed {
			due = level
		}
	}

	if due.passed >= floorInterval+1-waiting {
		return due
	}

	return first
}

// take removes and returns the position of the item of a workspace that is placed next.
func (p *plan) take(f *plannedFlow) int {
	from := &f.others

	if !f.returned.isEmpty() {
		returned := &p.items[p.entries[f.returned.next].item]

		switch {
		case f.others.isEmpty() || f.hasPrecedence(returned):
			from = &f.returned
		default:
			other := &p.items[p.entries[f.others.next].item]
			if partOf(other) != partInTime || returned.Since.After(other.Since) {
				from = &f.returned
			}
		}
	}

	i := p.entries[from.next].item
	from.next++

	return i
}

// flowHeap orders the workspaces of a level by the virtual time at which their next request begins.
// Of those with equal times, the one that has used its share longer ago comes first.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	a, b := &h[i].planned, &h[j].planned

	return cmp.Or(cmp.Compare(a.startAt, b.startAt), cmp.Compare(a.end, b.end), cmp.Compare(a.number, b.number)) < 0
}

func (h flowHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f, _ := x.(*flow)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	n := len(old) - 1
	f := old[n]
	old[n] = nil
	*h = old[:n]

	return f
}
