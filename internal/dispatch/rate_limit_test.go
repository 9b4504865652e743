package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// oneEntry is a dispatcher with targets that serve each request at once.
type oneEntry struct {
	*dispatch.Dispatcher

	t       *testing.T
	targets []dispatch.Target
	lastID  uint64
	limits  map[string]dispatch.RateLimit
}

func newOneEntry(t *testing.T, targets ...dispatch.Target) *oneEntry {
	t.Helper()

	e := &oneEntry{
		Dispatcher: &dispatch.Dispatcher{Settings: dispatch.DefaultSettings(), Rand: rand.New(rand.NewPCG(1, 1))},
		t:          t, targets: targets, limits: map[string]dispatch.RateLimit{},
	}
	e.list(startTime.Add(-time.Minute), targets...)

	return e
}

// list replaces the targets that the directory lists.
func (e *oneEntry) list(now time.Time, targets ...dispatch.Target) {
	e.Update(now, []dispatch.Service{{Name: "desk"}}, targets)
}

func (e *oneEntry) submit(now time.Time, timeout time.Duration) (dispatch.Action, bool) {
	e.lastID++

	for _, a := range e.Submit(now, dispatch.Request{ID: e.lastID, Service: "desk", SoftDeadline: now.Add(timeout), Deadline: now.Add(timeout)}) {
		if a.ID == e.lastID {
			return a, true
		}
	}

	return dispatch.Action{}, false
}

// serve sends a request, which its target answers at once with its limit, and returns the target.
func (e *oneEntry) serve(now time.Time) string {
	e.t.Helper()

	a, ok := e.submit(now, time.Second)
	require.True(e.t, ok, "the request waits")
	require.True(e.t, a.Placed, "refused: %s", a.Cause)

	e.ReportRateLimit(now, a, e.limits[a.Target.ID])
	e.Finish(now, a, 1, dispatch.Completed)

	return a.Target.ID
}

// count serves a request each 100 ms and returns how many each target received.
func (e *oneEntry) count(from time.Time, d time.Duration) map[string]int {
	e.t.Helper()

	out := map[string]int{}
	for now := from; now.Before(from.Add(d)); now = now.Add(100 * time.Millisecond) {
		out[e.serve(now)]++
	}

	return out
}

func desk(id string) dispatch.Target { return dispatch.Target{ID: id, Service: "desk", Slots: 6} }

var oneASecond = dispatch.RateLimit{PerSecond: 1, Stated: true}

// Guards against a limit that holds for longer than its target states it.
func TestRateLimitEndsWithTheAnswerThatStatesNone(t *testing.T) {
	t.Parallel()

	e := newOneEntry(t, desk("a"), desk("b"))
	e.limits["a"] = oneASecond
	require.LessOrEqual(t, e.count(startTime, 20*time.Second)["a"], 21)

	delete(e.limits, "a")
	e.count(startTime.Add(20*time.Second), 5*time.Second)
	require.Greater(t, e.count(startTime.Add(25*time.Second), 10*time.Second)["a"], 30)
}

// Guards against a limit that is forgotten because an answer without it arrives late: its request
// was sent before the limit was stated.
func TestRateLimitOutlivesAnswersThatWereOvertaken(t *testing.T) {
	t.Parallel()

	e := newOneEntry(t, desk("a"), desk("b"))

	overtaken, _ := e.submit(startTime, time.Second)
	e.limits[overtaken.Target.ID] = oneASecond
	e.count(startTime.Add(time.Second), time.Second)

	e.ReportRateLimit(startTime.Add(2*time.Second), overtaken, dispatch.RateLimit{})
	require.LessOrEqual(t, e.count(startTime.Add(2*time.Second), 10*time.Second)[overtaken.Target.ID], 11)
}

// Guards against a limit that is forgotten with the directory entry of its target: the directory
// may miss a target for a while, or its zone may be out.
func TestRateLimitOutlivesTheDirectoryEntry(t *testing.T) {
	t.Parallel()

	e := newOneEntry(t, desk("a"), desk("b"))
	e.limits["a"] = oneASecond
	e.count(startTime, 5*time.Second)

	e.list(startTime.Add(5*time.Second), desk("b"))
	e.count(startTime.Add(5*time.Second), 5*time.Second)
	e.list(startTime.Add(10*time.Second), desk("a"), desk("b"))

	require.LessOrEqual(t, e.count(startTime.Add(10*time.Second), 10*time.Second)["a"], 11)
}

