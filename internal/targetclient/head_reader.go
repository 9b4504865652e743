package targetclient

import (
	"io"

	"github.com/parsleygate/parsleygate/internal/answers"
	"github.com/parsleygate/parsleygate/internal/callers"
)

// headReader counts and scans the head of an answer before it is parsed.
type headReader struct {
	callers.HeadCounter

	r        io.Reader
	encoding answers.EncodingScanner
}

// begin begins the head of the next answer.
func (h *headReader) begin(onHead func(size, lines int) error) {
	h.Begin(onHead)
	h.encoding = answers.EncodingScanner{}
}

// end ends the head.
func (h *headReader) end() { h.Begin(nil) }

// Read implements io.Reader.
func (h *headReader) Read(b []byte) (int, error) {
	if err := h.Refused(); err != nil {
		return 0, err //nolint:wrapcheck // the client compares it
	}

	n, err := h.r.Read(b)
	if refused := h.Count(b[:n]); refused != nil {
		return 0, refused //nolint:wrapcheck // the client compares it
	}

	h.encoding.Scan(b[:n])

	return n, err //nolint:wrapcheck // the HTTP library compares it
}
