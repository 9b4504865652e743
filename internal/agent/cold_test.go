package agent

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Guards against overloading a target that turns cold: its concurrency limit must drop, and a
// canceled request must keep counting because the target may still work on it.
func TestColdTargetLimits(t *testing.T) {
	t.Parallel()

	t.Run("late first tokens lower the limit", func(t *testing.T) {
		t.Parallel()

		var cold atomic.Bool

		r := newFixture(t, httpTarget(t, func(w http.ResponseWriter, r *http.Request) {
			if cold.Load() {
				time.Sleep(150 * time.Millisecond)
			}

			ok(w, r)
		}), func(a *Agent) { a.Settings.Admission.RampInterval = time.Nanosecond })
		r.view.Store(&admission.View{Version: 8, FreshUntil: time.Now().Add(time.Hour), ColdLimit: 1, WarmLimit: 2})

		for r.agent.Dump().Load.Cold {
			r.do(r.request("/draft", "x"))
		}

		for range 16 {
			r.do(r.request("/draft", "x"))
		}

		require.EqualValues(t, 2, r.agent.Dump().Load.Limit)
		cold.Store(true)

		for range 4 {
			r.do(r.request("/draft", "x"))
		}

		require.EqualValues(t, 1, r.agent.Dump().Load.Limit)
	})
	t.Run("a canceled request still counts against the cold limit", func(t *testing.T) {
		t.Parallel()

		bt := newBlockingTarget()
		r := newFixture(t, httpTarget(t, bt.serve("text/plain")), func(a *Agent) { a.Settings.Admission.CanceledWorkTTL = time.Hour })
		r.view.Store(&admission.View{Version: 8, FreshUntil: time.Now().Add(time.Hour), ColdLimit: 1, WarmLimit: 2})
		r.announce("boot-2")

		ctx, cancel := context.WithCancel(context.Background())
		resp, _ := r.open(ctx, r.request("/draft", "x"))
		<-bt.started
		cancel()
		resp.Body.Close()
		<-bt.canceled
		require.Eventually(t, func() bool { return r.agent.Dump().Load.InFlight == 0 }, 5*time.Second, time.Millisecond)

		a := r.do(r.request("/draft", "x"))
		a.requireRefused(t, wire.Verdict_NotRun, "ColdLimit")
	})
}
