package routing_test

import (
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/prefix"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

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
	faults   int
	served   int
	worst    int
	sequence uint64
	cache    []uint64
}

// share is what an agent holds for one entry.
type share struct {
	slots    int
	wanted   int
	inFlight int
	ends     time.Duration
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
		t.faults++
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

// roomIn is when an agent advises to come again.
const roomIn = 50 * time.Millisecond

func (m *model) refuse(j *job, i int, cause verdict.Cause, sent time.Duration) {
	j.ask.Excluded = append(j.ask.Excluded, m.targets[i].AgentID)
	j.entry.finish(m.clock(), i, routing.Finished{Verdict: verdict.NotRun, Cause: cause, Duration: m.now - sent, RetryAt: m.clock().Add(roomIn)})
	m.again(j, 0)
}

func (m *model) serve(j *job, t *modelTarget, i int, sent time.Duration) {
	t.inFlight++
	t.served++
	t.shares[j.entry.index].inFlight++

	if t.Cold {
		t.worst = max(t.worst, t.inFlight-int(t.limit))
	}

	held, evicted := t.lookUp(j.ask.Prefixes)
	m.tellCache(t, i, prefix.Stored, j.ask.Prefixes[held:])
	m.tellCache(t, i, prefix.Evicted, evicted)
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
func (t *modelTarget) lookUp(blocks []uint64) (held int, evicted []uint64) {
	for held < len(blocks) && slices.Contains(t.cache, blocks[held]) {
		held++
	}

	// The last block goes in first, so that it is the first to go out.
	for _, b := range slices.Backward(blocks) {
		if k := slices.Index(t.cache, b); k >= 0 {
			t.cache = slices.Delete(t.cache, k, k+1)
		}

		t.cache = append(t.cache, b)
	}

	if over := len(t.cache) - cacheBlocks; over > 0 {
		evicted = slices.Clone(t.cache[:over])
		t.cache = slices.Delete(t.cache, 0, over)
	}

	return held, evicted
}

// tellCache sends a cache event to all entries, up to a second late; one in ten is lost.
func (m *model) tellCache(t *modelTarget, i int, what prefix.Change, blocks []uint64) {
	if !m.cacheEvents || len(blocks) == 0 {
		return
	}

	t.sequence++
	ev := prefix.Event{Target: t.AgentID, Incarnation: t.Incarnation, Sequence: t.sequence, Change: what, Prefixes: slices.Clone(blocks)}

	for _, e := range m.entries {
		if slices.Contains(e.subset, i) && m.rng.IntN(10) > 0 {
			m.after(time.Duration(m.rng.Int64N(int64(time.Second))), func() { e.cache(ev) })
		}
	}
}

// cacheBlocks is how many blocks a target's cache holds.
const cacheBlocks = 64

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
