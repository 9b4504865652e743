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
	limit     float64
	inFlight  int
	// doubled is the limit that the ramp may reach before doubleAt.
	doubled  float64
	doubleAt time.Duration
	slow     float64
	failFast bool
	down     bool
	// lagged is the load last reported by the engine.
	lagged   int
	laggedAt time.Duration
	shares   []share
	served   int
	worst    int
	cache    []uint64
}

// share is what an agent holds for one entry.
type share struct {
	slots    int
	wanted   int
	inFlight int
	ends     time.Duration
}

// picker is a way of choosing, at one entry. Target numbers are the model's.
type picker struct {
	choose func(now time.Time, ask routing.Ask) (target int, retryAt time.Time)
	report func(taken time.Time, target, inFlight, limit int, cold bool)
	credit func(now time.Time, target, slots int, ends time.Time)
	begin  func(now time.Time, target int, wait time.Duration)
	finish func(now time.Time, target int, ev routing.Finished)
	change func(list []routing.Target)
	room   func(now time.Time) routing.Room
	asks   func(now time.Time) []routing.CreditAsk
	silent func(now time.Time, target int)
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
	// By the second of arrival: what was offered, and answered in time. By that
	// of the end: what was answered in time.
	answeredAt, offeredAt map[int]int
	endedAt               map[int]int
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
	noRoom   func()
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

// arrive is the agent's door.
func (m *model) arrive(j *job, t *modelTarget, i int, sent time.Duration) {
	cause := verdict.Cause("")

	switch {
	case t.ZoneOut:
		cause = verdict.CauseZoneOut
	case t.full(m.now, j.entry.index) && t.Cold:
		cause = verdict.CauseColdLimit
	case t.full(m.now, j.entry.index):
		cause = verdict.CauseOverload
	case t.failFast:
		cause = verdict.CauseBroken
	}

	if cause != "" {
		m.after(hop, func() {
			m.tell(j.entry, i)
			m.refuse(j, i, cause, sent)
		})

		return
	}

	m.serve(j, t, i, sent)
}

func (m *model) refuse(j *job, i int, cause verdict.Cause, sent time.Duration) {
	j.ask.Excluded = append(j.ask.Excluded, m.targets[i].AgentID)
	j.entry.finish(m.clock(), i, routing.Finished{Verdict: verdict.NotRun, Cause: cause, Duration: m.now - sent})
	m.again(j, 0)
}

func (m *model) serve(j *job, t *modelTarget, i int, sent time.Duration) {
	t.inFlight++
	t.served++
	t.shares[j.entry.index].inFlight++

	if t.Cold {
		t.worst = max(t.worst, t.inFlight-int(t.limit))
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

	m.after(took/10+hop, func() {
		if !t.down {
			j.entry.begin(m.clock(), i, m.now-sent)
		}
	})
	m.after(took, func() {
		m.ramp(t, incarnation)
		t.inFlight--
		t.shares[j.entry.index].inFlight--

		if t.down {
			m.after(silence, func() { m.silent(j, i) })

			return
		}

		m.after(hop, func() { m.answered(j, i, sent) })
	})
}

// silence is how long an entry waits for a heartbeat, or for a dial.
const silence = time.Second

// silent is the end of a request whose connection went silent.
func (m *model) silent(j *job, i int) {
	j.entry.silent(m.clock(), i)
	j.entry.finish(m.clock(), i, routing.Finished{Verdict: verdict.MayHaveRun, Cause: verdict.CauseSilent})
	j.ask.Excluded = append(j.ask.Excluded, m.targets[i].AgentID)
	m.again(j, 0)
}

// ramp grows a cold target's limit by a quarter for each completion while the
// limit is in use; it at most doubles in a second.
func (m *model) ramp(t *modelTarget, incarnation uint64) {
	if !t.Cold || t.Incarnation != incarnation || 2*t.inFlight < int(t.limit) {
		return
	}

	if m.now >= t.doubleAt {
		t.doubleAt, t.doubled = m.now+time.Second, 2*t.limit
	}

	t.limit = min(t.limit+0.25, t.doubled, float64(t.warmLimit))
	t.Cold = t.limit < float64(t.warmLimit)
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

// tell gives an entry an agent's report and credit.
func (m *model) tell(e *modelEntry, i int) {
	t := m.targets[i]
	if t.down {
		return
	}

	load, at := t.lagged, t.laggedAt

	if m.lag == 0 {
		load, at = t.inFlight, m.now
	}

	e.report(epoch.Add(at), i, load, int(t.limit), t.Cold)

	if sh := &t.shares[e.index]; sh.wanted > 0 {
		t.grant(m.now, e.index, sh.wanted)
		e.credit(m.clock(), i, sh.slots, epoch.Add(sh.ends))
	}
}

const creditLife = 2 * time.Second

// reserved is what the agent holds for other entries than one, and how many they are.
func (t *modelTarget) reserved(now time.Duration, entry int) (held, active int) {
	for e := range t.shares {
		sh := &t.shares[e]
		if sh.ends <= now {
			sh.slots = 0
		}

		if n := max(sh.slots, sh.inFlight); e != entry && n > 0 {
			held += n
			active++
		}
	}

	return held, active
}

// grant reserves slots for an entry; all reservations stay within the limit.
func (t *modelTarget) grant(now time.Duration, entry, wanted int) {
	held, active := t.reserved(now, entry)
	limit := int(t.limit)
	room, fair := limit-held, max(limit/(active+2), 1)
	slots := max(0, min(wanted, room, max(fair, room-limit/8)))

	if t.ZoneOut {
		slots = 0
	}

	sh := &t.shares[entry]
	sh.slots, sh.wanted, sh.ends = slots, wanted, now+creditLife
}

// full reports whether an entry has no place: its own slots are used, and the
// rest is used or reserved.
func (t *modelTarget) full(now time.Duration, entry int) bool {
	if t.inFlight >= int(t.limit) {
		return true
	}

	sh := &t.shares[entry]
	held, _ := t.reserved(now, entry)

	return sh.inFlight >= sh.slots && int(t.limit)-held-sh.inFlight <= 0
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

		m.every(200*time.Millisecond, func() { m.askCredits(e) })
	}

	m.every(100*time.Millisecond, func() {
		if m.now >= from {
			m.results.imbalance = append(m.results.imbalance, m.spread())
		}
	})
}

// askCredits asks for what an entry wants; a target that is down does not answer.
func (m *model) askCredits(e *modelEntry) {
	for _, a := range e.asks(m.clock()) {
		i := slices.IndexFunc(m.targets, func(t *modelTarget) bool { return t.AgentID == a.AgentID })
		m.after(2*hop, func() {
			t := m.targets[i]
			if t.down {
				return
			}

			t.grant(m.now, e.index, a.Wanted)
			e.credit(m.clock(), i, t.shares[e.index].slots, epoch.Add(t.shares[e.index].ends))
		})
	}
}

// spread is the standard deviation of the targets' fullness over its mean.
func (m *model) spread() float64 {
	sum, squares, n := 0.0, 0.0, 0.0

	for _, t := range m.targets {
		if t.ZoneOut || t.down {
			continue
		}

		x := float64(t.inFlight) / t.limit
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
