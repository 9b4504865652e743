package lockstep_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Answers with counts are lost, agents restart, and two receivers hold different counts. Guards
// against a receiver that adds differences to counts other than those they are based on.
func TestDecodedCountsMatchEncodedCounts(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		var encoder lockstep.CountEncoder

		counts := make([]uint64, 5)
		decoders := make([]lockstep.CountDecoder, 2)

		for range 40 {
			for i := range counts {
				counts[i] += uint64(rapid.IntRange(0, 9).Draw(t, "increase"))
			}

			if rapid.IntRange(0, 20).Draw(t, "engine restarts") == 0 {
				counts = make([]uint64, 5)
			}

			if rapid.IntRange(0, 20).Draw(t, "agent restarts") == 0 {
				encoder = lockstep.CountEncoder{Mark: encoder.Mark + 1000}
			}

			decoder := &decoders[rapid.IntRange(0, 1).Draw(t, "receiver")]

			var out wire.LookAnswer

			encoder.Encode(&out, "0", counts, decoder.Mark)

			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}

			if decoder.Decode(&out) {
				require.Equal(t, counts, decoder.Counts)
			}
		}
	})
}

// Guards against answers that use up the bandwidth of the agent that sums the counts: each
// contains the counts of a rank of a large group, polled every 100 ms, one minute after the
// start.
func TestCountDifferencesAreSmall(t *testing.T) {
	t.Parallel()

	const numbers = 16 * 258

	var (
		encoder lockstep.CountEncoder
		decoder lockstep.CountDecoder
		size    int
	)

	counts := make([]uint64, numbers)

	for n := range 3 {
		for i := range counts {
			counts[i] += uint64(20 + i%60)
			if n == 0 {
				counts[i] += 30_000
			}
		}

		var out wire.LookAnswer

		encoder.Encode(&out, "0", counts, decoder.Mark)
		require.True(t, decoder.Decode(&out))

		size = proto.Size(&out)
	}

	require.Less(t, size, numbers+100, "bytes, about one per count")
}
