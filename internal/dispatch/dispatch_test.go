package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

var startTime = time.Unix(1000, 0)

// fixture is one entry's dispatcher, with targets that a test drives.
type fixture struct {
	t *testing.T
	*dispatch.Dispatcher

	targets     []dispatch.Target
	id          uint64
	placed      map[uint64]dispatch.Action
	refused     map[uint64]dispatch.Action
	placedOrder []uint64 // as they were placed
}

func newFixture(t *testing.T, targets, slots, entries int, edit func(*dispatch.Service)) *fixture {
	t.Helper()

	b := &fixture{
		t: t, Dispatcher: &dispatch.Dispatcher{Settings: dispatch.DefaultSettings(), Rand: rand.New(rand.NewPCG(1, 2))},
		placed: map[uint64]dispatch.Action{}, refused: map[uint64]dispatch.Action{},
	}

	for i := range targets {
		b.targets = append(b.targets, dispatch.Target{
			ID: fmt.Sprintf("t%d", i), Service: "drafts", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
			Zone: "a", Group: "g", Slots: slots, Share: shares.Share{Entries: entries},
		})
	}

	s := dispatch.Service{Name: "drafts", MaxConnections: 298}
	if edit != nil {
		edit(&s)
	}

	b.apply(b.Update(startTime, []dispatch.Service{s}, b.targets))

	return b
}

func (b *fixture) apply(actions []dispatch.Action) {
	for _, a := range actions {
		if a.Placed {
			b.placed[a.ID] = a
			b.placedOrder = append(b.placedOrder, a.ID)
		} else {
			b.refused[a.ID] = a
		}
	}
}

// submit brings in a draft whose caller wants its first event in 500 ms and leaves after 2 s.
func (b *fixture) submit(now time.Time, edit func(*dispatch.Request)) uint64 {
	b.id++

	r := dispatch.Request{
		ID: b.id, Service: "drafts", SoftDeadline: now.Add(500 * time.Millisecond), Deadline: now.Add(2 * time.Second),
	}
	if edit != nil {
		edit(&r)
	}

	b.apply(b.Submit(now, r))

	return b.id
}

func (b *fixture) finish(now time.Time, id uint64, o dispatch.Outcome) {
	b.apply(b.Finish(now, b.placed[id], 1, o))
	delete(b.placed, id)
}

func (b *fixture) perTarget() map[string]int {
	out := map[string]int{}
	for _, a := range b.placed {
		out[a.Target.ID]++
	}

	return out
}

// A burst brings three times what the targets bear for two seconds. First come,
// first served would make every draft late from the first half second on. Those
// that can still be in time go first, the newest of them; what nobody waits for
// any more is refused at once, and told when to come back.
func TestBurstCompletesRequestsThatCanMeetTheirSoftDeadline(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 2, 4, 1, nil)
	offered, inTime := map[uint64]time.Time{}, 0

	// Each target ends one request every 50 ms: 40 a second; 120 a second come.
	for tick := range 400 {
		now := startTime.Add(time.Duration(tick) * 10 * time.Millisecond)

		if tick < 200 {
			for range 1 + tick%5/4 {
				id := b.submit(now, nil)
				offered[id] = now
			}
		}

		if tick%5 == 0 {
			for _, target := range []string{"t0", "t1"} {
				if id, ok := b.oldestAt(target); ok {
					if now.Sub(offered[id]) < 500*time.Millisecond {
						inTime++
					}

					b.finish(now, id, dispatch.Completed)
				}
			}
		}

		b.apply(b.Tick(now))
	}

	require.Zero(t, b.Waiting())
	require.Greater(t, inTime, 60, "of some 80 that the targets could end during the burst")

	for id, a := range b.refused {
		require.Equal(t, verdict.CauseOverload, a.Cause)
		require.True(t, a.RetryAt.After(offered[id]), "told when to come back")
	}
}

func (b *fixture) oldestAt(target string) (uint64, bool) {
	for _, id := range b.placedOrder {
		if a, ok := b.placed[id]; ok && a.Target.ID == target {
			return id, true
		}
	}

	return 0, false
}

