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
