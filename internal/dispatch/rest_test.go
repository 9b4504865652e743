package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// newRestingEntry returns an entry that prefers target a to b, which is in another zone.
func newRestingEntry(t *testing.T) (e *oneEntry, preferred, other dispatch.Target) {
	t.Helper()

	preferred, other = desk("a"), desk("b")
	preferred.Zone, other.Zone = "near", "far"

	e = newOneEntry(t, preferred, other)
	e.Zone = "near"

	return e, preferred, other
}

// placeAt submits a request that must be placed at a target.
func (e *oneEntry) placeAt(now time.Time, target string) dispatch.Action {
	e.t.Helper()

	a, ok := e.submit(now, time.Second)
	require.True(e.t, ok, "the request waits")
	require.True(e.t, a.Placed, "refused: %s", a.Cause)
	require.Equal(e.t, target, a.Target.ID)

	return a
}

// askForRest lets the target of a placed request turn it away.
func (e *oneEntry) askForRest(now time.Time, a dispatch.Action, rest time.Duration) {
	e.ReportRest(a, now.Add(rest))
	e.Finish(now, a, 1, dispatch.Rejected)
}

const rest = 3 * time.Second

// Guards against a rest that is forgotten when the directory or the configuration changes.
func TestRestOutlivesTheDirectoryEntry(t *testing.T) {
	t.Parallel()

	e, preferred, other := newRestingEntry(t)
	e.askForRest(startTime, e.placeAt(startTime, "a"), rest)

	e.list(startTime.Add(time.Second), other)
	e.Update(startTime.Add(time.Second), nil, nil)
	e.list(startTime.Add(time.Second), preferred, other)

	for n := range 19 {
		now := startTime.Add(time.Second + time.Duration(n)*100*time.Millisecond)
		e.Finish(now, e.placeAt(now, "b"), 1, dispatch.Completed)
	}
}

// Guards against the rest of a target that has ended: its next incarnation has asked for none.
func TestRestEndsWithTheIncarnation(t *testing.T) {
	t.Parallel()

	e := newOneEntry(t, desk("a"))
	e.askForRest(startTime, e.placeAt(startTime, "a"), time.Minute)

	again := desk("a")
	again.StartTime = 1
	e.list(startTime.Add(time.Second), again)
	e.placeAt(startTime.Add(time.Second), "a")
}

// Guards against a rest that ends early because a stream that began before it completes.
func TestRestOutlivesEarlierRequests(t *testing.T) {
	t.Parallel()

	e := newOneEntry(t, desk("a"))
	stream := e.placeAt(startTime, "a")
	e.askForRest(startTime, e.placeAt(startTime, "a"), rest)
	e.Finish(startTime.Add(time.Second), stream, 1, dispatch.Completed)

	a, ok := e.submit(startTime.Add(time.Second), time.Second)
	require.True(t, ok, "the request waits")
	require.False(t, a.Placed)
}

// Guards against a rest that ends early because a second answer asks for less.
func TestShorterRestDoesNotEndALongerOne(t *testing.T) {
	t.Parallel()

	e, _, _ := newRestingEntry(t)
	first, second := e.placeAt(startTime, "a"), e.placeAt(startTime, "a")
	e.askForRest(startTime, first, rest)
	e.askForRest(startTime, second, time.Second)

	e.placeAt(startTime.Add(2*time.Second), "b")
}

// Guards against requests that wait although all targets rest until after their deadline.
func TestRequestsAreRefusedAtOnceWhileAllTargetsRest(t *testing.T) {
	t.Parallel()

	e := newOneEntry(t, desk("a"))
	e.askForRest(startTime, e.placeAt(startTime, "a"), rest)

	now := startTime.Add(time.Second)

	a, ok := e.submit(now, time.Second)
	require.True(t, ok, "the request waits")
	require.Equal(t, verdict.CauseOverload, a.Cause)
	require.Equal(t, startTime.Add(rest), a.RetryAt)

	_, ok = e.submit(startTime.Add(2500*time.Millisecond), time.Second)
	require.False(t, ok, "a request that can be sent before its deadline is refused")
}

// Guards against many requests at once to a target whose rest has ended: it may turn all of them
// away again, and each has then used up a try.
func TestOneRequestAtATimeAfterARest(t *testing.T) {
	t.Parallel()

	e, _, _ := newRestingEntry(t)
	e.askForRest(startTime, e.placeAt(startTime, "a"), rest)

	now := startTime.Add(rest)
	trial := e.placeAt(now, "a")
	e.placeAt(now, "b")
	e.placeAt(now, "b")

	// Turned away again: the next rest begins.
	e.askForRest(now.Add(time.Millisecond), trial, rest)
	e.placeAt(now.Add(2*time.Second), "b")

	// Lost: the next request may try.
	now = now.Add(rest + time.Millisecond)
	e.Finish(now, e.placeAt(now, "a"), 1, dispatch.Canceled)

	// Accepted: others may follow.
	trial = e.placeAt(now, "a")
	e.ReportRest(trial, time.Time{})
	e.placeAt(now, "a")
}

// Guards against a target that is stopped for good: the request that tries it after a rest ends while
// the configuration does not have its service.
func TestTrialEndsWithoutItsService(t *testing.T) {
	t.Parallel()

	e, preferred, other := newRestingEntry(t)
	e.askForRest(startTime, e.placeAt(startTime, "a"), rest)

	now := startTime.Add(rest)
	trial := e.placeAt(now, "a")
	e.Update(now, nil, nil)
	e.Finish(now, trial, 1, dispatch.Failed)

	e.list(now, preferred, other)
	e.placeAt(now, "a")
}
