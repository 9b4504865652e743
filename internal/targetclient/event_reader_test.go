package targetclient_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/targetclient"
)

// readEvents returns the events of a stream and the error that ended it.
func readEvents(stream string) ([]targetclient.Event, error) {
	var out []targetclient.Event

	for r := targetclient.NewEventReader(strings.NewReader(stream), 1<<20); ; {
		ev, err := r.Next()
		if err != nil {
			return out, err
		}

		ev.Bytes = append([]byte(nil), ev.Bytes...)
		out = append(out, ev)
	}
}

// Guards against a part of a long line that is taken for a line of its own: for the blank one that
// ends the event, or for the event's ID.
func TestLongLinesAreReadWhole(t *testing.T) {
	t.Parallel()

	const bufferSize = 4 << 10

	for _, newline := range []string{"\n", "\r\n", "\r"} {
		for _, rest := range []string{"", "id: 1", ":"} {
			line := "data: " + strings.Repeat("x", bufferSize-len("data: ")) + rest
			event := "id: 7" + newline + line + newline + newline

			events, err := readEvents(event + event)
			require.ErrorIs(t, err, io.EOF)
			require.Len(t, events, 2, "%q", rest)
			require.Equal(t, event, string(events[0].Bytes))
			require.EqualValues(t, 7, events[0].ID)

			events, err = readEvents(line + newline + "id: 9" + newline)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			require.Empty(t, events, "the event has not ended")
		}
	}
}

// Guards against the end of a stream inside an event that counts as one between events.
func TestStreamEndsAtTheEndOfAnEventOnly(t *testing.T) {
	t.Parallel()

	for _, newline := range []string{"\n", "\r\n", "\r"} {
		stream := "id: 1" + newline + "data: x" + newline + newline

		for n := range len(stream) {
			_, err := readEvents(stream + stream[:n])
			require.Equal(t, n > 0, errors.Is(err, io.ErrUnexpectedEOF), "%d bytes", n)
		}
	}
}

// Guards against bytes that are lost behind the last event of a stream.
func TestStreamIsReadWhole(t *testing.T) {
	t.Parallel()

	for _, newline := range []string{"\n", "\r\n", "\r"} {
		stream := newline + "id: 1" + newline + "data: x" + newline + newline + newline + ": c" + newline + newline + newline

		events, err := readEvents(stream)
		require.ErrorIs(t, err, io.EOF)

		var got string
		for _, ev := range events {
			got += string(ev.Bytes)
		}

		require.Equal(t, stream, got)
		require.False(t, events[0].Comment)
		require.True(t, events[1].Comment)
	}
}
