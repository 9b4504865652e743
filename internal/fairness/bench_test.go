package fairness_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleygate/parsleygate/internal/fairness"
)

// The simulation: one entry with a number of slots. Requests take a gamma-distributed
// time with mean 1 s and arrive 6 s before their deadline. A started request holds its
// slot to its end, whether or not its caller still waits.
const (
	slots          = 32
	requestTimeout = 6 * time.Second
	modelEnd       = 120 * time.Second
)

// policy is an admission policy.
type policy struct {
	submit func(now time.Time, it fairness.Item) (fairness.Action, []fairness.Action)
	finish func(now time.Time, id uint64) []fairness.Action
	tick   func(now time.Time) []fairness.Action
}

// fifoPolicy is first come, first served, with at most maxWaiting requests waiting.
func fifoPolicy(maxWaiting int) policy {
	var (
		waiting []uint64
		busy    int
	)

	return policy{
		submit: func(_ time.Time, it fairness.Item) (fairness.Action, []fairness.Action) {
			switch {
			case busy < slots:
				busy++

				return fairness.Action{ID: it.ID, Kind: fairness.Start}, nil
			case len(waiting) >= maxWaiting:
				return fairness.Action{ID: it.ID, Kind: fairness.Refuse}, nil
			default:
				waiting = append(waiting, it.ID)

				return fairness.Action{ID: it.ID, Kind: fairness.Wait}, nil
			}
		},
		finish: func(time.Time, uint64) []fairness.Action {
			if len(waiting) == 0 {
				busy--

				return nil
			}

			id := waiting[0]
			waiting = waiting[1:]

			return []fairness.Action{{ID: id, Kind: fairness.Start}}
		},
		tick: func(time.Time) []fairness.Action { return nil },
	}
}

func fairQueue(s fairness.Settings) policy {
	q := newQueue(1)
	q.Settings = s
	q.SetCapacity(epoch, slots)

	return policy{submit: q.Submit, finish: q.Finish, tick: q.Tick}
}

// event is a scheduled action.
type event struct {
	at time.Duration
	do func()
}

type eventHeap []event

func (a eventHeap) Len() int           { return len(a) }
func (a eventHeap) Less(i, j int) bool { return a[i].at < a[j].at }
func (a eventHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventHeap) Push(x any)        { *a = append(*a, x.(event)) }
func (a *eventHeap) Pop() any {
	old := *a
	h := old[len(old)-1]
	*a = old[:len(old)-1]

	return h
}

// request is one simulated request.
type request struct {
	ws      int
	arrived time.Duration
}

// simulation runs one policy.
type simulation struct {
	policy
	rng      *rand.Rand
	now      time.Duration
	events   eventHeap
	next     uint64
	requests map[uint64]request

	offered, answeredInTime     []float64
	late, refused, refusalDelay float64
}

func (b *simulation) after(d time.Duration, do func()) {
	heap.Push(&b.events, event{at: b.now + d, do: do})
}

func (b *simulation) run(rates []float64) {
	b.requests = map[uint64]request{}
	b.offered, b.answeredInTime = make([]float64, len(rates)), make([]float64, len(rates))

	for ws, r := range rates {
		b.arrivals(ws, r)
	}

	b.ticks()

	for len(b.events) > 0 && b.events[0].at < modelEnd {
		h, _ := heap.Pop(&b.events).(event)
		b.now = h.at
		h.do()
	}
}

func (b *simulation) ticks() {
	b.after(100*time.Millisecond, func() {
		b.apply(b.tick(epoch.Add(b.now)))
		b.ticks()
	})
}

func (b *simulation) arrivals(ws int, rate float64) {
	b.after(time.Duration(b.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		b.next++
		b.requests[b.next] = request{ws: ws, arrived: b.now}
		b.offered[ws]++

		itemAction, otherActions := b.submit(epoch.Add(b.now), fairness.Item{
			ID: b.next, Workspace: fmt.Sprintf("w%d", ws), Deadline: epoch.Add(b.now + requestTimeout),
		})
		b.apply(append(otherActions, itemAction))
		b.arrivals(ws, rate)
	})
}

func (b *simulation) apply(actions []fairness.Action) {
	for _, a := range actions {
		switch a.Kind {
		case fairness.Start:
			size := 0.0
			for range 4 {
				size += b.rng.ExpFloat64() / 4
			}

			b.after(time.Duration(size*float64(time.Second)), func() { b.complete(a.ID) })
		case fairness.Refuse:
			b.refused++
			b.refusalDelay += (b.now - b.requests[a.ID].arrived).Seconds()
			delete(b.requests, a.ID)
		case fairness.Wait:
		}
	}
}

