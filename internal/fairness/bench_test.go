package fairness_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleygate/parsleygate/internal/fairness"
)

// The model: one entry with some slots; requests of gamma length, mean 1 s, come
// with 6 s until their deadline. A request that has started holds its slot to its
// end, whether or not its caller still waits.
const (
	slots    = 32
	patience = 6 * time.Second
	modelEnd = 120 * time.Second
)

// door is a way of admitting requests.
type door struct {
	offer  func(now time.Time, it fairness.Item) (fairness.Action, []fairness.Action)
	finish func(now time.Time, id uint64) []fairness.Action
	tick   func(now time.Time) []fairness.Action
}

// firstIn is first come, first served, with at most that many waiting.
func firstIn(most int) door {
	var (
		line []uint64
		busy int
	)

	return door{
		offer: func(_ time.Time, it fairness.Item) (fairness.Action, []fairness.Action) {
			switch {
			case busy < slots:
				busy++

				return fairness.Action{ID: it.ID, Kind: fairness.Start}, nil
			case len(line) >= most:
				return fairness.Action{ID: it.ID, Kind: fairness.Refuse}, nil
			default:
				line = append(line, it.ID)

				return fairness.Action{ID: it.ID, Kind: fairness.Wait}, nil
			}
		},
		finish: func(time.Time, uint64) []fairness.Action {
			if len(line) == 0 {
				busy--

				return nil
			}

			id := line[0]
			line = line[1:]

			return []fairness.Action{{ID: id, Kind: fairness.Start}}
		},
		tick: func(time.Time) []fairness.Action { return nil },
	}
}

func fairQueue(s fairness.Settings) door {
	q := newQueue(1)
	q.Settings = s
	q.SetCapacity(epoch, slots)

	return door{offer: q.Offer, finish: q.Finish, tick: q.Tick}
}

// happening is something that happens at a time in the model.
type happening struct {
	at time.Duration
	do func()
}

type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	old := *a
	h := old[len(old)-1]
	*a = old[:len(old)-1]

	return h
}

// request is one request in the model.
type request struct {
	ws      int
	arrived time.Duration
}

// bench runs one door. Rates are requests a second by workspace.
type bench struct {
	door
	rng      *rand.Rand
	now      time.Duration
	agenda   agenda
	next     uint64
	requests map[uint64]request

	offered, inTime          []float64
	late, refused, refusedIn float64
}

func (b *bench) after(d time.Duration, do func()) {
	heap.Push(&b.agenda, happening{at: b.now + d, do: do})
}

func (b *bench) run(rates []float64) {
	b.requests = map[uint64]request{}
	b.offered, b.inTime = make([]float64, len(rates)), make([]float64, len(rates))

	for ws, r := range rates {
		b.arrivals(ws, r)
	}

	b.ticks()

	for len(b.agenda) > 0 && b.agenda[0].at < modelEnd {
		h, _ := heap.Pop(&b.agenda).(happening)
		b.now = h.at
		h.do()
	}
}

func (b *bench) ticks() {
	b.after(100*time.Millisecond, func() {
		b.take(b.tick(epoch.Add(b.now)))
		b.ticks()
	})
}

func (b *bench) arrivals(ws int, rate float64) {
	b.after(time.Duration(b.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		b.next++
		b.requests[b.next] = request{ws: ws, arrived: b.now}
		b.offered[ws]++

		own, others := b.offer(epoch.Add(b.now), fairness.Item{
			ID: b.next, Workspace: fmt.Sprintf("w%d", ws), Deadline: epoch.Add(b.now + patience),
		})
		b.take(append(others, own))
		b.arrivals(ws, rate)
	})
}

func (b *bench) take(actions []fairness.Action) {
	for _, a := range actions {
		switch a.Kind {
		case fairness.Start:
			size := 0.0
			for range 4 {
				size += b.rng.ExpFloat64() / 4
			}

			b.after(time.Duration(size*float64(time.Second)), func() { b.done(a.ID) })
		case fairness.Refuse:
			b.refused++
			b.refusedIn += (b.now - b.requests[a.ID].arrived).Seconds()
			delete(b.requests, a.ID)
		case fairness.Wait:
		}
	}
}

