package fairness

import "time"

// priorityLevels is the number of distinct priorities.
const priorityLevels = 4

// levelOf maps a priority to its level. Level 0 is served last.
func levelOf(priority int) int { return min(max(priority, -1), priorityLevels-2) + 1 }

// itemState is one waiting or running item.
type itemState struct {
	Item

	flow  *flow
	level int
	// work is the expected time in a slot, in nanoseconds.
	work float64
	// latestUsefulStart is the last time at which the item can start and still end by
	// its deadline; zero for none.
	latestUsefulStart time.Time
	startedAt         time.Time
	running           bool

	prev, next  *itemState
	expiryIndex int
}

// fifo is the queue of one priority.
type fifo struct {
	first, last *itemState
	work        float64
}

func (l *fifo) pushBack(e *itemState) {
	e.prev, e.next = l.last, nil
	if l.last == nil {
		l.first = e
	} else {
		l.last.next = e
	}

	l.last = e
	l.work += e.work
}

func (l *fifo) pushFront(e *itemState) {
	e.prev, e.next = nil, l.first
	if l.first == nil {
		l.last = e
	} else {
		l.first.prev = e
	}

	l.first = e
	l.work += e.work
}

func (l *fifo) remove(e *itemState) {
	if e.prev == nil {
		l.first = e.next
	} else {
		e.prev.next = e.next
	}

	if e.next == nil {
		l.last = e.prev
	} else {
		e.next.prev = e.prev
	}

	e.prev, e.next = nil, nil
	l.work -= e.work

	if l.first == nil {
		l.work = 0
	}
}

// flow is one workspace that has waiting or running items, or has used more than its
// share.
type flow struct {
	name   string
	weight float64
	// virtualStart is the virtual time at which the flow's next item is due.
	virtualStart float64
	fifos        [priorityLevels]fifo
	waiting      int
	running      int
	// lastEndedAt is when an item of the flow last ended.
	lastEndedAt time.Time
	// heapIndex is the flow's index in Queue.backlog, or -1 if it has no waiting items.
	heapIndex int
}

// head returns the item to be served next.
func (f *flow) head() *itemState {
	for l := priorityLevels - 1; l >= 0; l-- {
		if f.fifos[l].first != nil {
			return f.fifos[l].first
		}
	}

	return nil
}

// tail returns the item to be served last.
func (f *flow) tail() *itemState {
	for l := range f.fifos {
		if f.fifos[l].last != nil {
			return f.fifos[l].last
		}
	}

	return nil
}

// workAhead returns the waiting work served before a new item of the given level.
func (f *flow) workAhead(level int) float64 {
	work := 0.0
	for l := level; l < priorityLevels; l++ {
		work += f.fifos[l].work
	}

	return work
}

// flowHeap orders flows by virtualStart.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].virtualStart < h[j].virtualStart }
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f, _ := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	n := len(old) - 1
	f := old[n]
	old[n] = nil
	*h = old[:n]
	f.heapIndex = -1

	return f
}

// expiryHeap orders waiting items by latestUsefulStart.
type expiryHeap []*itemState

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].latestUsefulStart.Before(h[j].latestUsefulStart) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e, _ := x.(*itemState)
	e.expiryIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	n := len(old) - 1
	e := old[n]
	old[n] = nil
	*h = old[:n]
	e.expiryIndex = -1

	return e
}
