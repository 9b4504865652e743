package routing_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/parsleygate/parsleygate/internal/prefix"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// The model: entries send requests of exponential length to targets that batch
// continuously, so that a fuller target answers more slowly. Agents refuse what
// is above the limit, and report load that is up to lag old.

// hop is one way between an entry and a target.
const hop = time.Millisecond

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	n := len(old) - 1
	e := old[n]
	*h = old[:n]

	return e
}

// picker is a way of choosing, at one entry. Target numbers are the model's.
type picker struct {
	choose func(now time.Time, ask routing.Request) (target int, retryAt time.Time)
	report func(taken time.Time, target, inFlight, limit int, cold bool)
	credit func(now time.Time, target, slots int, ends time.Time)
	begin  func(now time.Time, target int, wait time.Duration)
	finish func(now time.Time, target int, ev routing.Finished)
	change func(list []routing.Target)
	room   func(now time.Time) routing.Capacity
	asks   func(now time.Time) []routing.CreditRequest
	silent func(now time.Time, target int)
	cache  func(ev prefix.Event)
}

type modelEntry struct {
	picker

	index  int
	zone   string
	subset []int
}

// model runs one scenario.
type model struct {
	rng     *rand.Rand
	now     time.Duration
	events  eventHeap
	seq     int
	targets []*modelTarget
	entries []*modelEntry
	// base is the time of a usual request alone at a target.
	base     time.Duration
	lag      time.Duration
	deadline time.Duration
	horizon  time.Duration
	prefixOf func() []uint64
	// events says that cache events reach the entries, late and with gaps.
	cacheEvents bool

	results results
}

func (m *model) clock() time.Time { return epoch.Add(m.now) }

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{at: m.now + d, seq: m.seq, do: do})
}

func (m *model) run() {
	for len(m.events) > 0 {
		e, _ := heap.Pop(&m.events).(event)
		if e.at > m.horizon {
			return
		}

		m.now = e.at
		e.do()
	}
}

// arrivals starts a Poisson stream of requests over all entries.
func (m *model) arrivals(perSecond float64, until time.Duration, start func(*modelEntry)) {
	gap := time.Duration(m.rng.ExpFloat64() / perSecond * float64(time.Second))
	if m.now+gap > until {
		return
	}

	m.after(gap, func() {
		start(m.entries[m.rng.IntN(len(m.entries))])
		m.arrivals(perSecond, until, start)
	})
}

// job is one request in the model.
type job struct {
	entry    *modelEntry
	arrived  time.Duration
	deadline time.Duration
	size     float64
	tries    int
	ask      routing.Request
	ended    func(inTime bool)
	noRoom   func()
}

func (m *model) newJob(e *modelEntry) *job {
	m.results.offered++
	m.results.offeredAt[int(m.now/time.Second)]++

	j := &job{entry: e, arrived: m.now, deadline: m.now + m.deadline, size: m.size()}
	j.ask = routing.Request{Service: service, Zone: e.zone, Region: "central-th", Idempotent: true}

	if m.prefixOf != nil {
		j.ask.Prefixes = m.prefixOf()
	}

	return j
}

// size is a request's work: a gamma of shape 4, mean 1.
func (m *model) size() float64 {
	return (m.rng.ExpFloat64() + m.rng.ExpFloat64() + m.rng.ExpFloat64() + m.rng.ExpFloat64()) / 4
}

// mostTries bounds what a request may cost; each way of choosing has the same.
const mostTries = 3

// try sends a job to a target, and again after a refusal.
func (m *model) try(j *job) {
	j.tries++

	i, retryAt := j.entry.choose(m.clock(), j.ask)
	if i >= 0 {
		m.results.tries++
	}

	if i < 0 && j.noRoom != nil {
		j.ask.Excluded = nil
		m.after(max(retryAt.Sub(m.clock()), hop), j.noRoom)

		return
	}

	if i < 0 {
		m.again(j, max(retryAt.Sub(m.clock()), 10*time.Millisecond))

		return
	}

	sent := m.now
	if m.targets[i].down {
		m.after(silence, func() { m.refuse(j, i, verdict.CauseTargetDown, sent) })

		return
	}

	m.after(hop, func() { m.arrive(j, m.targets[i], i, sent) })
}

// again tries once more after a pause, or gives up.
func (m *model) again(j *job, pause time.Duration) {
	if j.tries >= mostTries && j.noRoom != nil {
		j.ask.Excluded, j.tries = nil, 0
		m.after(max(pause, 10*time.Millisecond), j.noRoom)

		return
	}

	if j.tries >= mostTries || m.now+pause > j.deadline {
		m.results.refused++
		m.end(j, false)

		return
	}

	m.after(pause, func() { m.try(j) })
}

func (m *model) end(j *job, inTime bool) {
	if j.ended != nil {
		j.ended(inTime)
	}
}

func (m *model) answered(j *job, i int, sent time.Duration) {
	m.tell(j.entry, i)
	j.entry.finish(m.clock(), i, routing.Finished{Verdict: verdict.Ran, Duration: m.now - sent})

	inTime := m.now <= j.deadline
	if inTime {
		m.results.answered++
		m.results.answeredAt[int(j.arrived/time.Second)]++
		m.results.endedAt[int(m.now/time.Second)]++
	} else {
		m.results.late++
	}

	m.results.latencies = append(m.results.latencies, (m.now - j.arrived).Seconds())
	m.end(j, inTime)
}