// Two callers wait while all targets are full: the first one's draft is late
// already. When a place is freed, the one that can still be in time gets it.
func TestRequestsInTimeArePlacedBeforeLateOnes(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 1, 1, 1, nil)
	first, second := b.submit(startTime, nil), b.submit(startTime, nil)
	require.Len(t, b.placed, 2, "one runs, one is ahead")

	late := b.submit(startTime, nil)
	now := startTime.Add(600 * time.Millisecond)
	inTime := b.submit(now, nil)
	urgent := b.submit(now, func(r *dispatch.Request) { r.Priority = 0; r.SoftDeadline = now.Add(time.Second) })

	b.finish(now, first, dispatch.Completed)
	b.finish(now, second, dispatch.Completed)
	require.Contains(t, b.placed, inTime)
	require.Contains(t, b.placed, urgent)
	require.NotContains(t, b.placed, late)

	b.apply(b.Tick(now.Add(1500 * time.Millisecond)))
	require.Equal(t, verdict.CauseOverload, b.refused[late].Cause, "nobody waits for it any more")
}

// A workspace's urgent calls come while drafts of lower rank wait.
func TestHigherPriorityIsPlacedFirst(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 1, 1, 1, nil)
	running := b.submit(startTime, nil)
	ahead := b.submit(startTime, nil)
	low := b.submit(startTime, func(r *dispatch.Request) { r.Priority = 2 })
	high := b.submit(startTime, func(r *dispatch.Request) { r.Priority = 1 })

	b.finish(startTime, running, dispatch.Completed)
	require.Contains(t, b.placed, high)
	b.finish(startTime, ahead, dispatch.Completed)
	require.Contains(t, b.placed, low)
}

// A group stalls for some seconds, and first answers take that long. When it runs
// again, requests must be sent to it: an entry that expects seconds for a first
// answer would refuse everything, send nothing, and never learn better.
func TestRequestsAreAcceptedAfterSlowFirstAnswers(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 2, 4, 1, nil)

	for range 8 {
		id := b.submit(startTime, nil)
		b.ReportFirstAnswer(b.placed[id], 5*time.Second)
		b.finish(startTime, id, dispatch.Completed)
	}

	id := b.submit(startTime.Add(time.Second), nil)
	require.Contains(t, b.placed, id)
}

// All entries fill the engines; then the group restarts, and nothing is heard of
// its load. An entry that took the others' last load for the present one would
// wait for ever: where nothing is sent, no answer tells that there is room.
func TestReportedLoadDecaysWithoutNewReports(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 2, 4, 7, nil)
	for _, target := range b.targets {
		b.apply(b.ReportLoad(startTime, "drafts", target.ID, dispatch.Load{Running: 4, Waiting: 4}))
	}

	id := b.submit(startTime, nil)
	require.NotContains(t, b.placed, id)

	now := startTime.Add(1900 * time.Millisecond)
	b.apply(b.Tick(now))
	require.Contains(t, b.placed, id)
}

// What the agents say of their engines decides between them, with what was sent
// from here since.
func TestLeastLoadedTargetIsChosen(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 3, 12, 7, nil)
	for i, running := range []int{6, 2, 6} {
		b.apply(b.ReportLoad(startTime, "drafts", fmt.Sprintf("t%d", i), dispatch.Load{Running: running}))
	}

	for range 3 {
		b.submit(startTime, nil)
	}

	require.Equal(t, map[string]int{"t1": 3}, b.perTarget())
}

// Equal targets are chosen by lot: entries that all took the first would send the
// same target everything at once.
func TestEquallyLoadedTargetsAreChosenAtRandom(t *testing.T) {
	t.Parallel()

	got := map[string]int{}

	for seed := range uint64(400) {
		b := newFixture(t, 4, 12, 7, nil)
		b.Rand = rand.New(rand.NewPCG(seed, 9))
		id := b.submit(startTime, nil)
		got[b.placed[id].Target.ID]++
	}

	for target, n := range got {
		require.Greater(t, n, 60, target)
	}

	require.Len(t, got, 4)
}

// One engine answers every request at once that it cannot take it. By its load it
// would look free and get everything. It is left alone for a moment each time.
func TestRejectingTargetIsEjectedBriefly(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 2, 4, 1, nil)
	rejected := 0

	for tick := range 200 {
		now := startTime.Add(time.Duration(tick) * 5 * time.Millisecond)
		id := b.submit(now, nil)

		if a := b.placed[id]; a.Target.ID == "t0" {
			rejected++

			b.finish(now, id, dispatch.Rejected)
		} else if a.Placed {
			b.finish(now, id, dispatch.Completed)
		}
	}

	require.Less(t, rejected, 25, "of 200")
}

