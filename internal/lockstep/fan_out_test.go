package lockstep_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/lockstep"
)

// fanOutShape is the shape of a group that is large enough for fan-out.
var fanOutShape = lockstep.Shape{Sets: 2, Experts: 54, Ranks: 27, Slots: 3, SpareSlots: 2, CopyTime: expertCopyTime}

// An agent that forwards orders to a part of a large group is lost in each phase of a switch.
// Guards against ranks that stay armed or held, and against a long hold meanwhile.
func TestFanOutLostInEachPhase(t *testing.T) {
	t.Parallel()

	for n := 1; n <= 42; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(fanOutShape, skewed(fanOutShape, 2))
				g.fanOutLost = func(i int) bool { return i == n }

				ctx, stop := context.WithCancel(t.Context())
				go g.run(ctx)

				runDirector(g, 0, 6*time.Second)
				g.requireConsistent(t, fmt.Sprintf("fan-out request %d lost", n))
				require.NotZero(t, g.ranks[0].version, "the director still switches maps")
				require.Less(t, g.heldTime, 500*time.Millisecond, "total delay by holds")
				stop()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Orders to a large group are lost or carried out late, and then its director is killed. Guards
// against a step with two maps if orders are forwarded by other agents.
func TestSingleOrderLostOrLateInLargeGroup(t *testing.T) {
	t.Parallel()

	for _, f := range []fault{faultLost, faultAnswerLost, faultLate, faultLateAccepted} {
		for n := 1; n <= 60; n += 7 {
			for _, killAfter := range []int{0, 1, 20} {
				t.Run(fmt.Sprintf("%d at %d, killed after %d", f, n, killAfter), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { testOrderFault(t, newGroup(fanOutShape, skewed(fanOutShape, 3)), f, n, killAfter) })
				})
			}
		}
	}
}
