package lockstep_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// latePrepare is when the prepare orders of killed directors are carried out at a rank, relative
// to the orders of their successor. No director gets an answer to those that are late.
type latePrepare uint8

const (
	lateBeforeFirstOrder latePrepare = iota // before the first order of the successor
	lateBeforePrepare                       // just before the successor's prepare, which is answered
	lateBeforeResend                        // just before the successor's prepare, which gets no answer
	lateBetweenSends                        // after that prepare was lost, before its resend
	lateAfterPrepare                        // just after the successor's prepare
)

// predecessorCase describes which prepare orders of killed directors are late, and how.
type predecessorCase struct {
	late latePrepare
	// ranks is a bit mask of the ranks at which the orders are late.
	ranks uint
	// kills is the number of directors that are killed in series.
	kills int
	// fencedOnArrival is set if a rank checks the fence of an order when it arrives, not when it is
	// carried out.
	fencedOnArrival bool
}

func (c *predecessorCase) isLate(rank int) bool { return c.ranks>>rank&1 == 1 }

// runPredecessors runs the directors of c on g: each but the last is killed once it has sent its
// prepare orders, and has its own idea of the demand.
func runPredecessors(g *fakeGroup, c predecessorCase) {
	prepares := make(map[int][]*wire.EngineOrder)
	seen := make(map[int]int)
	successor := false

	release := func(k *fakeRank, rank int) {
		for _, o := range prepares[rank] {
			if c.fencedOnArrival {
				o.Fence = max(o.GetFence(), k.fence)
			}

			g.carryOut(k, rank, o)
		}

		prepares[rank] = nil
	}

	var a *agent

	g.onOrder = func(k *fakeRank, rank int, o *wire.EngineOrder) fault {
		isPrepare := o.GetKind() == wire.EngineOrderKind_EngineOrderPrepare

		if !successor {
			if isPrepare && seen[rank] == 0 {
				seen[rank]++

				if c.isLate(rank) {
					prepares[rank] = append(prepares[rank], proto.CloneOf(o))
				}
			}

			if len(seen) == g.shape.Ranks {
				a.kill()
			}

			if isPrepare {
				return faultLost
			}

			return faultNone
		}

		if !c.isLate(rank) {
			return faultNone
		}

		if c.late == lateBeforeFirstOrder {
			release(k, rank)
		}

		if !isPrepare {
			return faultNone
		}

		seen[rank]++

		switch {
		case c.late == lateBeforePrepare:
			release(k, rank)
		case c.late == lateBeforeResend && seen[rank] == 1:
			release(k, rank)

			return faultAnswerLost
		case c.late == lateBetweenSends && seen[rank] == 1:
			return faultLost
		case c.late == lateBetweenSends:
			release(k, rank)
		case c.late == lateAfterPrepare && seen[rank] == 1:
			g.carryOut(k, rank, o)
			release(k, rank)

			return faultLost
		}

		return faultNone
	}

	for i := range c.kills {
		g.mu.Lock()
		g.weight = skewed(g.shape, uint64(10+i))
		a = &agent{group: g}
		g.mu.Unlock()

		runAgent(a, 2*time.Second)
		time.Sleep(200 * time.Millisecond)
		clear(seen)
	}

	g.mu.Lock()
	g.weight, successor = skewed(g.shape, 99), true
	g.mu.Unlock()

	runAgent(&agent{group: g}, 8*time.Second)
}

// The directing agent is killed while its prepare orders are in flight, and some of them are
// carried out beside those of its successor. Guards against ranks that are switched to the maps of
// two directors.
func TestLatePrepareOfPredecessor(t *testing.T) {
	t.Parallel()

	for late := lateBeforeFirstOrder; late <= lateAfterPrepare; late++ {
		for ranks := uint(1); ranks < 1<<smallShape.Ranks; ranks++ {
			for _, kills := range []int{1, 2} {
				for _, onArrival := range []bool{false, true} {
					c := predecessorCase{late: late, ranks: ranks, kills: kills, fencedOnArrival: onArrival}
					t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
						t.Parallel()
						synctest.Test(t, func(t *testing.T) { testPredecessor(t, c) })
					})
				}
			}
		}
	}
}

func testPredecessor(t *testing.T, c predecessorCase) {
	t.Helper()

	g := newGroup(smallShape, skewed(smallShape, 1))

	ctx, stop := context.WithCancel(t.Context())
	go g.run(ctx)

	defer func() {
		stop()
		time.Sleep(10 * time.Second)
	}()

	runDirector(g, 0, 2*time.Second)
	runPredecessors(g, c)
	g.requireConsistent(t, "after the successor's switch")
	require.Less(t, g.currentMap().Skew(g.weight), lockstep.InitialMap(smallShape.Sets, smallShape.Experts, smallShape.Ranks).Skew(g.weight), "the successor switches the group")
}