// A target fails again and again: it is left alone for longer each time, and gets
// requests as usual once it has served one.
func TestEjectionTimeGrowsWithFailures(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 1, 4, 1, nil)
	now := startTime

	for _, want := range []time.Duration{300, 600, 1200, 2400, 4000, 4000} {
		id := b.submit(now, func(r *dispatch.Request) { r.Deadline = now.Add(time.Minute) })
		require.Contains(t, b.placed, id)
		b.finish(now, id, dispatch.Failed)

		next := b.submit(now, func(r *dispatch.Request) { r.Deadline = now.Add(time.Minute) })
		b.apply(b.Tick(now.Add((want - 1) * time.Millisecond)))
		require.NotContains(t, b.placed, next)

		now = now.Add(want * time.Millisecond)
		b.apply(b.Tick(now))
		require.Contains(t, b.placed, next)
		b.finish(now, next, dispatch.Canceled)
	}

	id := b.submit(now, nil)
	b.finish(now, id, dispatch.Completed)
	require.Contains(t, b.placed, b.submit(now, nil))
}

// The caller of a request that was sent to all targets it may go to is told at
// once, and not at its deadline.
func TestRequestWithoutEligibleTargetIsRefusedAtOnce(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 2, 4, 1, nil)
	id := b.submit(startTime, func(r *dispatch.Request) { r.Excluded = []string{"t0", "t1"} })
	require.Equal(t, verdict.CauseTargetDown, b.refused[id].Cause)

	id = b.submit(startTime, func(r *dispatch.Request) { r.Service = "gone" })
	require.Equal(t, verdict.CauseNoTarget, b.refused[id].Cause)

	for i := range b.targets {
		b.targets[i].Draining = true
	}

	b.apply(b.Update(startTime, []dispatch.Service{{Name: "drafts"}}, b.targets))
	id = b.submit(startTime, nil)
	require.Equal(t, verdict.CauseNoTarget, b.refused[id].Cause)
}

// A zone comes back after an outage: four engines turn up at once, cold and empty,
// beside full ones. Every entry sees them empty. All together must send each no
// more than it bears in any second, or it breaks down again.
func TestColdLimitHoldsOverAllEntries(t *testing.T) {
	t.Parallel()

	const (
		entries   = 7
		perSecond = 26
		allowed   = perSecond*1.5 + 5
	)

	var fixtures []*fixture

	for index := range entries {
		b := newFixture(t, 4, 12, entries, func(s *dispatch.Service) { s.ColdPerSecond = perSecond })
		for i := range b.targets {
			b.targets[i].ColdUntil = startTime.Add(3 * time.Second)
			b.targets[i].Share.Index = index
		}

		b.apply(b.Update(startTime, []dispatch.Service{{Name: "drafts", ColdPerSecond: perSecond}}, b.targets))
		fixtures = append(fixtures, b)
	}

	sent := map[string][]time.Time{}

	for tick := range 400 {
		now := startTime.Add(time.Duration(tick) * 10 * time.Millisecond)

		for _, b := range fixtures {
			id := b.submit(now, nil)
			b.apply(b.Tick(now))

			for _, id := range b.placedOrder {
				sent[b.placed[id].Target.ID] = append(sent[b.placed[id].Target.ID], now)
				b.finish(now, id, dispatch.Completed)
			}

			b.placedOrder = nil
			_ = id
		}
	}

	for target, times := range sent {
		for i := range times {
			n := 0
			for j := i; j < len(times) && times[j].Sub(times[i]) < time.Second; j++ {
				n++
			}

			require.LessOrEqual(t, n, int(allowed), "%s in the second from %s", target, times[i].Sub(startTime))
		}
	}
}

