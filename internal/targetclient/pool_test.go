package targetclient

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var poolStart = time.Unix(1000, 0)

// target returns the first incarnation of target n.
func target(n int) Target {
	return Target{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80), ID: fmt.Sprint("t", n), StartTime: 1}
}

// newPool returns a pool that keeps connections to two targets without limits.
func newPool(maxIdle int) *pool {
	p := &pool{maxIdle: maxIdle}
	p.retain(map[Target]int{target(1): NoLimit, target(2): NoLimit})

	return p
}

// idle opens a connection and keeps it for ten seconds, as stated by the target.
func idle(p *pool, now time.Time, t Target, id connID) (CloseReason, []closing) {
	p.dial(t)

	return p.keep(now, t, id, fmt.Sprint("r", id), 10*time.Second)
}

// Guards against a connection that is kept for nearly as long as the target states: the target
// would close it while a request is on its way.
func TestIdleTimeIsWellBelowTheStatedTime(t *testing.T) {
	t.Parallel()

	for _, c := range []struct{ stated, want time.Duration }{
		{0, 0},
		{time.Second, 600 * time.Millisecond},
		{2 * time.Second, 1200 * time.Millisecond},
		{3 * time.Second, 800 * time.Millisecond},
		{10 * time.Second, 5 * time.Second},
		{15 * time.Second, 8 * time.Second},
		{60 * time.Second, 8 * time.Second},
		{1 << 20 * time.Second, 8 * time.Second},
	} {
		require.Equal(t, c.want, idleTime(c.stated), c.stated)
	}
}

// Guards against the reuse of a connection at the end of its idle time, and against one that stays
// open after it.
func TestExpiredConnectionIsNotReused(t *testing.T) {
	t.Parallel()

	p := newPool(10)
	idle(p, poolStart, target(1), 1)

	end := poolStart.Add(5 * time.Second)
	require.Empty(t, p.expire(end.Add(-1)))

	_, ok := p.take(end, target(1), "r9")
	require.False(t, ok)
	require.Equal(t, []closing{{1, closeExpired}}, p.expire(end))
	require.Empty(t, p.expire(end))
}

// Guards against reuse of the oldest connection, which the target closes first.
func TestMostRecentlyUsedConnectionIsReused(t *testing.T) {
	t.Parallel()

	p := newPool(10)
	p.dial(target(1))
	p.dial(target(1))
	p.keep(poolStart, target(1), 1, "r1", 10*time.Second)
	p.keep(poolStart, target(1), 2, "r2", 10*time.Second)

	for _, want := range []connID{2, 1} {
		id, ok := p.take(poolStart, target(1), "r9")
		require.True(t, ok)
		require.Equal(t, want, id)
	}

	_, ok := p.take(poolStart, target(1), "r9")
	require.False(t, ok)
}

// Guards against an answer to the first of two requests with one ID that is taken for the answer to
// the second one.
func TestConnectionOfARequestWithTheSameIDIsNotReused(t *testing.T) {
	t.Parallel()

	p := newPool(10)
	idle(p, poolStart, target(1), 1)

	_, ok := p.take(poolStart, target(1), "r1")
	require.False(t, ok)

	_, ok = p.take(poolStart, target(1), "r2")
	require.True(t, ok)
}

// Guards against a connection to an earlier incarnation that is used for the present one, which may
// have the same address or the same ID.
func TestConnectionBelongsToOneIncarnation(t *testing.T) {
	t.Parallel()

	p := newPool(10)
	idle(p, poolStart, target(1), 1)

	otherID, otherStart := target(1), target(1)
	otherID.ID, otherStart.StartTime = "t9", 2

	closed := p.retain(map[Target]int{otherID: NoLimit, otherStart: NoLimit})
	require.Equal(t, []closing{{1, closeLeft}}, closed)

	for _, next := range []Target{otherID, otherStart} {
		_, ok := p.take(poolStart, next, "r9")
		require.False(t, ok)
	}
}

// Guards against a connection that is kept although its target left while its answer was on its way.
func TestConnectionToATargetThatHasLeftIsNotKept(t *testing.T) {
	t.Parallel()

	p := newPool(10)
	p.dial(target(1))
	p.retain(map[Target]int{target(2): NoLimit})

	reason, _ := p.keep(poolStart, target(1), 1, "r1", 10*time.Second)
	require.Equal(t, closeNotKept, reason)
	require.NotContains(t, p.targets, target(1), "a target without connections is remembered")
}

// Guards against many idle connections to one target, and against eviction of the most useful one.
func TestTwoIdleConnectionsPerTarget(t *testing.T) {
	t.Parallel()

	p := newPool(10)
	for range 3 {
		p.dial(target(1))
	}

	for id := range connID(2) {
		reason, closed := p.keep(poolStart, target(1), id+1, "r", 10*time.Second)
		require.Empty(t, reason)
		require.Empty(t, closed)
	}

	reason, closed := p.keep(poolStart, target(1), 3, "r", 10*time.Second)
	require.Empty(t, reason)
	require.Equal(t, []closing{{1, closeBound}}, closed)
}

