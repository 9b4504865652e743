package lockstep

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeRequests stands for the requests of a group: each of them chooses experts in its own
// way, and now and then one ends and another begins.
type fakeRequests struct {
	shape  Shape
	r      *rand.Rand
	counts [][]uint64
	// popularity are the experts of a set from the most liked on.
	popularity []int
	active     []Demand
}

func newFakeRequests(shape Shape, requests int, seed uint64) *fakeRequests {
	x := &fakeRequests{shape: shape, r: rand.New(rand.NewPCG(seed, 1)), counts: make([][]uint64, shape.Ranks)}
	x.popularity = x.r.Perm(shape.Experts)

	for r := range x.counts {
		x.counts[r] = make([]uint64, shape.Sets*shape.Experts)
	}

	for range requests {
		x.active = append(x.active, x.newRequest())
	}

	return x
}

// meanDemand is how often each expert is chosen in the mean: the n-th most liked one in
// proportion to 1/n.
func (x *fakeRequests) meanDemand() Demand {
	d := newDemand(x.shape)

	for s := range d {
		for n, e := range x.popularity {
			d[s][e] = 1 / float64(n+1)
		}
	}

	return d
}

func (x *fakeRequests) newRequest() Demand {
	d := x.meanDemand()
	for s := range d {
		for e := range d[s] {
			d[s][e] *= x.r.ExpFloat64()
		}
	}

	return d
}

// shift lets other experts take the places of some of the most liked ones.
func (x *fakeRequests) shift(moved int) {
	for n := range moved {
		other := len(x.popularity) - 1 - n
		x.popularity[n], x.popularity[other] = x.popularity[other], x.popularity[n]
	}

	for i := range x.active {
		x.active[i] = x.newRequest()
	}
}

// nextPoll returns the ranks' counts after one more step, in which a part of the requests
// was replaced by others.
func (x *fakeRequests) nextPoll(replaced int) []PollResult {
	polls := make([]PollResult, x.shape.Ranks)

	for range replaced {
		x.active[x.r.IntN(len(x.active))] = x.newRequest()
	}

	for i, d := range x.active {
		counts := x.counts[i%x.shape.Ranks]

		for s := range d {
			for e, v := range d[s] {
				counts[s*x.shape.Experts+e] += uint64(1000 * v)
			}
		}
	}

	for r := range polls {
		polls[r].Counts = append([]uint64(nil), x.counts[r]...)
	}

	return polls
}

var largeShape = Shape{Sets: 2, Experts: 252, Ranks: 63, Slots: 5, SpareSlots: 3}

// A group of 63 ranks reads a few hundred requests, and some of the most liked experts
// give way to others: a fifth of all choices move. That was taken for requests that come
// and go, which move a fifth in a small group. For two seconds the map followed what had
// been liked before, steps took twice as long, and half of the drafts came late.
func TestDemandShiftDetectedInLargeGroup(t *testing.T) {
	t.Parallel()

	for seed := range uint64(10) {
		x := newFakeRequests(largeShape, 300, seed)
		c := newDemandEstimator(x.shape, time.Second)
		now := c.observedAt

		observe := func() {
			now = now.Add(150 * time.Millisecond)
			c.observe(now, x.nextPoll(10))
		}

		for range 30 {
			observe()
		}

		before := c.expected()
		x.shift(1)
		require.InDelta(t, 0.2, before.distance(x.meanDemand()), 0.07, "so many of the choices move")

		// The first look may still hold some of the choices from before.
		observe()
		observe()
		require.Less(t, c.expected().distance(x.meanDemand()), 0.08, "seed %d", seed)
	}
}

// Requests come and go in a small group: what was counted for a second tells more of
// the next step than one look does, and must not be forgotten for that.
func TestRequestTurnoverIsNotADemandShift(t *testing.T) {
	t.Parallel()

	shape := Shape{Sets: 4, Experts: 72, Ranks: 12, Slots: 8, SpareSlots: 3}

	for seed := range uint64(10) {
		x := newFakeRequests(shape, 40, seed)
		c := newDemandEstimator(x.shape, time.Second)
		now := c.observedAt

		var maxDistance float64

		for n := range 60 {
			now = now.Add(100 * time.Millisecond)
			c.observe(now, x.nextPoll(8))

			if n > 20 {
				maxDistance = math.Max(maxDistance, c.expected().distance(x.meanDemand()))
			}
		}

		require.Less(t, maxDistance, 0.09, "seed %d", seed)
	}
}