// Demand is above what a lock-step group bears: pauses come near to what callers
// accept. The bound falls, so that those that run are in time, and rises again. It
// begins low: after a restart of all entries every caller comes back at once.
func TestConcurrencyLimitFollowsEventGaps(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 1, 12, 1, func(s *dispatch.Service) { s.Streams = true })
	one := b.submit(startTime, nil)
	fill := func(now time.Time) int {
		for {
			id := b.submit(now, nil)
			if _, ok := b.placed[id]; !ok {
				b.Cancel("drafts", id)

				return len(b.placed)
			}
		}
	}
	require.Equal(t, 8, fill(startTime))

	now := startTime
	gaps := func(ratio float64, times int) {
		for range times {
			now = now.Add(20 * time.Millisecond)
			b.ReportEventGap(now, b.placed[one], ratio)
		}
	}

	gaps(0.3, 1000)
	require.Equal(t, 13, fill(now))
	gaps(1.1, 100)

	for id := range b.placed {
		if id != one {
			b.finish(now, id, dispatch.Completed)
		}
	}

	require.Less(t, fill(now), 7)

	low := len(b.placed)

	gaps(20, 200)
	require.Equal(t, low, fill(now), "a stall is no crowding")
	gaps(0.3, 1000)
	require.Equal(t, 13, fill(now))
}

// A caller leaves while its request waits: the place goes to the next one.
func TestCanceledRequestLeavesTheQueue(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 1, 1, 1, nil)
	first, second := b.submit(startTime, nil), b.submit(startTime, nil)
	canceled, next := b.submit(startTime, nil), b.submit(startTime, func(r *dispatch.Request) { r.SoftDeadline = startTime.Add(400 * time.Millisecond) })
	b.Cancel("drafts", canceled)
	b.finish(startTime, first, dispatch.Canceled)
	require.Contains(t, b.placed, next)
	b.finish(startTime, second, dispatch.Canceled)
	require.Zero(t, b.Waiting())
}

// The operators remove a service while callers wait for it: they are told.
func TestRemovedServiceRefusesWaitingRequests(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 1, 1, 1, nil)
	b.submit(startTime, nil)
	b.submit(startTime, nil)
	waiting := b.submit(startTime, nil)
	b.apply(b.Update(startTime, nil, nil))
	require.Equal(t, verdict.CauseUnknownService, b.refused[waiting].Cause)
}

// One rank was at fault: the others of its group refuse too until it is formed
// again. They are left alone together.
func TestFaultEjectsTheGroup(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 3, 4, 1, nil)
	b.ReportFault(startTime, "drafts", "t1")

	id := b.submit(startTime, nil)
	require.NotContains(t, b.placed, id)
	b.apply(b.Tick(startTime.Add(400 * time.Millisecond)))
	require.Contains(t, b.placed, id)
}

func BenchmarkOffer(b *testing.B) {
	d := &dispatch.Dispatcher{Settings: dispatch.DefaultSettings(), Rand: rand.New(rand.NewPCG(1, 2))}

	var targets []dispatch.Target
	for i := range 63 {
		targets = append(targets, dispatch.Target{ID: fmt.Sprint(i), Service: "drafts", Slots: 10})
	}

	d.Update(startTime, []dispatch.Service{{Name: "drafts"}}, targets)

	for i := range b.N {
		now := startTime.Add(time.Duration(i) * time.Millisecond)
		for _, a := range d.Submit(now, dispatch.Request{ID: uint64(i), Service: "drafts", SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Second)}) {
			d.Finish(now, a, 1, dispatch.Completed)
		}
	}
}

// A service's only target refuses connections, again and again, and is left alone for
// longer than the next caller waits. That caller was held until it gave up, and the
// log blamed an overload. It is refused at once, told that the target is down, and
// asked to come back when the target is tried again.
func TestRequestIsRefusedWhenEjectionOutlastsItsDeadline(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 1, 4, 1, nil)
	now := startTime

	for range 4 {
		id := b.submit(now, nil)
		require.Contains(t, b.placed, id)
		b.finish(now, id, dispatch.Failed)

		now = now.Add(4 * time.Second)
	}

	id := b.submit(now, nil)
	b.finish(now, id, dispatch.Failed) // the fifth in a row: left alone for 4 s

	shortDeadline := b.submit(now, nil) // gives up after 2 s
	require.Contains(t, b.refused, shortDeadline)
	require.Equal(t, verdict.CauseTargetDown, b.refused[shortDeadline].Cause)
	require.Equal(t, now.Add(3*time.Second), b.refused[shortDeadline].RetryAt, "no more than the longest retry")

	longDeadline := b.submit(now, func(r *dispatch.Request) { r.Deadline = now.Add(5 * time.Second) })
	require.NotContains(t, b.refused, longDeadline)
	b.apply(b.Tick(now.Add(4 * time.Second)))
	require.Contains(t, b.placed, longDeadline)
}

