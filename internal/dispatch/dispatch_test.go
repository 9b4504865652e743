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

// fixture is the dispatcher of one entry, with targets controlled by the test.
type fixture struct {
	t *testing.T
	*dispatch.Dispatcher

	targets     []dispatch.Target
	id          uint64
	placed      map[uint64]dispatch.Action
	refused     map[uint64]dispatch.Action
	placedOrder []uint64 // in the order of placement
}

func newFixture(t *testing.T, targets, slots, entries int, edit func(*dispatch.Service)) *fixture {
	t.Helper()

	f := &fixture{
		t: t, Dispatcher: &dispatch.Dispatcher{Settings: dispatch.DefaultSettings(), Rand: rand.New(rand.NewPCG(1, 2))},
		placed: map[uint64]dispatch.Action{}, refused: map[uint64]dispatch.Action{},
	}

	for i := range targets {
		f.targets = append(f.targets, dispatch.Target{
			ID: fmt.Sprintf("t%d", i), Service: "drafts", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
			Zone: "a", Group: "g", Slots: slots, Share: shares.Share{Entries: entries},
		})
	}

	s := dispatch.Service{Name: "drafts", MaxConnections: 298}
	if edit != nil {
		edit(&s)
	}

	f.apply(f.Update(startTime, []dispatch.Service{s}, f.targets))

	return f
}

func (f *fixture) apply(actions []dispatch.Action) {
	for _, a := range actions {
		if a.Placed {
			f.placed[a.ID] = a
			f.placedOrder = append(f.placedOrder, a.ID)
		} else {
			f.refused[a.ID] = a
		}
	}
}

// submit submits a request with a latency target of 500 ms and a deadline of 2 s.
func (f *fixture) submit(now time.Time, edit func(*dispatch.Request)) uint64 {
	f.id++

	r := dispatch.Request{
		ID: f.id, Service: "drafts", SoftDeadline: now.Add(500 * time.Millisecond), Deadline: now.Add(2 * time.Second),
	}
	if edit != nil {
		edit(&r)
	}

	f.apply(f.Submit(now, r))

	return f.id
}

func (f *fixture) finish(now time.Time, id uint64, o dispatch.Outcome) {
	f.apply(f.Finish(now, f.placed[id], 1, o))
	delete(f.placed, id)
}

func (f *fixture) perTarget() map[string]int {
	out := map[string]int{}
	for _, a := range f.placed {
		out[a.Target.ID]++
	}

	return out
}

// For two seconds, a burst brings three times the load that the targets can process. First
// come, first served would make every request late after the first half second. Instead,
// requests that can still meet their soft deadline are placed first, the newest of them
// before the others, and requests that cannot meet their deadline are refused immediately with
// a retry time.
func TestBurstCompletesRequestsThatCanMeetTheirSoftDeadline(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 2, 4, 1, nil)
	offered, inTime := map[uint64]time.Time{}, 0

	// Each target completes one request every 50 ms, so both complete 40 a second; 120 a
	// second arrive.
	for tick := range 400 {
		now := startTime.Add(time.Duration(tick) * 10 * time.Millisecond)

		if tick < 200 {
			for range 1 + tick%5/4 {
				id := f.submit(now, nil)
				offered[id] = now
			}
		}

		if tick%5 == 0 {
			for _, target := range []string{"t0", "t1"} {
				if id, ok := f.oldestAt(target); ok {
					if now.Sub(offered[id]) < 500*time.Millisecond {
						inTime++
					}

					f.finish(now, id, dispatch.Completed)
				}
			}
		}

		f.apply(f.Tick(now))
	}

	require.Zero(t, f.Waiting())
	require.Greater(t, inTime, 60, "of about 80 that the targets can complete during the burst")

	for id, a := range f.refused {
		require.Equal(t, verdict.CauseOverload, a.Cause)
		require.True(t, a.RetryAt.After(offered[id]), "refusal with a retry time")
	}
}