// Guards against more idle connections than the process has descriptors for.
func TestLeastRecentlyUsedConnectionIsEvicted(t *testing.T) {
	t.Parallel()

	p := newPool(2)
	idle(p, poolStart, target(1), 1)
	idle(p, poolStart, target(2), 2)

	id, _ := p.take(poolStart, target(1), "r9")
	require.EqualValues(t, 1, id)
	p.keep(poolStart, target(1), 1, "r9", 10*time.Second)

	_, closed := idle(p, poolStart, target(1), 3)
	require.Equal(t, []closing{{2, closeBound}}, closed)
}

// Guards against connections that are kept although the setting is 0.
func TestNoConnectionIsKeptWithoutRoom(t *testing.T) {
	t.Parallel()

	reason, _ := idle(newPool(0), poolStart, target(1), 1)
	require.Equal(t, closeBound, reason)
}

// Guards against more connections than the share: a new one takes the place of an idle one, and
// a smaller share closes idle ones.
func TestShareBoundsIdleAndUsedConnections(t *testing.T) {
	t.Parallel()

	p := &pool{maxIdle: 10}
	p.retain(map[Target]int{target(1): 2})
	p.dial(target(1))
	p.dial(target(1))
	p.keep(poolStart, target(1), 1, "r1", 10*time.Second)
	require.Equal(t, []closing{{1, closeBound}}, p.dial(target(1)))

	p.keep(poolStart, target(1), 2, "r2", 10*time.Second)
	require.Equal(t, []closing{{2, closeBound}}, p.retain(map[Target]int{target(1): 1}))

	p.dial(target(1))

	reason, _ := p.keep(poolStart, target(1), 3, "r3", 10*time.Second)
	require.Equal(t, closeBound, reason, "two are in flight where one may be open")
}

// Guards against many retries: a target that closed a reused connection would do so with the others.
func TestTargetThatMisusedAConnectionGetsNoReuseForAWhile(t *testing.T) {
	t.Parallel()

	p := newPool(10)
	p.dial(target(1))
	p.dial(target(1))
	p.keep(poolStart, target(1), 1, "r1", 10*time.Second)
	require.Equal(t, []closing{{1, closePaused}}, p.pause(poolStart, target(1)))

	reason, _ := p.keep(poolStart, target(1), 2, "r2", 10*time.Second)
	require.Equal(t, closePaused, reason)

	reason, _ = idle(p, poolStart.Add(reusePause), target(1), 3)
	require.Empty(t, reason)

	_, ok := p.take(poolStart.Add(reusePause), target(1), "r9")
	require.True(t, ok)
}

// Guards against connections that become idle while the process stops.
func TestStoppingPoolKeepsNothing(t *testing.T) {
	t.Parallel()

	p := newPool(10)
	idle(p, poolStart, target(1), 1)
	idle(p, poolStart, target(2), 2)
	p.dial(target(1))
	require.Equal(t, []closing{{1, closeStopping}, {2, closeStopping}}, p.stop())

	reason, _ := p.keep(poolStart, target(1), 3, "r3", 10*time.Second)
	require.Equal(t, closeStopping, reason)
}

// Guards against connections that are lost or counted twice: after any sequence of events each one
// is in flight, idle or closed, and the bounds hold.
func TestPoolKeepsItsBounds(t *testing.T) {
	t.Parallel()

	const maxIdle, limit = 5, 3

	r := rand.New(rand.NewPCG(1, 2))
	p := &pool{maxIdle: maxIdle}
	now, last := poolStart, connID(0)
	idleNow := map[connID]bool{}

	type used struct {
		id     connID
		target Target
	}

	var inFlight []used

	closeAll := func(all []closing) {
		for _, c := range all {
			require.True(t, idleNow[c.id], "%d is closed and was not idle", c.id)
			delete(idleNow, c.id)
		}
	}

	for range 5_000 {
		now = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
		at := target(r.IntN(6))

		switch r.IntN(8) {
		case 0:
			limits := make(map[Target]int)
			for n := range 6 {
				limits[target(n)] = r.IntN(limit + 1)
			}

			closeAll(p.retain(limits))
		case 1:
			closeAll(p.expire(now))
		case 2:
			closeAll(p.pause(now, at))
		case 3:
			if id, ok := p.take(now, at, fmt.Sprint("r", r.IntN(9))); ok {
				require.True(t, idleNow[id])
				delete(idleNow, id)
				inFlight = append(inFlight, used{id, at})
			}
		case 4, 5:
			closeAll(p.dial(at))

			last++
			inFlight = append(inFlight, used{last, at})
		default:
			if len(inFlight) == 0 {
				continue
			}

			c := inFlight[0]
			inFlight = inFlight[1:]

			reason, closed := p.keep(now, c.target, c.id, fmt.Sprint("r", r.IntN(9)), time.Duration(r.IntN(20))*time.Second)
			if reason == "" {
				idleNow[c.id] = true
			}

			closeAll(closed)
		}

		require.Len(t, idleNow, p.recent.Len())
		require.LessOrEqual(t, p.recent.Len(), maxIdle)

		total := 0

		for _, c := range p.targets {
			total += c.inFlight
			require.LessOrEqual(t, len(c.idle), maxIdlePerTarget)
			require.EqualValues(t, len(c.idle), c.idleCount.Load())
			require.LessOrEqual(t, len(c.idle), max(0, c.limit-c.inFlight))
		}

		require.Len(t, inFlight, total)
	}
}
