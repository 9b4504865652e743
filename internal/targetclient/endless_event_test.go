package targetclient_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/targetclient"
)

// Guards against blank lines without an end, whose cost grows with the square of their number: a MiB of them
// would take longer than the test may.
func TestBlankLinesCostLittle(t *testing.T) {
	t.Parallel()

	const n = 1 << 20

	for _, line := range []string{"\n", "\r\n", "\r"} {
		events := targetclient.NewEventReader(strings.NewReader(strings.Repeat(line, n+1)), n)
		_, err := events.Next()
		require.ErrorIs(t, err, targetclient.ErrEventTooLong)
	}
}

// Guards against an event that takes memory which is not counted, and against one that goes on although
// there is none.
func TestLongEventsAskForTheirMemory(t *testing.T) {
	t.Parallel()

	errFull := errors.New("full")

	for _, size := range []int{1 << 10, 100 << 10, 1 << 20} {
		for _, limit := range []int{0, 64 << 10, 4 << 20} {
			held := 0
			events := targetclient.NewEventReader(strings.NewReader("data: "+strings.Repeat("x", size)+"\n\n"), 4<<20)
			events.Grow = func(n int) error {
				if held+n > limit {
					return errFull
				}

				held += n

				return nil
			}

			_, err := events.Next()

			if size <= 4<<10 || size < limit {
				require.NoError(t, err)
				require.GreaterOrEqual(t, held+4<<10, size)
				require.LessOrEqual(t, held, 2*size)
			} else {
				require.ErrorIs(t, err, errFull)
			}
		}
	}
}