func (f *fixture) oldestAt(target string) (uint64, bool) {
	for _, id := range f.placedOrder {
		if a, ok := f.placed[id]; ok && a.Target.ID == target {
			return id, true
		}
	}

	return 0, false
}

// Two requests wait while all targets are full, and the older one is already late. A freed
// slot must go to the one that can still meet its soft deadline.
func TestRequestsInTimeArePlacedBeforeLateOnes(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 1, 1, 1, nil)
	first, second := f.submit(startTime, nil), f.submit(startTime, nil)
	require.Len(t, f.placed, 2, "one runs, one is queued at the target")

	late := f.submit(startTime, nil)
	now := startTime.Add(600 * time.Millisecond)
	inTime := f.submit(now, nil)
	urgent := f.submit(now, func(r *dispatch.Request) { r.Priority = 0; r.SoftDeadline = now.Add(time.Second) })

	f.finish(now, first, dispatch.Completed)
	f.finish(now, second, dispatch.Completed)
	require.Contains(t, f.placed, inTime)
	require.Contains(t, f.placed, urgent)
	require.NotContains(t, f.placed, late)

	f.apply(f.Tick(now.Add(1500 * time.Millisecond)))
	require.Equal(t, verdict.CauseOverload, f.refused[late].Cause, "its deadline has passed")
}

// A request of higher priority arrives while one of lower priority waits.
func TestHigherPriorityIsPlacedFirst(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 1, 1, 1, nil)
	running := f.submit(startTime, nil)
	ahead := f.submit(startTime, nil)
	low := f.submit(startTime, func(r *dispatch.Request) { r.Priority = 2 })
	high := f.submit(startTime, func(r *dispatch.Request) { r.Priority = 1 })

	f.finish(startTime, running, dispatch.Completed)
	require.Contains(t, f.placed, high)
	f.finish(startTime, ahead, dispatch.Completed)
	require.Contains(t, f.placed, low)
}

// A group stalls for several seconds, and first answers take as long. After the stall,
// requests must be placed again. An entry that expected seconds for a first answer would
// refuse all requests, place none, and never observe a shorter time.
func TestRequestsAreAcceptedAfterSlowFirstAnswers(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 2, 4, 1, nil)

	for range 8 {
		id := f.submit(startTime, nil)
		f.ReportFirstAnswer(f.placed[id], 5*time.Second)
		f.finish(startTime, id, dispatch.Completed)
	}

	id := f.submit(startTime.Add(time.Second), nil)
	require.Contains(t, f.placed, id)
}

// All entries fill the engines, then the group restarts and no load is reported. An entry
// that kept using the last reported load of the others would wait forever: without
// requests, no answer reports free capacity.
func TestReportedLoadDecaysWithoutNewReports(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 2, 4, 7, nil)
	for _, target := range f.targets {
		f.apply(f.ReportLoad(startTime, "drafts", target.ID, dispatch.Load{Running: 4, Waiting: 4}))
	}

	id := f.submit(startTime, nil)
	require.NotContains(t, f.placed, id)

	now := startTime.Add(1900 * time.Millisecond)
	f.apply(f.Tick(now))
	require.Contains(t, f.placed, id)
}

// Targets are chosen by their reported load and the requests placed since.
func TestLeastLoadedTargetIsChosen(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 3, 12, 7, nil)
	for i, running := range []int{6, 2, 6} {
		f.apply(f.ReportLoad(startTime, "drafts", fmt.Sprintf("t%d", i), dispatch.Load{Running: running}))
	}

	for range 3 {
		f.submit(startTime, nil)
	}

	require.Equal(t, map[string]int{"t1": 3}, f.perTarget())
}