// Two targets: one is down, the other full. Whoever gives up meanwhile was refused for
// want of room, not because a target was down.
func TestRefusalCauseIsOverloadWhenOneTargetIsFullAndOneIsDown(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 2, 1, 1, nil)

	for len(b.placed) < 3 { // one slot each, and one ahead
		b.submit(startTime, nil)
	}

	for id, a := range b.placed {
		if a.Target.ID == "t0" {
			b.finish(startTime, id, dispatch.Failed)
		}
	}

	waiting := b.submit(startTime, nil)
	for range 4 {
		b.submit(startTime, nil)
	}

	b.apply(b.Tick(startTime.Add(299 * time.Millisecond)))
	require.NotContains(t, b.refused, waiting)
	b.apply(b.Tick(startTime.Add(2 * time.Second)))

	for _, a := range b.refused {
		require.Equal(t, verdict.CauseOverload, a.Cause)
	}
}

// One rank of a lock-step group turns slow. All others wait for it in each step, and
// with its share of the requests the whole group is as slow as that rank. It gets none
// until it says that it is well again, or says nothing any more.
func TestSlowRankGetsFewerRequests(t *testing.T) {
	t.Parallel()

	engines := func(s *dispatch.Service) { s.Streams = true }
	fill := func(slowdowns ...float64) map[string]int {
		b := newFixture(t, len(slowdowns), 10, 1, engines)
		for i, p := range slowdowns {
			b.apply(b.ReportLoad(startTime, "drafts", fmt.Sprintf("t%d", i), dispatch.Load{Slowdown: p}))
		}

		for range 40 {
			b.submit(startTime, nil)
		}

		return b.perTarget()
	}

	require.Equal(t, map[string]int{"t0": 6, "t1": 6, "t2": 6}, fill(1, 1, 1))
	require.Equal(t, map[string]int{"t0": 6, "t1": 6}, fill(1, 1, 5))
	require.Equal(t, map[string]int{"t0": 6, "t1": 6, "t2": 3}, fill(1, 1, 1.5), "what it does in the others' time")
	require.Equal(t, map[string]int{"t0": 6, "t1": 6, "t2": 6}, fill(1, 1, 1.1), "copies of experts take as much")
	require.Equal(t, map[string]int{"t0": 6, "t1": 6, "t2": 6}, fill(4, 4, 4), "there is no better one")

	b := newFixture(t, 2, 10, 1, engines)
	b.apply(b.ReportLoad(startTime, "drafts", "t0", dispatch.Load{Slowdown: 1}))
	b.apply(b.ReportLoad(startTime, "drafts", "t1", dispatch.Load{Slowdown: 5}))

	for range 12 {
		b.submit(startTime, func(r *dispatch.Request) { r.Deadline = startTime.Add(time.Minute) })
	}

	require.Equal(t, map[string]int{"t0": 6}, b.perTarget())
	b.apply(b.Tick(startTime.Add(3 * time.Second)))
	require.Equal(t, map[string]int{"t0": 6, "t1": 6}, b.perTarget(), "its agent is silent")
}

// A rank at a fifth of its pace makes every step of its group longer, whatever runs
// there. Pauses grew, the bound on requests fell to its least, and half of the callers
// were refused although fewer requests made no step shorter.
func TestSlowRankDoesNotLowerTheConcurrencyLimit(t *testing.T) {
	t.Parallel()

	placedAtHealthy := func(slowdown float64) int {
		b := newFixture(t, 3, 10, 1, func(s *dispatch.Service) { s.Streams = true })
		b.apply(b.ReportLoad(startTime, "drafts", "t0", dispatch.Load{Slowdown: 1}))
		b.apply(b.ReportLoad(startTime, "drafts", "t1", dispatch.Load{Slowdown: 1}))
		b.apply(b.ReportLoad(startTime, "drafts", "t2", dispatch.Load{Slowdown: slowdown}))

		stream := dispatch.Action{Target: b.targets[0]}
		for i := range 100 { // somewhat longer than callers accept, for a second
			b.ReportEventGap(startTime.Add(time.Duration(i)*10*time.Millisecond), stream, 1.2)
		}

		for range 40 {
			b.submit(startTime.Add(time.Second), nil)
		}

		return b.perTarget()["t0"]
	}

	require.Equal(t, 2, placedAtHealthy(1), "it is crowding where all are well")
	require.Greater(t, placedAtHealthy(5), 5)
}

