package routing_test

import (
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/prefix"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// modelTarget is a simulated target with its agent.
type modelTarget struct {
	routing.Target

	warmLimit int
	limit     float64
	inFlight  int
	// rampCap is the highest limit that the ramp may reach before rampWindowEnds.
	rampCap        float64
	rampWindowEnds time.Duration
	slowdown       float64
	failFast       bool
	down           bool
	// reportedLoad is the load that the engine last reported.
	reportedLoad int
	reportedAt   time.Duration
	reservations []reservation
	faults       int
	served       int
	maxExcess    int
	sequence     uint64
	cache        []uint64
}

// reservation is what an agent reserves for one entry.
type reservation struct {
	slots     int
	requested int
	inFlight  int
	expiresAt time.Duration
}

// arrive handles a request at the agent.
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
		m.after(oneWayDelay, func() {
			m.sendReport(j.entry, i)
			m.refuse(j, i, cause, sent)
		})

		return
	}

	m.serve(j, t, i, sent)
}

// retryAfterRefusal is the delay after which an agent that refused suggests a retry.
const retryAfterRefusal = 50 * time.Millisecond

func (m *model) refuse(j *job, i int, cause verdict.Cause, sent time.Duration) {
	j.req.Excluded = append(j.req.Excluded, m.targets[i].AgentID)
	j.entry.finish(m.clock(), i, routing.Finished{Verdict: verdict.NotRun, Cause: cause, Duration: m.now - sent, RetryAt: m.clock().Add(retryAfterRefusal)})
	m.retry(j, 0)
}

func (m *model) serve(j *job, t *modelTarget, i int, sent time.Duration) {
	t.inFlight++
	t.served++
	t.reservations[j.entry.index].inFlight++

	if t.Cold {
		t.maxExcess = max(t.maxExcess, t.inFlight-int(t.limit))
	}

	held, evicted := t.lookUp(j.req.Prefixes)
	m.sendCacheEvent(t, i, prefix.Stored, j.req.Prefixes[held:])
	m.sendCacheEvent(t, i, prefix.Evicted, evicted)
	m.results.hitBlocks += held
	m.results.blocks += len(j.req.Prefixes)

	// A request takes 1.0 of the base time in a full batch and 0.6 in an empty one. A
	// cached prompt saves up to 0.4 of that.
	fullness := float64(t.inFlight) / float64(t.warmLimit)
	factor := (0.6 + 0.4*fullness) * t.slowdown

	if n := len(j.req.Prefixes); n > 0 {
		factor *= 1 - 0.4*float64(held)/float64(n)
	}

	if t.Cold {
		factor *= 1.5
	}

	took := time.Duration(factor * j.work * float64(m.baseServiceTime))
	incarnation := t.Incarnation

	m.after(took/10+oneWayDelay, func() {
		if !t.down {
			j.entry.firstByte(m.clock(), i, m.now-sent)
		}
	})
	m.after(took, func() {
		m.ramp(t, incarnation)
		t.inFlight--
		t.reservations[j.entry.index].inFlight--

		if t.down {
			m.after(connectionTimeout, func() { m.connectionTimedOut(j, i) })

			return
		}

		m.after(oneWayDelay, func() { m.answered(j, i, sent) })
	})
}

// connectionTimeout is how long an entry waits for a heartbeat or for a connection.
const connectionTimeout = time.Second

// connectionTimedOut ends a request whose connection stopped responding.
func (m *model) connectionTimedOut(j *job, i int) {
	j.entry.unresponsive(m.clock(), i)
	j.entry.finish(m.clock(), i, routing.Finished{Verdict: verdict.MayHaveRun, Cause: verdict.CauseSilent})
	j.req.Excluded = append(j.req.Excluded, m.targets[i].AgentID)
	m.retry(j, 0)
}

// ramp raises a cold target's limit by a quarter with each completed request while at
// least half of the limit is in use. The limit at most doubles within a second.
func (m *model) ramp(t *modelTarget, incarnation uint64) {
	if !t.Cold || t.Incarnation != incarnation || 2*t.inFlight < int(t.limit) {
		return
	}

	if m.now >= t.rampWindowEnds {
		t.rampWindowEnds, t.rampCap = m.now+time.Second, 2*t.limit
	}

	t.limit = min(t.limit+0.25, t.rampCap, float64(t.warmLimit))
	t.Cold = t.limit < float64(t.warmLimit)
}