// Targets with equal load are chosen at random. If all entries took the first one, it would
// receive all requests at once.
func TestEquallyLoadedTargetsAreChosenAtRandom(t *testing.T) {
	t.Parallel()

	got := map[string]int{}

	for seed := range uint64(400) {
		f := newFixture(t, 4, 12, 7, nil)
		f.Rand = rand.New(rand.NewPCG(seed, 9))
		id := f.submit(startTime, nil)
		got[f.placed[id].Target.ID]++
	}

	for target, n := range got {
		require.Greater(t, n, 60, target)
	}

	require.Len(t, got, 4)
}

// One engine rejects every request immediately. Its load makes it look free, so it would
// receive all requests. It must be ejected briefly after each rejection.
func TestRejectingTargetIsEjectedBriefly(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 2, 4, 1, nil)
	rejected := 0

	for tick := range 200 {
		now := startTime.Add(time.Duration(tick) * 5 * time.Millisecond)
		id := f.submit(now, nil)

		if a := f.placed[id]; a.Target.ID == "t0" {
			rejected++

			f.finish(now, id, dispatch.Rejected)
		} else if a.Placed {
			f.finish(now, id, dispatch.Completed)
		}
	}

	require.Less(t, rejected, 25, "of 200")
}

// A target fails repeatedly. Its ejection time must grow with each failure and reset after
// a completed request.
func TestEjectionTimeGrowsWithFailures(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 1, 4, 1, nil)
	now := startTime

	for _, want := range []time.Duration{300, 600, 1200, 2400, 4000, 4000} {
		id := f.submit(now, func(r *dispatch.Request) { r.Deadline = now.Add(time.Minute) })
		require.Contains(t, f.placed, id)
		f.finish(now, id, dispatch.Failed)

		next := f.submit(now, func(r *dispatch.Request) { r.Deadline = now.Add(time.Minute) })
		f.apply(f.Tick(now.Add((want - 1) * time.Millisecond)))
		require.NotContains(t, f.placed, next)

		now = now.Add(want * time.Millisecond)
		f.apply(f.Tick(now))
		require.Contains(t, f.placed, next)
		f.finish(now, next, dispatch.Canceled)
	}

	id := f.submit(now, nil)
	f.finish(now, id, dispatch.Completed)
	require.Contains(t, f.placed, f.submit(now, nil))
}

// A request without a target that may receive it must be refused immediately, not at its
// deadline.
func TestRequestWithoutEligibleTargetIsRefusedImmediately(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 2, 4, 1, nil)
	id := f.submit(startTime, func(r *dispatch.Request) { r.Excluded = []string{"t0", "t1"} })
	require.Equal(t, verdict.CauseTargetDown, f.refused[id].Cause)

	id = f.submit(startTime, func(r *dispatch.Request) { r.Service = "gone" })
	require.Equal(t, verdict.CauseNoTarget, f.refused[id].Cause)

	for i := range f.targets {
		f.targets[i].Draining = true
	}

	f.apply(f.Update(startTime, []dispatch.Service{{Name: "drafts"}}, f.targets))
	id = f.submit(startTime, nil)
	require.Equal(t, verdict.CauseNoTarget, f.refused[id].Cause)
}

// After an outage of a zone, four cold and empty engines return at the same time, beside
// full ones, and every entry sees them empty. All entries together must not exceed the
// limit of a cold target in any second, or it fails again.
func TestColdLimitHoldsOverAllEntries(t *testing.T) {
	t.Parallel()

	const (
		entries   = 7
		perSecond = 26
		allowed   = perSecond*1.5 + 5
	)

	var fixtures []*fixture

	for index := range entries {
		f := newFixture(t, 4, 12, entries, func(s *dispatch.Service) { s.ColdPerSecond = perSecond })
		for i := range f.targets {
			f.targets[i].ColdUntil = startTime.Add(3 * time.Second)
			f.targets[i].Share.Index = index
		}

		f.apply(f.Update(startTime, []dispatch.Service{{Name: "drafts", ColdPerSecond: perSecond}}, f.targets))
		fixtures = append(fixtures, f)
	}

	sent := map[string][]time.Time{}

	for tick := range 400 {
		now := startTime.Add(time.Duration(tick) * 10 * time.Millisecond)

		for _, f := range fixtures {
			id := f.submit(now, nil)
			f.apply(f.Tick(now))

			for _, id := range f.placedOrder {
				sent[f.placed[id].Target.ID] = append(sent[f.placed[id].Target.ID], now)
				f.finish(now, id, dispatch.Completed)
			}

			f.placedOrder = nil
			_ = id
		}
	}

	for target, times := range sent {
		for i := range times {
			n := 0
			for j := i; j < len(times) && times[j].Sub(times[i]) < time.Second; j++ {
				n++
			}

			require.LessOrEqual(t, n, int(allowed), "requests at %s in the second from %s", target, times[i].Sub(startTime))
		}
	}
}