// One workspace of ten sends six of ten requests, and three times as many come as can
// be served. The others must not starve behind it, nor it behind them: each is served
// about as large a part of what it asks for as all together.
func TestWorkspacesCompleteEqualFractionsUnderOverload(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 2, 4, 1, nil)
	rng := rand.New(rand.NewPCG(7, 7))
	submitted, completed := map[string]float64{}, map[string]float64{}
	workspaceOf := map[uint64]string{}

	// Each target ends one request every 50 ms: 40 a second; 120 a second come.
	for tick := range 3000 {
		now := startTime.Add(time.Duration(tick) * 10 * time.Millisecond)

		workspace := "large"
		if rng.IntN(10) >= 6 {
			workspace = fmt.Sprintf("small-%d", rng.IntN(9))
		}

		id := b.submit(now, func(r *dispatch.Request) { r.Workspace = workspace })
		workspaceOf[id] = workspace
		submitted[workspace]++

		if tick%5 == 0 {
			for _, target := range []string{"t0", "t1"} {
				if id, ok := b.oldestAt(target); ok {
					completed[workspaceOf[id]]++
					b.finish(now, id, dispatch.Completed)
				}
			}
		}

		b.apply(b.Tick(now))
	}

	all := 0.0
	for _, n := range completed {
		all += n
	}

	all /= 3000
	require.Less(t, all, 0.5, "it is an overload")

	for workspace, n := range submitted {
		require.InDelta(t, 1, completed[workspace]/n/all, 0.35, "%s: %v of %v", workspace, completed[workspace], n)
	}
}

// A group is formed again after a loss of power, and callers wait at each of seven
// entries. Each of them gave the group as many drafts as it bears alone: seven times as
// many, whose steps were too long for all of them.
func TestEntriesShareARecoveredGroup(t *testing.T) {
	t.Parallel()

	const entries, targets, slots, waiting = 7, 12, 12, 40

	sent := 0

	for index := range entries {
		b := newFixture(t, targets, slots, entries, func(s *dispatch.Service) { s.Streams = true })

		for i := range b.targets {
			b.targets[i].Broken = true
			b.targets[i].Share.Index = index
		}

		b.apply(b.Update(startTime, []dispatch.Service{{Name: "drafts", Streams: true}}, b.targets))

		now := startTime.Add(1300 * time.Millisecond)
		for range waiting {
			b.submit(now, nil)
		}

		require.Empty(t, b.placed, "the group is not open yet")

		for i := range b.targets {
			b.targets[i].Broken = false
		}

		b.apply(b.Update(now, []dispatch.Service{{Name: "drafts", Streams: true}}, b.targets))
		sent += len(b.placed)
	}

	require.LessOrEqual(t, sent, targets*slots, "no more than it has slots")
	require.GreaterOrEqual(t, sent, targets*slots/2, "and no fewer than half of that")
}

// The links of a zone to the others lose packets. Drafts that went through another zone
// than the entry's own had pauses of a fifth of a second, though targets of its own zone,
// loaded nearly alike, would have served them: those go first, until they are far fuller.
func TestLocalZoneIsPreferred(t *testing.T) {
	t.Parallel()

	b := newFixture(t, 4, 12, 1, nil)
	b.Zone = "a"

	for i := range b.targets[2:] {
		b.targets[2+i].Zone = "b"
	}

	b.apply(b.Update(startTime, []dispatch.Service{{Name: "drafts"}}, b.targets))

	for range 10 {
		b.submit(startTime, nil)
	}

	require.Equal(t, map[string]int{"t0": 5, "t1": 5}, b.perTarget())

	for range 10 {
		b.submit(startTime, nil)
	}

	require.Equal(t, 20, len(b.placed))
	require.Positive(t, b.perTarget()["t2"], "the own targets are fuller by half of their slots")
}
