package targetclient

import (
	"io"

	"github.com/parsleygate/parsleygate/internal/callers"
)

// headReader counts the head of an answer before it is parsed.
type headReader struct {
	callers.HeadCounter

	r io.Reader
}

// Read implements io.Reader.
func (h *headReader) Read(b []byte) (int, error) {
	if err := h.Refused(); err != nil {
		return 0, err //nolint:wrapcheck // the client compares it
	}

	n, err := h.r.Read(b)
	if refused := h.Count(b[:n]); refused != nil {
		return 0, refused //nolint:wrapcheck // the client compares it
	}

	return n, err //nolint:wrapcheck // the HTTP library compares it
}