// Demand exceeds the capacity of a lock-step group, and event gaps approach the accepted
// gap. The limit must fall, so that running requests meet their latency target, and rise
// again afterwards. Its initial value is low, because every caller reconnects immediately after
// a restart of all entries.
func TestConcurrencyLimitFollowsEventGaps(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 1, 12, 1, func(s *dispatch.Service) { s.Streams = true })
	one := f.submit(startTime, nil)
	fill := func(now time.Time) int {
		for {
			id := f.submit(now, nil)
			if _, ok := f.placed[id]; !ok {
				f.Cancel("drafts", id)

				return len(f.placed)
			}
		}
	}
	require.Equal(t, 8, fill(startTime))

	now := startTime
	gaps := func(ratio float64, times int) {
		for range times {
			now = now.Add(20 * time.Millisecond)
			f.ReportEventGap(now, f.placed[one], ratio)
		}
	}

	gaps(0.3, 1000)
	require.Equal(t, 13, fill(now))
	gaps(1.1, 100)

	for id := range f.placed {
		if id != one {
			f.finish(now, id, dispatch.Completed)
		}
	}

	require.Less(t, fill(now), 7)

	low := len(f.placed)

	gaps(20, 200)
	require.Equal(t, low, fill(now), "a stall does not lower the limit")
	gaps(0.3, 1000)
	require.Equal(t, 13, fill(now))
}

// A caller disconnects while its request waits. The next request must get the slot.
func TestCanceledRequestLeavesTheQueue(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 1, 1, 1, nil)
	first, second := f.submit(startTime, nil), f.submit(startTime, nil)
	canceled, next := f.submit(startTime, nil), f.submit(startTime, func(r *dispatch.Request) { r.SoftDeadline = startTime.Add(400 * time.Millisecond) })
	f.Cancel("drafts", canceled)
	f.finish(startTime, first, dispatch.Canceled)
	require.Contains(t, f.placed, next)
	f.finish(startTime, second, dispatch.Canceled)
	require.Zero(t, f.Waiting())
}

// A service is removed while requests wait for it. They must be refused.
func TestRemovedServiceRefusesWaitingRequests(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 1, 1, 1, nil)
	f.submit(startTime, nil)
	f.submit(startTime, nil)
	waiting := f.submit(startTime, nil)
	f.apply(f.Update(startTime, nil, nil))
	require.Equal(t, verdict.CauseUnknownService, f.refused[waiting].Cause)
}

// After a fault of one rank, the other ranks of its group refuse requests too until the
// group is formed again. All must be ejected together, also if this entry does not use the
// rank at fault.
func TestFaultEjectsTheGroup(t *testing.T) {
	t.Parallel()

	for _, faulty := range []string{"t1", "rank-of-other-entries"} {
		f := newFixture(t, 3, 4, 1, nil)
		refused := f.placed[f.submit(startTime, nil)]
		f.ReportFault(startTime, refused, faulty)

		id := f.submit(startTime, nil)
		require.NotContains(t, f.placed, id, faulty)
		f.apply(f.Tick(startTime.Add(400 * time.Millisecond)))
		require.Contains(t, f.placed, id, faulty)
	}
}