func (b *bench) done(id uint64) {
	r := b.requests[id]
	delete(b.requests, id)

	if b.now-r.arrived <= patience {
		b.inTime[r.ws]++
	} else {
		b.late++
	}

	b.take(b.finish(epoch.Add(b.now), id))
}

func sum(v []float64) float64 {
	s := 0.0
	for _, x := range v {
		s += x
	}

	return s
}

// jain is Jain's index of what each workspace got, against its fair part: the
// smaller of its demand and an equal share of what the others leave.
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

type doorWay struct {
	name string
	make func() door
}

func doors() []doorWay {
	return []doorWay{
		{"FirstIn", func() door { return firstIn(1 << 30) }},
		{"FirstInShort", func() door { return firstIn(2 * slots) }},
		{"Former", func() door { return fairQueue(fairness.Settings{Margin: 0.5, Reserve: 1}) }},
		{"Ours", func() door { return fairQueue(fairness.Settings{}) }},
	}
}

// BenchmarkGoodput measures answers in time at 0.9, 2 and 5 times the capacity,
// ten workspaces of which two are large.
func BenchmarkGoodput(b *testing.B) {
	for _, load := range []float64{0.9, 1, 2, 5} {
		for _, w := range doors() {
			b.Run(fmt.Sprintf("load=%.1f/%s", load, w.name), func(b *testing.B) {
				rates := make([]float64, 10)
				for i := range rates {
					rates[i] = slots * load * 0.4 / 8
				}

				rates[0], rates[1] = slots*load*0.3, slots*load*0.3
				measure(b, w, rates)
			})
		}
	}
}

// BenchmarkFlood measures the share of small workspaces beside a flooding one.
func BenchmarkFlood(b *testing.B) {
	for _, w := range doors() {
		b.Run(w.name, func(b *testing.B) {
			rates := make([]float64, 10)
			for i := range rates {
				rates[i] = 1
			}

			rates[0] = 10 * slots
			measure(b, w, rates)
		})
	}
}

// seeds is how many runs the figures are the means of.
const seeds = 5

func measure(b *testing.B, w doorWay, rates []float64) {
	b.Helper()

	var goodput, late, fair, small, after float64

	for seed := range uint64(seeds) {
		m := &bench{door: w.make(), rng: rand.New(rand.NewPCG(seed, 5))}
		m.run(rates)

		capacity, last := slots*modelEnd.Seconds(), len(rates)-1
		goodput += 100 * sum(m.inTime) / min(capacity, sum(m.offered))
		late += 100 * m.late / sum(m.offered)
		fair += jain(m.inTime, m.offered, capacity)
		small += 100 * m.inTime[last] / m.offered[last]
		after += m.refusedIn / max(1, m.refused)
	}

	b.ReportMetric(goodput/seeds, "goodput-%")
	b.ReportMetric(late/seeds, "late-%")
	b.ReportMetric(fair/seeds, "jain")
	b.ReportMetric(small/seeds, "small-%")
	b.ReportMetric(after/seeds, "refused-after-s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkOffer is the cost of one request through the queue: started at once;
// and waiting among 13,000 workspaces that all have work.
func BenchmarkOffer(b *testing.B) {
	for _, n := range []int{1, 13000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			q := newQueue(1)
			q.Settings.Most = 4 * n
			q.SetCapacity(epoch, 64)

			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("w%d", i)
			}

			var id uint64

			for range 2*n + 62 {
				id++
				q.Offer(epoch, fairness.Item{ID: id, Workspace: names[int(id)%n]})
			}

			oldest := uint64(0)

			b.ReportAllocs()

			for b.Loop() {
				id++
				oldest++
				q.Offer(epoch, fairness.Item{ID: id, Workspace: names[int(id)%n]})
				q.Finish(epoch, oldest)
			}

			b.ReportMetric(float64(q.State().Workspaces), "workspaces")
		})
	}
}
