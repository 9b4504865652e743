package priority_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/priority"
)

var startTime = time.Unix(1000, 0)

const (
	timeout       = 8 * time.Second
	minRetryAfter = 150 * time.Millisecond
)

func newAges() *priority.Ages { return &priority.Ages{MaxRetryAfter: 3 * time.Second} }

// Guards against callers that return being taken for new ones, and new ones for those who return.
func TestAgeIsWhatCallersNoLongerWait(t *testing.T) {
	t.Parallel()

	a := newAges()
	age := func(left time.Duration) time.Duration { return a.AgeOf(startTime, "r", "w", left, timeout) }

	require.Zero(t, age(5*time.Second))
	require.Zero(t, age(5005*time.Millisecond))
	require.Zero(t, age(4300*time.Millisecond), "first attempts differ by up to 0.15 of the longest")
	require.Equal(t, 204250*time.Microsecond, age(4050*time.Millisecond))

	for _, c := range []struct {
		age  time.Duration
		want priority.Attempt
	}{
		{0, priority.FirstAttempt},
		{30 * time.Millisecond, priority.FirstAttempt},
		{31 * time.Millisecond, priority.RepeatedAtOnce},
		{149 * time.Millisecond, priority.RepeatedAtOnce},
		{150 * time.Millisecond, priority.ReturnedAsTold},
	} {
		require.Equal(t, c.want, priority.AttemptOf(c.age, minRetryAfter), c.age)
	}
}

// A caller states far more than the route's timeout, or a time in the past. Guards against an age
// that has no bound.
func TestStatedTimeIsClamped(t *testing.T) {
	t.Parallel()

	a := newAges()
	require.Zero(t, a.AgeOf(startTime, "r", "w", 1<<62, timeout))

	for range 10 {
		require.Zero(t, a.AgeOf(startTime, "r", "w", timeout, timeout))
	}

	require.Equal(t, 6800*time.Millisecond, a.AgeOf(startTime, "r", "w", -time.Hour, timeout))
}

// Guards against a time that was stated once and makes all later requests look old.
func TestStatedTimeIsForgotten(t *testing.T) {
	t.Parallel()

	a := newAges()
	a.AgeOf(startTime, "r", "w", 7*time.Second, timeout)

	now := startTime.Add(50 * time.Second)
	require.Equal(t, 950*time.Millisecond, a.AgeOf(now, "r", "w", 5*time.Second, timeout))
	require.Zero(t, a.AgeOf(startTime.Add(120*time.Second), "r", "w", 5*time.Second, timeout))
}

// Some callers state a longer time than the others. Guards against requests that look old because
// of what a few callers, or those of another workspace, say.
func TestFewCallersMakeNoOthersLookOld(t *testing.T) {
	t.Parallel()

	a := newAges()

	for i := range 1000 {
		now := startTime.Add(time.Duration(i) * 10 * time.Millisecond)
		a.AgeOf(now, "r", "hostile", timeout, timeout)

		if i >= 100 && i%12 == 0 {
			a.AgeOf(now, "r", "w", timeout, timeout)
			a.AgeOf(now, "r", "w", 5*time.Second+time.Duration(i)*time.Millisecond, timeout)

			continue
		}

		require.Zero(t, a.AgeOf(now, "r", "w", 5*time.Second, timeout), i)
	}
}

// Two kinds of callers in one workspace wait for different times. Guards against the less patient
// ones being late from the start.
func TestImpatientCallersAreNotOld(t *testing.T) {
	t.Parallel()

	a := newAges()
	a.AgeOf(startTime, "r", "w", 8*time.Second, timeout)

	for range 20 {
		require.Zero(t, a.AgeOf(startTime, "r", "w", 4*time.Second, timeout))
		require.Zero(t, a.AgeOf(startTime, "r", "w", 8*time.Second, timeout))
	}

	require.Equal(t, 200*time.Millisecond, a.AgeOf(startTime, "r", "w", 6600*time.Millisecond, timeout))
}

// Guards against memory that grows with the workspaces that have ever been seen.
func TestAgesOfManyWorkspacesAreBounded(t *testing.T) {
	t.Parallel()

	a := newAges()
	for i := range 30_000 {
		a.AgeOf(startTime, "r", fmt.Sprint("w", i), timeout, timeout)
	}

	require.Equal(t, 13_000, a.Workspaces())
	a.AgeOf(startTime.Add(2*time.Minute), "r", "w", timeout, timeout)
	require.Equal(t, 1, a.Workspaces())
}

// Callers state between 6.8 and 8.0 s at first, as was measured, and some workspaces have few
// requests. Guards against first attempts that are refused at once, as if they were late already.
func TestFirstAttemptsMayStateDifferentTimes(t *testing.T) {
	t.Parallel()

	a := newAges()
	r := rand.New(rand.NewPCG(1, 2))

	for i := range 2000 {
		now := startTime.Add(time.Duration(i) * 10 * time.Millisecond)
		left := 6800*time.Millisecond + time.Duration(r.Int64N(int64(1200*time.Millisecond)))
		require.Zero(t, a.AgeOf(now, "r", fmt.Sprint("w", i%(1+i%40)), left, timeout))
	}
}

// The timeout of a route is lowered. Guards against first attempts that look old because of deadlines from
// before the change.
func TestLowerTimeoutMakesNoFirstAttemptOld(t *testing.T) {
	t.Parallel()

	a := newAges()

	for i := range 1000 {
		a.AgeOf(startTime.Add(time.Duration(i)*30*time.Millisecond), "r", "w", timeout, timeout)
	}

	require.Zero(t, a.AgeOf(startTime.Add(31*time.Second), "r", "w", 5500*time.Millisecond, 5500*time.Millisecond))
}
