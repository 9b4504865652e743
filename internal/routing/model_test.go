package routing_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/parsleygate/parsleygate/internal/prefix"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// The simulation: entries send requests with gamma-distributed work to targets that use
// continuous batching, so that a fuller target answers more slowly. Agents refuse
// requests above the limit. The load that they report is up to reportLag old.

// oneWayDelay is the network delay between an entry and a target.
const oneWayDelay = time.Millisecond

// event is a scheduled action.
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

// picker is a load-balancing policy at one entry. Targets are identified by their index
// in the model.
type picker struct {
	choose         func(now time.Time, req routing.Request) (target int, retryAt time.Time)
	report         func(taken time.Time, target, inFlight, limit int, cold bool)
	credit         func(now time.Time, target, slots int, expiresAt time.Time)
	firstByte      func(now time.Time, target int, wait time.Duration)
	finish         func(now time.Time, target int, ev routing.Finished)
	setTargets     func(list []routing.Target)
	capacity       func(now time.Time) routing.Capacity
	creditRequests func(now time.Time) []routing.CreditRequest
	unresponsive   func(now time.Time, target int)
	cacheEvent     func(ev prefix.Event)
}

type modelEntry struct {
	picker

	index  int
	zone   string
	subset []int
}

// model simulates one scenario.
type model struct {
	rng     *rand.Rand
	now     time.Duration
	events  eventHeap
	seq     int
	targets []*modelTarget
	entries []*modelEntry
	// baseServiceTime is the time of a request of mean work in a full warm batch
	// without cached prefixes.
	baseServiceTime time.Duration
	reportLag       time.Duration
	deadline        time.Duration
	horizon         time.Duration
	prefixOf        func() []uint64
	// cacheEvents is true if cache events reach the entries, late and with gaps.
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

// job is one simulated request.
type job struct {
	entry        *modelEntry
	arrived      time.Duration
	deadline     time.Duration
	work         float64
	attempts     int
	req          routing.Request
	onEnd        func(inTime bool)
	onNoCapacity func()
}

func (m *model) newJob(e *modelEntry) *job {
	m.results.offered++
	m.results.offeredAt[int(m.now/time.Second)]++

	j := &job{entry: e, arrived: m.now, deadline: m.now + m.deadline, work: m.drawWork()}
	j.req = routing.Request{Service: service, Zone: e.zone, Region: "central-th", Idempotent: true}

	if m.prefixOf != nil {
		j.req.Prefixes = m.prefixOf()
	}

	return j
}

// drawWork draws a request's work from a gamma distribution of shape 4 and mean 1.
func (m *model) drawWork() float64 {
	return (m.rng.ExpFloat64() + m.rng.ExpFloat64() + m.rng.ExpFloat64() + m.rng.ExpFloat64()) / 4
}

// maxAttempts limits the attempts of a request. It is the same for all policies.
const maxAttempts = 3

// attempt sends a job to a target, and retries after a refusal.
func (m *model) attempt(j *job) {
	j.attempts++

	i, retryAt := j.entry.choose(m.clock(), j.req)
	if i >= 0 {
		m.results.attempts++
	}

	if i < 0 && j.onNoCapacity != nil {
		j.req.Excluded = nil
		m.after(max(retryAt.Sub(m.clock()), oneWayDelay), j.onNoCapacity)

		return
	}

	if i < 0 {
		m.retry(j, max(retryAt.Sub(m.clock()), 10*time.Millisecond))

		return
	}

	sent := m.now
	if m.targets[i].down {
		m.after(connectionTimeout, func() { m.refuse(j, i, verdict.CauseTargetDown, sent) })

		return
	}

	m.after(oneWayDelay, func() { m.arrive(j, m.targets[i], i, sent) })
}

// retry makes another attempt after a pause, or ends the job as refused.
func (m *model) retry(j *job, delay time.Duration) {
	if j.attempts >= maxAttempts && j.onNoCapacity != nil {
		j.req.Excluded, j.attempts = nil, 0
		m.after(max(delay, 10*time.Millisecond), j.onNoCapacity)

		return
	}

	if j.attempts >= maxAttempts || m.now+delay > j.deadline {
		m.results.refused++
		m.end(j, false)

		return
	}

	m.after(delay, func() { m.attempt(j) })
}

func (m *model) end(j *job, inTime bool) {
	if j.onEnd != nil {
		j.onEnd(inTime)
	}
}

func (m *model) answered(j *job, i int, sent time.Duration) {
	m.sendReport(j.entry, i)
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