// Guards against requests that reach a group while it fails because of a lost target, and against other
// groups, or targets without one, that get none because of it.
func TestEndOfATargetEjectsItsGroupOnly(t *testing.T) {
	t.Parallel()

	until := startTime.Add(1500 * time.Millisecond)

	for _, group := range []string{"g", ""} {
		d := &dispatch.Dispatcher{Settings: dispatch.DefaultSettings(), Rand: rand.New(rand.NewPCG(1, 2))}
		d.Update(startTime, []dispatch.Service{{Name: "drafts"}}, []dispatch.Target{
			{ID: "a", Service: "drafts", Group: group, Slots: 9, Share: shares.Share{Entries: 1}},
			{ID: "b", Service: "drafts", Group: group, Slots: 9, Share: shares.Share{Entries: 1}},
			{ID: "c", Service: "drafts", Group: "other", Slots: 9, Share: shares.Share{Entries: 1}},
		})
		d.ReportTargetEnd(dispatch.Action{Target: dispatch.Target{ID: "a", Service: "drafts", Group: group}}, until)

		counts := make(map[string]int)

		for i, at := range []time.Time{startTime, until.Add(-time.Millisecond), until} {
			for n := range 6 {
				for _, a := range d.Submit(at, dispatch.Request{ID: uint64(10*i + n + 1), Service: "drafts", Deadline: at.Add(time.Minute), SoftDeadline: at.Add(time.Minute), Work: 1}) {
					require.True(t, a.Placed)

					counts[a.Target.Group]++
					d.Finish(at, a, 1, dispatch.Completed)
				}
			}

			if group == "g" && i < 2 {
				require.Zero(t, counts["g"])
				require.Equal(t, 6*(i+1), counts["other"])
			}
		}

		require.NotZero(t, counts[group])
		require.NotZero(t, counts["other"])
	}
}

func BenchmarkSubmit(b *testing.B) {
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

// The only target of a service refuses connections repeatedly and is ejected for longer
// than the next caller waits. Guards against holding that request until its deadline and
// reporting an overload. It must be refused immediately with the cause that the target is down,
// and with a retry time close to the end of the ejection.
func TestRequestIsRefusedWhenEjectionOutlastsItsDeadline(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 1, 4, 1, nil)
	now := startTime

	for range 4 {
		id := f.submit(now, nil)
		require.Contains(t, f.placed, id)
		f.finish(now, id, dispatch.Failed)

		now = now.Add(4 * time.Second)
	}

	id := f.submit(now, nil)
	f.finish(now, id, dispatch.Failed) // fifth consecutive failure: ejected for 4 s

	shortDeadline := f.submit(now, nil) // deadline after 2 s
	require.Contains(t, f.refused, shortDeadline)
	require.Equal(t, verdict.CauseTargetDown, f.refused[shortDeadline].Cause)
	require.Equal(t, now.Add(3*time.Second), f.refused[shortDeadline].RetryAt, "capped by MaxRetryAfter")

	longDeadline := f.submit(now, func(r *dispatch.Request) { r.Deadline = now.Add(5 * time.Second) })
	require.NotContains(t, f.refused, longDeadline)
	f.apply(f.Tick(now.Add(4 * time.Second)))
	require.Contains(t, f.placed, longDeadline)
}

// One target is down and the other is full. The refusal must be reported as an overload,
// not as a target that is down.
func TestRefusalCauseIsOverloadWhenOneTargetIsFullAndOneIsDown(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 2, 1, 1, nil)

	for len(f.placed) < 3 { // one slot and one queued request each
		f.submit(startTime, nil)
	}

	for id, a := range f.placed {
		if a.Target.ID == "t0" {
			f.finish(startTime, id, dispatch.Failed)
		}
	}

	waiting := f.submit(startTime, nil)
	for range 4 {
		f.submit(startTime, nil)
	}

	f.apply(f.Tick(startTime.Add(299 * time.Millisecond)))
	require.NotContains(t, f.refused, waiting)
	f.apply(f.Tick(startTime.Add(2 * time.Second)))

	for _, a := range f.refused {
		require.Equal(t, verdict.CauseOverload, a.Cause)
	}
}