func (b *simulation) complete(id uint64) {
	r := b.requests[id]
	delete(b.requests, id)

	if b.now-r.arrived <= requestTimeout {
		b.answeredInTime[r.ws]++
	} else {
		b.late++
	}

	b.apply(b.finish(epoch.Add(b.now), id))
}

func sum(v []float64) float64 {
	s := 0.0
	for _, x := range v {
		s += x
	}

	return s
}

// jain returns Jain's fairness index of what each workspace got, relative to its
// max-min fair share.
func jain(got, demand []float64, capacity float64) float64 {
	fair := waterFill(demand, capacity)
	s, squares := 0.0, 0.0

	for i := range got {
		x := got[i] / fair[i]
		s += x
		squares += x * x
	}

	return s * s / (float64(len(got)) * squares)
}

func waterFill(demand []float64, capacity float64) []float64 {
	level, step := 0.0, capacity
	for range 60 {
		step /= 2

		used := 0.0
		for _, d := range demand {
			used += min(d, level+step)
		}

		if used <= capacity {
			level += step
		}
	}

	out := make([]float64, len(demand))
	for i, d := range demand {
		out[i] = min(d, max(level, 1e-9))
	}

	return out
}

type namedPolicy struct {
	name string
	make func() policy
}

func policies() []namedPolicy {
	return []namedPolicy{
		{"FIFO", func() policy { return fifoPolicy(1 << 30) }},
		{"FIFOShort", func() policy { return fifoPolicy(2 * slots) }},
		{"Previous", func() policy { return fairQueue(fairness.Settings{DeadlineMargin: 0.5, WaitFactor: 1}) }},
		{"FairQueue", func() policy { return fairQueue(fairness.Settings{}) }},
	}
}

// BenchmarkGoodput measures requests answered in time at 0.9, 1, 2 and 5 times the
// capacity, with ten workspaces of which two are large.
func BenchmarkGoodput(b *testing.B) {
	for _, load := range []float64{0.9, 1, 2, 5} {
		for _, p := range policies() {
			b.Run(fmt.Sprintf("load=%.1f/%s", load, p.name), func(b *testing.B) {
				rates := make([]float64, 10)
				for i := range rates {
					rates[i] = slots * load * 0.4 / 8
				}

				rates[0], rates[1] = slots*load*0.3, slots*load*0.3
				measure(b, p, rates)
			})
		}
	}
}

// BenchmarkFlood measures the goodput of small workspaces beside one that floods the
// entry.
func BenchmarkFlood(b *testing.B) {
	for _, p := range policies() {
		b.Run(p.name, func(b *testing.B) {
			rates := make([]float64, 10)
			for i := range rates {
				rates[i] = 1
			}

			rates[0] = 10 * slots
			measure(b, p, rates)
		})
	}
}

// seeds is the number of runs over which the results are averaged.
const seeds = 5

func measure(b *testing.B, p namedPolicy, rates []float64) {
	b.Helper()

	var goodput, late, fair, smallShare, refusalDelay float64

	for seed := range uint64(seeds) {
		sim := &simulation{policy: p.make(), rng: rand.New(rand.NewPCG(seed, 5))}
		sim.run(rates)

		capacity, last := slots*modelEnd.Seconds(), len(rates)-1
		goodput += 100 * sum(sim.answeredInTime) / min(capacity, sum(sim.offered))
		late += 100 * sim.late / sum(sim.offered)
		fair += jain(sim.answeredInTime, sim.offered, capacity)
		smallShare += 100 * sim.answeredInTime[last] / sim.offered[last]
		refusalDelay += sim.refusalDelay / max(1, sim.refused)
	}

	b.ReportMetric(goodput/seeds, "goodput-%")
	b.ReportMetric(late/seeds, "late-%")
	b.ReportMetric(fair/seeds, "jain")
	b.ReportMetric(smallShare/seeds, "small-%")
	b.ReportMetric(refusalDelay/seeds, "refused-after-s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkSubmit measures one request through the queue, for one workspace and for
// 13,000 workspaces that all have waiting requests.
func BenchmarkSubmit(b *testing.B) {
	for _, n := range []int{1, 13000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			q := newQueue(1)
			q.Settings.MaxWaiting = 4 * n
			q.SetCapacity(epoch, 64)

			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("w%d", i)
			}

			var id uint64

			for range 2*n + 62 {
				id++
				q.Submit(epoch, fairness.Item{ID: id, Workspace: names[int(id)%n]})
			}

			oldest := uint64(0)

			b.ReportAllocs()

			for b.Loop() {
				id++
				oldest++
				q.Submit(epoch, fairness.Item{ID: id, Workspace: names[int(id)%n]})
				q.Finish(epoch, oldest)
			}

			b.ReportMetric(float64(q.State().Workspaces), "workspaces")
		})
	}
}
