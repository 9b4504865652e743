package lockstep_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Answers with counts are lost, engines and agents start anew, and two askers hold different
// ones. Guards against choices that are counted twice, or not at all without a restart.
func TestWhatIsHeardIsWhatWasAdded(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		var told lockstep.Tallies

		counts, total := make([]uint64, 5), make([]uint64, 5)
		heard := make([]lockstep.Heard, 2)
		first := make([][]uint64, 2)
		restarts := 0

		for range 40 {
			for i := range counts {
				n := uint64(rapid.IntRange(0, 9).Draw(t, "more"))
				counts[i] += n
				total[i] += n
			}

			if rapid.IntRange(0, 20).Draw(t, "engine starts anew") == 0 {
				counts = make([]uint64, 5)
				restarts++
			}

			if rapid.IntRange(0, 20).Draw(t, "agent starts anew") == 0 {
				told = lockstep.Tallies{Mark: told.Mark + 1000}
				restarts++
			}

			asker := rapid.IntRange(0, 1).Draw(t, "asker")
			h := &heard[asker]

			var out wire.LookAnswer

			told.Tell(&out, "0", counts, h.Mark)

			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 || !h.Take(&out) {
				continue
			}

			if first[asker] == nil {
				first[asker] = slices.Clone(total)
			}

			for i := range counts {
				added := total[i] - first[asker][i]
				require.LessOrEqual(t, h.Counts[i], added)

				if restarts == 0 && len(heard[1-asker].Counts) == 0 {
					require.Equal(t, added, h.Counts[i])
				}
			}
		}
	})
}

// The counts of a rank of a large group after a minute, told each tenth of a second.
// Guards against looks that fill the link of the agent that adds them up.
func TestCountsTravelShort(t *testing.T) {
	t.Parallel()

	const numbers = 16 * 258

	var (
		told lockstep.Tallies
		h    lockstep.Heard
		size int
	)

	counts := make([]uint64, numbers)

	for look := range 3 {
		for i := range counts {
			counts[i] += uint64(20 + i%60)
			if look == 0 {
				counts[i] += 30_000
			}
		}

		var out wire.LookAnswer

		told.Tell(&out, "0", counts, h.Mark)
		require.True(t, h.Take(&out))

		size = max(size, proto.Size(&out))
	}

	require.Less(t, size, numbers+100, "bytes; a count is a byte")
}
