package lockstep

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeRequests simulates the running requests of a group. Each of them has its own demand for
// experts, and some end and are replaced by others.
type fakeRequests struct {
	shape  Shape
	r      *rand.Rand
	counts [][]uint64
	// popularity lists the experts of a set, the most popular first.
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

// meanDemand returns the mean demand: the n-th most popular expert is chosen in proportion to
// 1/n.
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

// shift swaps the most popular experts with the least popular ones and replaces all requests.
func (x *fakeRequests) shift(moved int) {
	for n := range moved {
		other := len(x.popularity) - 1 - n
		x.popularity[n], x.popularity[other] = x.popularity[other], x.popularity[n]
	}

	for i := range x.active {
		x.active[i] = x.newRequest()
	}
}

// poll replaces some of the requests, runs one more step and returns the counts of the
// ranks.
func (x *fakeRequests) poll(replaced int) []PollResult {
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

// In a group of 63 ranks with a few hundred requests, some of the most popular experts change,
// which moves a fifth of all choices. Guards against mistaking that for turnover of requests,
// which moves as much in a small group: the map then matched the old demand for two seconds,
// steps took twice as long, and half of the requests were late.
func TestDemandShiftDetectedInLargeGroup(t *testing.T) {
	t.Parallel()

	for seed := range uint64(10) {
		x := newFakeRequests(largeShape, 300, seed)
		c := newDemandEstimator(x.shape, time.Second)
		now := c.observedAt

		poll := func() {
			now = now.Add(150 * time.Millisecond)
			c.observe(now, x.poll(10))
		}

		for range 30 {
			poll()
		}

		before := c.demand()
		x.shift(1)
		require.InDelta(t, 0.2, before.distance(x.meanDemand()), 0.07, "share of choices that move")

		// The first poll may still contain choices from before the shift.
		poll()
		poll()
		require.Less(t, c.demand().distance(x.meanDemand()), 0.08, "seed %d", seed)
	}
}

// Guards against taking the turnover of requests in a small group for a shift: counts of the
// last second predict the next step better than those of a single poll, and must not be
// dropped.
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
			c.observe(now, x.poll(8))

			if n > 20 {
				maxDistance = math.Max(maxDistance, c.demand().distance(x.meanDemand()))
			}
		}

		require.Less(t, maxDistance, 0.09, "seed %d", seed)
	}
}
