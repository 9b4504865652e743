package routing_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

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

// modelTarget is a target with its agent.
type modelTarget struct {
	routing.Target

	warmLimit int
	limit     int
	inFlight  int
	slow      float64
	failFast  bool
	down      bool
	// lagged is the load last reported by the engine.
	lagged   int
	laggedAt time.Duration
	granted  map[int]grant
	served   int
	done     int
	worst    int
	cache    []uint64
}

type grant struct {
	slots int
	ends  time.Duration
}

// picker is a way of choosing, at one entry. Target numbers are the model's.
type picker struct {
	choose func(now time.Time, ask routing.Ask) (target int, retryAt time.Time)
	report func(taken time.Time, target, inFlight, limit int, cold bool)
	credit func(target, slots int, ends time.Time)
	begin  func(target int, wait time.Duration)
	finish func(now time.Time, target int, ev routing.Finished)
	change func(list []routing.Target)
	room   func(now time.Time) int
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

	results results
}

// results are what a run measures.
type results struct {
	offered, answered, late, refused, tries int
	latencies                               []float64
	imbalance                               []float64
	hits, blocks                            int
	// answeredAt counts what was answered in time, by second of its end.
	answeredAt, offeredAt map[int]int
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
	ask      routing.Ask
	ended    func(inTime bool)
}

func (m *model) newJob(e *modelEntry) *job {
	m.results.offered++
	m.results.offeredAt[int(m.now/time.Second)]++

	j := &job{entry: e, arrived: m.now, deadline: m.now + m.deadline, size: m.size()}
	j.ask = routing.Ask{Service: service, Zone: e.zone, Region: "central-th", Idempotent: true}

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
	m.results.tries++

	i, retryAt := j.entry.choose(m.clock(), j.ask)
	if i < 0 {
		m.again(j, max(retryAt.Sub(m.clock()), 10*time.Millisecond))

		return
	}

	sent := m.now
	m.after(hop, func() { m.arrive(j, m.targets[i], i, sent) })
}

