package lockstep_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Each switch sends a map of 63 ranks to 63 agents over a slow link. Guards against changes
// that are not much smaller than the whole map, and against agents that decode another map from
// them.
func TestMapChangesAreSmallerThanWholeMap(t *testing.T) {
	t.Parallel()

	first := lockstep.InitialMap(shape63Ranks.Sets, shape63Ranks.Experts, shape63Ranks.Ranks)
	next := lockstep.ImproveMap(shape63Ranks, first, lockstep.Demand(skewed(shape63Ranks, 3)), copyLimits(3))

	whole, err := lockstep.Unpack(next.Pack())
	require.NoError(t, err)
	require.Equal(t, next, whole)

	changes := first.Changes(next)
	require.Less(t, len(changes), len(next.Pack())/2)

	var cache lockstep.MapCache

	order := func(edit func(o *wire.EngineOrder)) (*wire.EngineOrder, bool) {
		o := &wire.EngineOrder{Kind: wire.EngineOrderKind_EngineOrderPrepare, Version: 8}
		edit(o)

		ok, err := cache.UnpackOrder(o)
		require.NoError(t, err)

		return o, ok
	}
	_, ok := order(func(o *wire.EngineOrder) { o.Base, o.Changes = 7, changes })
	require.False(t, ok, "the base map is not cached")

	o, ok := order(func(o *wire.EngineOrder) { o.Version, o.Whole = 7, first.Pack() })
	require.True(t, ok)
	require.Equal(t, first, lockstep.MapFromOrder(o))

	o, ok = order(func(o *wire.EngineOrder) { o.Base, o.Changes = 7, changes })
	require.True(t, ok)
	require.Equal(t, next, lockstep.MapFromOrder(o))
	require.Equal(t, next, cache.Get(8))
}

// Some agents receive a map as changes, others receive it whole, and engines compare the order
// of each rank's experts. Guards against an expert that is removed and added again during the
// search and ends up at another position in one of the two: a step would begin with two maps of
// the same version.
func TestChangesKeepExpertOrder(t *testing.T) {
	t.Parallel()

	for _, shape := range []lockstep.Shape{shape12Ranks, shape63Ranks} {
		m := lockstep.InitialMap(shape.Sets, shape.Experts, shape.Ranks)

		for seed := range uint64(20) {
			next := lockstep.ImproveMap(shape, m, lockstep.Demand(skewed(shape, seed)), copyLimits(8))

			got, err := m.Apply(m.Changes(next))
			require.NoError(t, err)
			require.Equal(t, next, got)

			m = next
		}
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add(lockstep.InitialMap(2, 6, 3).Pack())
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := lockstep.Unpack(data)
		if err != nil {
			return
		}

		again, err := lockstep.Unpack(m.Pack())
		require.NoError(t, err)
		require.Equal(t, m, again)

		_, _ = lockstep.InitialMap(2, 6, 3).Apply(data)
	})
}
