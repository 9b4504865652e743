package targetclient

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against the rest of a head that is read after its middle was refused: the library may look ahead at the
// next line, and does not tell that this failed.
func TestRefusedHeadIsNotReadOn(t *testing.T) {
	t.Parallel()

	head := "HTTP/1.1 200 OK\r\nX: " + "aaaaaaa" + "\r\n"
	for len(head) < readBufferSize {
		head += "A: aa\r\n"
	}

	require.Zero(t, len(head)%readBufferSize, "the first read must end with a line")

	errRefused := errors.New("refused")
	calls := 0
	h := &headReader{r: strings.NewReader(head + strings.Repeat("A: aa\r\n", 512) + "\r\n")}
	h.Begin(func(int, int) error {
		if calls++; calls == 2 {
			return errRefused
		}

		return nil
	})

	_, err := http.ReadResponse(bufio.NewReaderSize(h, readBufferSize), nil) //nolint:bodyclose // there is no answer
	require.ErrorIs(t, err, errRefused)
	require.Equal(t, 2, calls)
}
