package lockstep

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// readers stands for the requests of a group: each of them chooses experts in its own
// way, and now and then one ends and another begins.
type readers struct {
	shape Shape
	r     *rand.Rand
	tally [][]uint64
	// liked are the experts of a set from the most liked on.
	liked []int
	now   []Demand
}

func newReaders(shape Shape, requests int, seed uint64) *readers {
	x := &readers{shape: shape, r: rand.New(rand.NewPCG(seed, 1)), tally: make([][]uint64, shape.Ranks)}
	x.liked = x.r.Perm(shape.Experts)

	for r := range x.tally {
		x.tally[r] = make([]uint64, shape.Sets*shape.Experts)
	}

	for range requests {
		x.now = append(x.now, x.request())
	}

	return x
}

// usual is how often each expert is chosen in the mean: the n-th most liked one in
// proportion to 1/n.
func (x *readers) usual() Demand {
	d := newDemand(x.shape)

	for s := range d {
		for n, e := range x.liked {
			d[s][e] = 1 / float64(n+1)
		}
	}

	return d
}

func (x *readers) request() Demand {
	d := x.usual()
	for s := range d {
		for e := range d[s] {
			d[s][e] *= x.r.ExpFloat64()
		}
	}

	return d
}

// shift lets other experts take the places of some of the most liked ones.
func (x *readers) shift(moved int) {
	for n := range moved {
		other := len(x.liked) - 1 - n
		x.liked[n], x.liked[other] = x.liked[other], x.liked[n]
	}

	for i := range x.now {
		x.now[i] = x.request()
	}
}

// look returns the ranks' counts after one more step, in which a part of the requests
// was replaced by others.
func (x *readers) look(replaced int) []PollResult {
	looks := make([]PollResult, x.shape.Ranks)

	for range replaced {
		x.now[x.r.IntN(len(x.now))] = x.request()
	}

	for i, d := range x.now {
		tally := x.tally[i%x.shape.Ranks]

		for s := range d {
			for e, v := range d[s] {
				tally[s*x.shape.Experts+e] += uint64(1000 * v)
			}
		}
	}

	for r := range looks {
		looks[r].Counts = append([]uint64(nil), x.tally[r]...)
	}

	return looks
}

var largeGroup = Shape{Sets: 2, Experts: 252, Ranks: 63, Slots: 5, SpareSlots: 3}

// A group of 63 ranks reads a few hundred requests, and some of the most liked experts
// give way to others: a fifth of all choices move. That was taken for requests that come
// and go, which move a fifth in a small group. For two seconds the map followed what had
// been liked before, steps took twice as long, and half of the drafts came late.
func TestShiftOfALargeGroupIsSeen(t *testing.T) {
	t.Parallel()

	for seed := range uint64(10) {
		x := newReaders(largeGroup, 300, seed)
		c := newCounter(x.shape, time.Second)
		now := c.at

		look := func() {
			now = now.Add(150 * time.Millisecond)
			c.observe(now, x.look(10))
		}

		for range 30 {
			look()
		}

		before := c.demand()
		x.shift(1)
		require.InDelta(t, 0.2, before.distance(x.usual()), 0.07, "so many of the choices move")

		// The first look may still hold some of the choices from before.
		look()
		look()
		require.Less(t, c.demand().distance(x.usual()), 0.08, "seed %d", seed)
	}
}

// Requests come and go in a small group: what was counted for a second tells more of
// the next step than one look does, and must not be forgotten for that.
func TestRequestsThatComeAndGoAreNoShift(t *testing.T) {
	t.Parallel()

	shape := Shape{Sets: 4, Experts: 72, Ranks: 12, Slots: 8, SpareSlots: 3}

	for seed := range uint64(10) {
		x := newReaders(shape, 40, seed)
		c := newCounter(x.shape, time.Second)
		now := c.at

		var last float64

		for n := range 60 {
			now = now.Add(100 * time.Millisecond)
			c.observe(now, x.look(8))

			if n > 20 {
				last = math.Max(last, c.demand().distance(x.usual()))
			}
		}

		require.Less(t, last, 0.09, "seed %d", seed)
	}
}
