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

// Guards against answers that are discarded for bodies that are still arriving, whose requests have not run, and
// against bodies that end each other although they have just begun to arrive.
func TestArrivingBodiesMakeRoomForAnswers(t *testing.T) {
	t.Parallel()

	now := time.Unix(1000, 0)
	m := &memory{limit: 100}

	var ended []int

	bodies := make([]*hold, 3)
	for i, size := range []int64{30, 40, 20} {
		bodies[i] = m.newHold(func(r reader, _ int64, _ time.Duration) {
			require.Equal(t, senderCaller, r)

			ended = append(ended, i)
		})
		bodies[i].waitFor(now, senderCaller)
		require.True(t, bodies[i].grow(now, size))
	}

	answer := m.newHold(func(reader, int64, time.Duration) { require.Fail(t, "the answer was ended") })
	answer.waitFor(now, senderCaller)
	require.True(t, answer.grow(now, 10))
	require.False(t, answer.grow(now, 10), "its own body is arriving too")

	answer.waitFor(now, senderTarget)
	require.True(t, answer.grow(now, 10))
	require.Equal(t, []int{1}, ended)
	require.True(t, bodies[1].hasEnded())
	require.False(t, bodies[0].hasEnded())
	require.False(t, bodies[1].grow(now, 1))
	require.False(t, answer.grow(now, 100), "the others together do not suffice")
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
			side  reader
		}

		var (
			open    []*request
			growing *request
		)

		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)

			switch kind := rapid.IntRange(0, 3).Draw(t, "kind"); {
			case kind == 0 || len(open) == 0:
				r := &request{}
				r.hold = m.newHold(func(_ reader, bytes int64, waited time.Duration) {
					slow := r.side != readerNone && now.Sub(r.since) >= slowReadTime
					unread := r.side == senderCaller && growing.side != senderCaller
					require.True(t, slow || unread, "ended without a slow reader")
					require.Positive(t, bytes)
					require.Equal(t, now.Sub(r.since), waited)
				})
				open = append(open, r)
			case kind == 1:
				growing = open[rapid.IntRange(0, len(open)-1).Draw(t, "grow")]
				growing.hold.grow(now, int64(rapid.IntRange(1, 60).Draw(t, "bytes")))
			case kind == 2:
				r := open[rapid.IntRange(0, len(open)-1).Draw(t, "wait")]
				side := rapid.SampledFrom([]reader{readerNone, readerCaller, readerTarget, senderTarget, senderCaller}).Draw(t, "side")
				r.side, r.since = side, now

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