// One rank of a lock-step group becomes slow. All others wait for it in each step, and with
// a full share of requests it would slow down the whole group. It must receive none until
// it reports a normal slowdown again, or its reports expire.
func TestSlowRankGetsFewerRequests(t *testing.T) {
	t.Parallel()

	engines := func(s *dispatch.Service) { s.Streams = true }
	fill := func(slowdowns ...float64) map[string]int {
		f := newFixture(t, len(slowdowns), 10, 1, engines)
		for i, p := range slowdowns {
			f.apply(f.ReportLoad(startTime, "drafts", fmt.Sprintf("t%d", i), dispatch.Load{Slowdown: p}))
		}

		for range 40 {
			f.submit(startTime, nil)
		}

		return f.perTarget()
	}

	require.Equal(t, map[string]int{"t0": 6, "t1": 6, "t2": 6}, fill(1, 1, 1))
	require.Equal(t, map[string]int{"t0": 6, "t1": 6}, fill(1, 1, 5))
	require.Equal(t, map[string]int{"t0": 6, "t1": 6, "t2": 3}, fill(1, 1, 1.5), "as many as it processes in the time of the others")
	require.Equal(t, map[string]int{"t0": 6, "t1": 6, "t2": 6}, fill(1, 1, 1.1), "a slowdown this small may come from copying experts")
	require.Equal(t, map[string]int{"t0": 6, "t1": 6, "t2": 6}, fill(4, 4, 4), "all ranks are equally slow")

	f := newFixture(t, 2, 10, 1, engines)
	f.apply(f.ReportLoad(startTime, "drafts", "t0", dispatch.Load{Slowdown: 1}))
	f.apply(f.ReportLoad(startTime, "drafts", "t1", dispatch.Load{Slowdown: 5}))

	for range 12 {
		f.submit(startTime, func(r *dispatch.Request) {
			r.SoftDeadline, r.Deadline = startTime.Add(time.Minute), startTime.Add(time.Minute)
		})
	}

	require.Equal(t, map[string]int{"t0": 6}, f.perTarget())
	f.apply(f.Tick(startTime.Add(3 * time.Second)))
	require.Equal(t, map[string]int{"t0": 6, "t1": 6}, f.perTarget(), "its report has expired")
}

// A rank at a fifth of its speed lengthens every step of its group, whatever the number of
// requests. Guards against lowering the concurrency limit in response: it fell to its
// minimum and half of the requests were refused, although fewer requests did not shorten
// the steps.
func TestSlowRankDoesNotLowerTheConcurrencyLimit(t *testing.T) {
	t.Parallel()

	placedAtHealthy := func(slowdown float64) int {
		f := newFixture(t, 3, 10, 1, func(s *dispatch.Service) { s.Streams = true })
		f.apply(f.ReportLoad(startTime, "drafts", "t0", dispatch.Load{Slowdown: 1}))
		f.apply(f.ReportLoad(startTime, "drafts", "t1", dispatch.Load{Slowdown: 1}))
		f.apply(f.ReportLoad(startTime, "drafts", "t2", dispatch.Load{Slowdown: slowdown}))

		stream := dispatch.Action{Target: f.targets[0]}
		for i := range 100 { // gaps somewhat longer than callers accept, for a second
			f.ReportEventGap(startTime.Add(time.Duration(i)*10*time.Millisecond), stream, 1.2)
		}

		for range 40 {
			f.submit(startTime.Add(time.Second), nil)
		}

		return f.perTarget()["t0"]
	}

	require.Equal(t, 2, placedAtHealthy(1), "without a slow rank, long gaps lower the limit")
	require.Greater(t, placedAtHealthy(5), 5)
}

