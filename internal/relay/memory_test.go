package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against answers that end each other although they have just begun to arrive, or the smaller one
// could give way.
func TestLargestAnswerGivesWay(t *testing.T) {
	t.Parallel()

	now := time.Unix(1000, 0)
	m := &memory{limit: 100}

	var ended []int

	answers := make([]*hold, 4)
	for i, size := range []int64{30, 50, 10, 1} {
		answers[i] = m.newHold(func(r reader, _ int64, _ time.Duration) {
			require.Equal(t, senderTarget, r)

			ended = append(ended, i)
		})
		answers[i].waitFor(now, senderTarget)
		require.True(t, answers[i].grow(now, size))
	}

	require.False(t, answers[2].grow(now, 10), "all have just begun")

	now = now.Add(slowReadTime)
	require.True(t, answers[2].grow(now, 10))
	require.Equal(t, []int{1}, ended)
	require.False(t, answers[0].grow(now, 70), "the others are smaller")
	require.Equal(t, []int{1}, ended)
}

// Guards against a bound that is passed, against requests that are ended although both sides
// read, and against bytes that stay counted after a request.
func TestMemoryIsBoundedWhateverReadersDo(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100

		now := time.Unix(1000, 0)
		m := &memory{limit: limit}

		type request struct {
			hold  *hold
			since time.Time
			slow  bool
		}

		var open []*request

		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)

			switch kind := rapid.IntRange(0, 3).Draw(t, "kind"); {
			case kind == 0 || len(open) == 0:
				r := &request{}
				r.hold = m.newHold(func(_ reader, bytes int64, waited time.Duration) {
					require.True(t, r.slow && now.Sub(r.since) >= slowReadTime, "ended without a slow reader")
					require.Positive(t, bytes)
					require.Equal(t, now.Sub(r.since), waited)
				})
				open = append(open, r)
			case kind == 1:
				open[rapid.IntRange(0, len(open)-1).Draw(t, "grow")].hold.grow(now, int64(rapid.IntRange(1, 60).Draw(t, "bytes")))
			case kind == 2:
				r := open[rapid.IntRange(0, len(open)-1).Draw(t, "wait")]
				side := rapid.SampledFrom([]reader{readerNone, readerCaller, senderTarget}).Draw(t, "side")
				r.slow, r.since = side != readerNone, now

				r.hold.waitFor(now, side)
			default:
				i := rapid.IntRange(0, len(open)-1).Draw(t, "release")
				open[i].hold.release()
				open = append(open[:i], open[i+1:]...)
			}

			require.LessOrEqual(t, m.heldBytes(), int64(limit))
		}

		for _, r := range open {
			r.hold.release()
		}

		require.Zero(t, m.heldBytes())
		require.Empty(t, m.holds)
	})
}