// Guards against the limit of a target that has ended: its next incarnation has stated none.
func TestRateLimitEndsWithTheIncarnation(t *testing.T) {
	t.Parallel()

	e := newOneEntry(t, desk("a"), desk("b"))
	e.limits["a"] = oneASecond
	e.count(startTime, 5*time.Second)

	delete(e.limits, "a")

	again := desk("a")
	again.StartTime = 1
	e.list(startTime.Add(5*time.Second), again, desk("b"))

	require.Greater(t, e.count(startTime.Add(5*time.Second), 10*time.Second)["a"], 30)
}

// Guards against requests that wait until their deadline although the limits of all targets
// cannot admit them, and against a delay after which the entry could not admit them either.
func TestRequestsBeyondAllRateLimitsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()

	e := newOneEntry(t, desk("a"), desk("b"))
	e.limits["a"], e.limits["b"] = oneASecond, oneASecond

	for n := range 8 {
		e.serve(startTime.Add(time.Duration(n) * 100 * time.Millisecond))
	}

	now := startTime.Add(time.Second)

	a, ok := e.submit(now, time.Second)
	require.True(t, ok, "the request waits")
	require.False(t, a.Placed)
	require.Equal(t, verdict.CauseOverload, a.Cause)
	require.Equal(t, e.Settings.MaxRetryAfter, a.RetryAt.Sub(now))

	// A target admits the next request after 5 s; there is one such place for each.
	now = startTime.Add(4500 * time.Millisecond)

	_, ok = e.submit(now, time.Second)
	require.False(t, ok, "a request that a target will accept is refused")

	for range 10 {
		if a, ok = e.submit(now, time.Second); ok {
			break
		}
	}

	require.True(t, ok, "more requests wait than the targets will accept")
	require.False(t, a.Placed)
	require.Positive(t, a.RetryAt.Sub(now))
}

// Guards against requests that are refused because one of the targets has a limit.
func TestRequestsGoToTargetsWithoutRateLimit(t *testing.T) {
	t.Parallel()

	e := newOneEntry(t, desk("a"), desk("b"))
	e.limits["a"] = dispatch.RateLimit{Stated: true}
	got := e.count(startTime, 30*time.Second)

	require.Positive(t, got["a"], "a limit of 0 must be asked whether it has ended")
	require.LessOrEqual(t, got["a"], 8)
	require.GreaterOrEqual(t, got["b"], 290)
}

// Entries join and know only half of the others, and entries leave while some still count them.
// Guards against a target that gets more than its limit from the entries that have heard it.
func TestRateLimitHoldsWhileEntriesAreReplaced(t *testing.T) {
	t.Parallel()

	const perSecond, limited, deafTime = 5, "t001", 500 * time.Millisecond

	for _, entries := range entryCounts {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()

			r := rand.New(rand.NewPCG(uint64(entries), 1))
			es := newEntrySet(entries, 3, dispatch.Service{Name: "desk"}, nil)
			updateAt, toldAt := map[*testEntry]time.Time{}, map[*testEntry]time.Time{}
			counted := &entrySet{sent: map[string][]time.Time{}}
			all := es.match(es.roster())

			for tick := range 100 {
				now := startTime.Add(time.Duration(tick) * 200 * time.Millisecond)

				if tick%10 == 9 {
					es.replaceEntries(r, now, updateAt)
					all = es.match(es.roster())
				}

				for _, e := range es.entries {
					es.updateIfDue(now, e, all, updateAt)
					es.fill(now, e)

					for _, a := range e.placed {
						at, told := toldAt[e]

						switch {
						case a.Target.ID != limited:
						case !told:
							toldAt[e] = now
						case now.Sub(at) >= deafTime:
							counted.sent[limited] = append(counted.sent[limited], now)
						}
					}

					es.answerAll(now, e, limited, dispatch.RateLimit{PerSecond: perSecond, Stated: true})
				}
			}

			allowed := rateLimitOvershoot*perSecond*rateLimitWindow.Seconds() + rateLimitSlack
			require.LessOrEqual(t, float64(counted.maxPerWindow(limited, startTime, rateLimitWindow)), allowed)
		})
	}
}