// One workspace of ten sends six of ten requests, and 2.5 times as many requests arrive
// as can be completed. Neither that workspace nor the others may starve: each must have
// about the same fraction of its requests completed.
func TestWorkspacesCompleteEqualFractionsUnderOverload(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 2, 4, 1, nil)
	rng := rand.New(rand.NewPCG(7, 7))
	submitted, completed := map[string]float64{}, map[string]float64{}
	workspaceOf := map[uint64]string{}

	// Each target completes one request every 50 ms, so both complete 40 a second; 100 a
	// second arrive.
	for tick := range 3000 {
		now := startTime.Add(time.Duration(tick) * 10 * time.Millisecond)

		workspace := "large"
		if rng.IntN(10) >= 6 {
			workspace = fmt.Sprintf("small-%d", rng.IntN(9))
		}

		id := f.submit(now, func(r *dispatch.Request) { r.Workspace = workspace })
		workspaceOf[id] = workspace
		submitted[workspace]++

		if tick%5 == 0 {
			for _, target := range []string{"t0", "t1"} {
				if id, ok := f.oldestAt(target); ok {
					completed[workspaceOf[id]]++
					f.finish(now, id, dispatch.Completed)
				}
			}
		}

		f.apply(f.Tick(now))
	}

	overall := 0.0
	for _, n := range completed {
		overall += n
	}

	overall /= 3000
	require.Less(t, overall, 0.5, "the targets are overloaded")

	for workspace, n := range submitted {
		require.InDelta(t, 1, completed[workspace]/n/overall, 0.35, "%s: completed %v of %v", workspace, completed[workspace], n)
	}
}

// A group is formed again after a power loss, with requests waiting at each of seven
// entries. Guards against each entry filling the group on its own: it received seven times
// its capacity, and the steps were too long for all requests.
func TestEntriesShareARecoveredGroup(t *testing.T) {
	t.Parallel()

	const entries, targets, slots, waiting = 7, 12, 12, 40

	sent := 0

	for index := range entries {
		f := newFixture(t, targets, slots, entries, func(s *dispatch.Service) { s.Streams = true })

		for i := range f.targets {
			f.targets[i].Broken = true
			f.targets[i].Share.Index = index
		}

		f.apply(f.Update(startTime, []dispatch.Service{{Name: "drafts", Streams: true}}, f.targets))

		now := startTime.Add(1300 * time.Millisecond)
		for range waiting {
			f.submit(now, nil)
		}

		require.Empty(t, f.placed, "the group has not recovered yet")

		for i := range f.targets {
			f.targets[i].Broken = false
		}

		f.apply(f.Update(now, []dispatch.Service{{Name: "drafts", Streams: true}}, f.targets))
		sent += len(f.placed)
	}

	require.LessOrEqual(t, sent, targets*slots, "at most one request per slot")
	require.GreaterOrEqual(t, sent, targets*slots/2, "and at least half of that")
}

// The links between zones lose packets. Requests placed in another zone had event gaps of
// 200 ms, although local targets with nearly the same load could have processed them. Local
// targets must be preferred until they are much fuller.
func TestLocalZoneIsPreferred(t *testing.T) {
	t.Parallel()

	f := newFixture(t, 4, 12, 1, nil)
	f.Zone = "a"

	for i := range f.targets[2:] {
		f.targets[2+i].Zone = "b"
	}

	f.apply(f.Update(startTime, []dispatch.Service{{Name: "drafts"}}, f.targets))

	for range 10 {
		f.submit(startTime, nil)
	}

	require.Equal(t, map[string]int{"t0": 5, "t1": 5}, f.perTarget())

	for range 10 {
		f.submit(startTime, nil)
	}

	require.Equal(t, 20, len(f.placed))
	require.Positive(t, f.perTarget()["t2"], "the local targets are fuller by half of their slots")
}
