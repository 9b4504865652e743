package callers_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/callers"
)

func none() int { return 0 }
func some() int { return 1 }

// excessiveDecliner returns a Decliner whose demand is far above the mean at the returned time.
func excessiveDecliner() (*callers.Decliner, time.Time) {
	d := &callers.Decliner{}

	now := startTime
	for range 500 {
		now = now.Add(tick)
		d.Demand.Add(now)
	}

	d.Demand.SetMean(now, 20)
	d.Decline(now, none)

	return d, now
}

// Guards against connections that are declined at an entry that serves all of its requests.
func TestConnectionsAreDeclinedOnlyUnderPressure(t *testing.T) {
	t.Parallel()

	d, now := excessiveDecliner()
	require.False(t, d.Decline(now, none))
	require.True(t, d.Decline(now, some), "requests wait")

	d.RecordRefused(now)
	require.True(t, d.Decline(now.Add(100*time.Millisecond), none), "a request was refused")
	require.False(t, d.Decline(now.Add(300*time.Millisecond), none), "no request is refused anymore")
	require.EqualValues(t, 2, d.Declined())
}

// Guards against connections that are declined because of a shortage at all entries.
func TestConnectionsAreNotDeclinedAtUsualDemand(t *testing.T) {
	t.Parallel()

	d, now := excessiveDecliner()
	d.Demand.SetMean(now, 95)
	require.False(t, d.Decline(now, some))
}

// Guards against an entry that looks lost, because it declines all connections for as long as it is
// under pressure.
func TestSomeConnectionsAreAcceptedUnderPressure(t *testing.T) {
	t.Parallel()

	d, now := excessiveDecliner()
	accepted := 0

	for since := time.Duration(0); since < 2*time.Second; since += tick {
		d.Demand.SetMean(now.Add(since), 20)

		if !d.Decline(now.Add(since), some) {
			accepted++
		}
	}

	require.GreaterOrEqual(t, accepted, 7)
	require.LessOrEqual(t, accepted, 8)
	require.True(t, d.IsDeclining(now.Add(2*time.Second)))
	require.False(t, d.IsDeclining(now.Add(4*time.Second)))
}
