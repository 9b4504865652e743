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
	when latePrepare
	// ranks is a bit mask of the ranks at which the orders are late.
	ranks uint
	// kills is the number of directors that are killed in series.
	kills int
	// fencedOnArrival is set if a rank checks the fence of an order when it arrives, not when it is
	// carried out.
	fencedOnArrival bool
}

func (c *predecessorCase) isLate(rank int) bool { return c.ranks>>rank&1 == 1 }

// predecessorRun runs the directors of one case.
type predecessorRun struct {
	predecessorCase

	group *fakeGroup
	// directing is the agent that directs the group.
	directing *agent
	// late holds the prepare orders that a rank has not carried out yet, prepares counts those of the
	// directing agent, both by rank.
	late     map[int][]*wire.EngineOrder
	prepares map[int]int
}

// runPredecessors runs the directors of c on g: each but the last is killed once it has sent its
// prepare orders, and has its own idea of the demand.
func runPredecessors(g *fakeGroup, c predecessorCase) {
	r := &predecessorRun{predecessorCase: c, group: g, late: make(map[int][]*wire.EngineOrder), prepares: make(map[int]int)}

	for i := range c.kills {
		r.run(r.onPredecessorsOrder, skewed(g.shape, uint64(10+i)), 2*time.Second)
		time.Sleep(200 * time.Millisecond)
		clear(r.prepares)
	}

	r.run(r.onSuccessorsOrder, skewed(g.shape, 99), 8*time.Second)
}

func (r *predecessorRun) run(onOrder func(*fakeRank, int, *wire.EngineOrder) fault, weight [][]float64, d time.Duration) {
	r.group.mu.Lock()
	r.directing = &agent{group: r.group}
	r.group.weight, r.group.onOrder = weight, onOrder
	r.group.mu.Unlock()

	runAgent(r.directing, d)
}

func (r *predecessorRun) onPredecessorsOrder(_ *fakeRank, rank int, o *wire.EngineOrder) fault {
	if o.GetKind() != wire.EngineOrderKind_EngineOrderPrepare {
		return faultNone
	}

	if r.prepares[rank]++; r.prepares[rank] == 1 && r.isLate(rank) {
		r.late[rank] = append(r.late[rank], proto.CloneOf(o))
	}

	if len(r.prepares) == r.group.shape.Ranks {
		r.directing.kill()
	}

	return faultLost
}

func (r *predecessorRun) onSuccessorsOrder(k *fakeRank, rank int, o *wire.EngineOrder) fault {
	if !r.isLate(rank) {
		return faultNone
	}

	if r.when == lateBeforeFirstOrder {
		r.carryOutLate(k, rank)
	}

	if o.GetKind() != wire.EngineOrderKind_EngineOrderPrepare {
		return faultNone
	}

	r.prepares[rank]++
	first := r.prepares[rank] == 1

	switch {
	case r.when == lateBeforePrepare:
		r.carryOutLate(k, rank)
	case r.when == lateBeforeResend && first:
		r.carryOutLate(k, rank)

		return faultAnswerLost
	case r.when == lateBetweenSends && first:
		return faultLost
	case r.when == lateBetweenSends:
		r.carryOutLate(k, rank)
	case r.when == lateAfterPrepare && first:
		r.group.carryOut(k, rank, o)
		r.carryOutLate(k, rank)

		return faultLost
	}

	return faultNone
}

// carryOutLate carries out the late orders of a rank.
func (r *predecessorRun) carryOutLate(k *fakeRank, rank int) {
	for _, o := range r.late[rank] {
		if r.fencedOnArrival {
			o.Fence = max(o.GetFence(), k.fence)
		}

		r.group.carryOut(k, rank, o)
	}

	r.late[rank] = nil
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
					c := predecessorCase{when: late, ranks: ranks, kills: kills, fencedOnArrival: onArrival}
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
