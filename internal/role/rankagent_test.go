package role

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/lockstep"
)

// A rank of the group is lost, the others wait for it, and the group breaks. Guards against
// entries that learn it only from their own streams, which are few on large deployments, or
// from the next announcement.
func TestAgentReportsStalledAndBrokenGroup(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		report := lockstep.Report{Group: "g", Epoch: 1, Step: 7, Open: true, Running: 2}
		a := &RankAgent{Engine: lockstep.Engine{Report: func(context.Context) (lockstep.Report, error) { return report, nil }}}
		check := func(stalled, broken bool) {
			t.Helper()

			l, err := a.load(t.Context())
			require.NoError(t, err)
			require.Equal(t, []bool{stalled, broken}, []bool{l.Stalled, l.Broken})
		}

		check(false, false)
		time.Sleep(stallTime)
		check(true, false)

		report.Step++

		check(false, false)

		report.Running = 0

		time.Sleep(stallTime)
		check(false, false)

		report.Open = false

		check(false, true)
	})
}

// Guards against agents of other ranks that sum the counts of the group as well.
func TestOnlyTheAgentOfRankZeroNamesTheGroup(t *testing.T) {
	t.Parallel()

	for rank, want := range []string{"g", ""} {
		a := &RankAgent{Engine: lockstep.Engine{Report: func(context.Context) (lockstep.Report, error) {
			return lockstep.Report{Group: "g", Rank: rank, Size: 2, Open: true}, nil
		}}}

		l, err := a.load(t.Context())
		require.NoError(t, err)
		require.Equal(t, want, l.Group)
	}
}

// Guards against an agent that asks its engine separately for each purpose: hundreds of agents
// then spend a third more on engines that have nothing to tell.
func TestEngineIsAskedOncePerInterval(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var asked atomic.Int64

		a := &RankAgent{Engine: lockstep.Engine{Report: func(context.Context) (lockstep.Report, error) {
			asked.Add(1)

			return lockstep.Report{Group: "g", Rank: standbyRank + 1, Size: standbyRank + 2}, nil
		}}}
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()

		done := make(chan struct{})

		go func() {
			defer close(done)
			a.watchRank(ctx)
		}()

		for ctx.Err() == nil {
			_, err := a.load(ctx)
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
		}

		<-done
		require.LessOrEqual(t, asked.Load(), int64(105))
	})
}

// Guards against a skew that entries learn only with the next regular report, or from an agent that
// no longer directs the group: it is published at once when it has changed much, and not at all when
// it is old or of another epoch.
func TestAgentReportsSkewOfTheMapInUse(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		report := lockstep.Report{Group: "g", Epoch: 1, Open: true}
		a := &RankAgent{
			Engine: lockstep.Engine{Report: func(context.Context) (lockstep.Report, error) { return report, nil }}, skew: newMapSkew(),
		}
		check := func(skew float64, changed int) {
			t.Helper()

			l, err := a.load(t.Context())
			require.NoError(t, err)
			require.InDelta(t, skew, l.Skew, 1e-9)
			require.Len(t, a.skew.changed, changed)
		}
		set := func(skew float64) { a.skew.set(time.Now(), report, skew) }

		check(0, 0)
		set(1.34)
		check(1.34, 1)
		<-a.skew.changed

		set(1.38)
		check(1.34, 0)
		set(2.7)
		check(2.7, 1)
		<-a.skew.changed

		time.Sleep(skewTTL)
		check(0, 0)
		set(2.7)
		check(2.7, 1)

		report.Epoch = 2

		check(0, 1)
	})
}