// again tries once more after a pause, or gives up.
func (m *model) again(j *job, pause time.Duration) {
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

// arrive is the agent's door.
func (m *model) arrive(j *job, t *modelTarget, i int, sent time.Duration) {
	cause := verdict.Cause("")

	switch {
	case t.down:
		cause = verdict.CauseTargetDown
	case t.ZoneOut:
		cause = verdict.CauseZoneOut
	case t.inFlight >= t.limit && t.Cold:
		cause = verdict.CauseColdLimit
	case t.inFlight >= t.limit:
		cause = verdict.CauseOverload
	case t.failFast:
		cause = verdict.CauseBroken
	}

	if cause != "" {
		j.ask.Excluded = append(j.ask.Excluded, t.AgentID)
		m.after(hop, func() {
			m.tell(j.entry, i)
			j.entry.finish(m.clock(), i, routing.Finished{Verdict: verdict.NotRun, Cause: cause, Duration: m.now - sent})
			m.again(j, 0)
		})

		return
	}

	m.serve(j, t, i, sent)
}

func (m *model) serve(j *job, t *modelTarget, i int, sent time.Duration) {
	t.inFlight++
	t.served++

	if t.Cold {
		t.worst = max(t.worst, t.inFlight-t.limit)
	}

	held := t.lookUp(j.ask.Prefixes)
	m.results.hits += held
	m.results.blocks += len(j.ask.Prefixes)

	// A full batch takes 1.0 of base, an empty one 0.6; a held prefix saves up to 0.4 of it.
	fullness := float64(t.inFlight) / float64(t.warmLimit)
	factor := (0.6 + 0.4*fullness) * t.slow

	if n := len(j.ask.Prefixes); n > 0 {
		factor *= 1 - 0.4*float64(held)/float64(n)
	}

	if t.Cold {
		factor *= 1.5
	}

	took := time.Duration(factor * j.size * float64(m.base))
	incarnation := t.Incarnation

	m.after(took/10+hop, func() { j.entry.begin(i, m.now-sent) })
	m.after(took, func() {
		t.inFlight--
		m.ramp(t, incarnation)
	})
	m.after(took+hop, func() { m.answered(j, i, sent) })
}

// ramp grows a cold target's limit by what it has completed.
func (m *model) ramp(t *modelTarget, incarnation uint64) {
	if !t.Cold || t.Incarnation != incarnation {
		return
	}

	t.done++
	t.limit = min(1+t.done/2, t.warmLimit)

	if t.limit == t.warmLimit {
		t.Cold = false
	}
}

func (m *model) answered(j *job, i int, sent time.Duration) {
	m.tell(j.entry, i)
	j.entry.finish(m.clock(), i, routing.Finished{Verdict: verdict.Ran, Duration: m.now - sent})

	inTime := m.now <= j.deadline
	if inTime {
		m.results.answered++
		m.results.answeredAt[int(m.now/time.Second)]++
	} else {
		m.results.late++
	}

	m.results.latencies = append(m.results.latencies, (m.now - j.arrived).Seconds())
	m.end(j, inTime)
}

// tell gives an entry an agent's report and credit.
func (m *model) tell(e *modelEntry, i int) {
	t := m.targets[i]
	load, at := t.lagged, t.laggedAt

	if m.lag == 0 {
		load, at = t.inFlight, m.now
	}

	e.report(epoch.Add(at), i, load, t.limit, t.Cold)
	slots := t.grant(m.now, e.index, len(m.entries))
	e.credit(i, slots, epoch.Add(m.now+creditLife))
}

const creditLife = 2 * time.Second

// grant shares the limit among the entries: a warm one generously, a cold one exactly.
func (t *modelTarget) grant(now time.Duration, entry, entries int) int {
	if !t.Cold {
		return max(2, 2*t.limit/min(entries, 4))
	}

	free := t.limit
	for e, g := range t.granted {
		if e != entry && g.ends > now {
			free -= g.slots
		}
	}

	slots := max(0, min(free, (t.limit+min(entries, 4)-1)/min(entries, 4)))
	t.granted[entry] = grant{slots: slots, ends: now + creditLife}

	return slots
}

// lookUp returns how many blocks are cached, and caches all, oldest out first.
func (t *modelTarget) lookUp(blocks []uint64) int {
	held := 0
	for held < len(blocks) && slices.Contains(t.cache, blocks[held]) {
		held++
	}

	for _, b := range blocks {
		if k := slices.Index(t.cache, b); k >= 0 {
			t.cache = slices.Delete(t.cache, k, k+1)
		}

		t.cache = append(t.cache, b)
	}

	if over := len(t.cache) - cacheBlocks; over > 0 {
		t.cache = slices.Delete(t.cache, 0, over)
	}

	return held
}

// cacheBlocks is how many blocks a target's cache holds.
const cacheBlocks = 64

// every repeats do until the horizon.
func (m *model) every(d time.Duration, do func()) {
	m.after(d, func() {
		do()
		m.every(d, do)
	})
}

// watch samples the imbalance, keeps the lagged reports and renews credits.
func (m *model) watch(from time.Duration) {
	if m.lag > 0 {
		for _, t := range m.targets {
			m.after(time.Duration(m.rng.Int64N(int64(m.lag))), func() {
				m.every(m.lag, func() { t.lagged, t.laggedAt = t.inFlight, m.now })
			})
		}
	}

	for _, e := range m.entries {
		for _, i := range e.subset {
			m.after(time.Duration(m.rng.Int64N(int64(time.Second))), func() {
				m.every(time.Second, func() { m.tell(e, i) })
			})
		}
	}

	m.every(100*time.Millisecond, func() {
		if m.now >= from {
			m.results.imbalance = append(m.results.imbalance, m.spread())
		}
	})
}

// spread is the standard deviation of the targets' fullness over its mean.
func (m *model) spread() float64 {
	sum, squares, n := 0.0, 0.0, 0.0

	for _, t := range m.targets {
		if t.ZoneOut || t.down {
			continue
		}

		x := float64(t.inFlight) / float64(t.limit)
		sum += x
		squares += x * x
		n++
	}

	if sum == 0 {
		return 0
	}

	mean := sum / n

	return math.Sqrt(max(0, squares/n-mean*mean)) / mean
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}

	s := slices.Clone(v)
	slices.Sort(s)

	return s[int(q*float64(len(s)-1))]
}

func mean(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}

	sum := 0.0
	for _, x := range v {
		sum += x
	}

	return sum / float64(len(v))
}