// sendReport delivers the agent's load report and credit to an entry.
func (m *model) sendReport(e *modelEntry, i int) {
	t := m.targets[i]
	if t.down {
		return
	}

	load, at := t.reportedLoad, t.reportedAt

	if m.reportLag == 0 {
		load, at = t.inFlight, m.now
	}

	e.report(epoch.Add(at), i, load, int(t.limit), t.Cold)

	if res := &t.reservations[e.index]; res.requested > 0 {
		t.grant(m.now, e.index, res.requested)
		e.credit(m.clock(), i, res.slots, epoch.Add(res.expiresAt))
	}
}

const creditLifetime = 2 * time.Second

// reserved returns the slots that the agent holds for the entries other than the given
// one, and the number of these entries.
func (t *modelTarget) reserved(now time.Duration, entry int) (held, active int) {
	for e := range t.reservations {
		res := &t.reservations[e]
		if res.expiresAt <= now {
			res.slots = 0
		}

		if n := max(res.slots, res.inFlight); e != entry && n > 0 {
			held += n
			active++
		}
	}

	return held, active
}

// grant reserves slots for an entry. The sum of all reservations stays within the
// limit.
func (t *modelTarget) grant(now time.Duration, entry, requested int) {
	held, active := t.reserved(now, entry)
	limit := int(t.limit)
	available, fairShare := limit-held, max(limit/(active+2), 1)
	slots := max(0, min(requested, available, max(fairShare, available-limit/8)))

	if t.ZoneOut {
		slots = 0
	}

	res := &t.reservations[entry]
	res.slots, res.requested, res.expiresAt = slots, requested, now+creditLifetime
}

// full reports whether an entry gets no slot: its own slots are in use, and the others
// are in use or reserved.
func (t *modelTarget) full(now time.Duration, entry int) bool {
	if t.inFlight >= int(t.limit) {
		return true
	}

	res := &t.reservations[entry]
	held, _ := t.reserved(now, entry)

	return res.inFlight >= res.slots && int(t.limit)-held-res.inFlight <= 0
}

// lookUp returns how many blocks are cached. It caches all blocks and evicts the least
// recently used ones.
func (t *modelTarget) lookUp(blocks []uint64) (held int, evicted []uint64) {
	for held < len(blocks) && slices.Contains(t.cache, blocks[held]) {
		held++
	}

	// The last block is inserted first, so that it is evicted first.
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

// sendCacheEvent sends a cache event to the entries, delayed by up to a second. One in
// ten is lost.
func (m *model) sendCacheEvent(t *modelTarget, i int, what prefix.Change, blocks []uint64) {
	if !m.cacheEvents || len(blocks) == 0 {
		return
	}

	t.sequence++
	ev := prefix.Event{Target: t.AgentID, Incarnation: t.Incarnation, Sequence: t.sequence, Change: what, Prefixes: slices.Clone(blocks)}

	for _, e := range m.entries {
		if slices.Contains(e.subset, i) && m.rng.IntN(10) > 0 {
			m.after(time.Duration(m.rng.Int64N(int64(time.Second))), func() { e.cacheEvent(ev) })
		}
	}
}

// cacheBlocks is how many blocks a target's cache holds.
const cacheBlocks = 64

// requestCredits sends an entry's credit requests. A target that is down does not
// answer.
func (m *model) requestCredits(e *modelEntry) {
	for _, req := range e.creditRequests(m.clock()) {
		i := slices.IndexFunc(m.targets, func(t *modelTarget) bool { return t.AgentID == req.AgentID })
		m.after(2*oneWayDelay, func() {
			t := m.targets[i]
			if t.down {
				return
			}

			t.grant(m.now, e.index, req.Wanted)
			e.credit(m.clock(), i, t.reservations[e.index].slots, epoch.Add(t.reservations[e.index].expiresAt))
		})
	}
}
