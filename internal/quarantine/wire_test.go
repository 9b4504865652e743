package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Guards against a message that changes what it carries, so that two processes send an end to each
// other for ever.
func TestEndsSurviveTheWire(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var sender, receiver quarantine.Quarantine

		now := at(0)
		sender.Merge(now, drawEnds(t, "ends"))

		later := now.Add(time.Duration(rapid.IntRange(0, 5_000_000).Draw(t, "micros")) * time.Microsecond)
		receiver.Merge(later, quarantine.EndsFromWire(quarantine.EndsToWire(allEnds(&sender), later), later))

		require.False(t, sender.Merge(later, quarantine.EndsFromWire(quarantine.EndsToWire(allEnds(&receiver), later), later)))
		require.Equal(t, fingerprints(&sender), fingerprints(&receiver))
	})
}

func fingerprints(q *quarantine.Quarantine) []uint64 {
	var out []uint64
	for _, end := range allEnds(q) {
		out = append(out, end.Fingerprint())
	}

	return out
}

// requireBounded checks the bounds on the shared parts of an end and on the parts of single requests.
func requireBounded(t *testing.T, end *quarantine.End) {
	t.Helper()

	counts := make(map[bool]int)
	for _, c := range end.Candidates {
		counts[c.Depth >= quarantine.OwnPartDepth]++
	}

	require.LessOrEqual(t, counts[false], 32)
	require.LessOrEqual(t, counts[true], 128)
}

// FuzzMerge guards against messages that crash an entry, hold a sound part on their own, or exceed
// the bounds.
func FuzzMerge(f *testing.F) {
	seed, err := proto.Marshal(&wire.FollowRequest{Ends: quarantine.EndsToWire([]quarantine.End{newEnd("t", at(0), workspace, culprit)}, at(1))})
	require.NoError(f, err)
	f.Add(seed)

	f.Fuzz(func(t *testing.T, data []byte) {
		r := &wire.FollowRequest{}
		if proto.Unmarshal(data, r) != nil {
			return
		}

		var q quarantine.Quarantine

		now := recordSuccessive(&q, 3, culprit)
		q.Merge(now, quarantine.EndsFromWire(r.GetEnds(), now))

		for _, end := range allEnds(&q) {
			require.False(t, end.At.After(now))
			requireBounded(t, &end)
		}

		for _, h := range q.Held(now) {
			require.False(t, h.Until.After(now.Add(24*time.Hour)))
		}
	})
}
