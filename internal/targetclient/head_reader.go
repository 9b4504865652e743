package targetclient

import (
	"bytes"
	"io"
)

// headReader counts the bytes and lines of the head of an answer before they are parsed.
type headReader struct {
	r io.Reader
	// onHead is called with the size until now; nil while no head is read.
	onHead      func(size, lines int) error
	size, lines int
}

// begin begins the head of an answer, or ends it if onHead is nil.
func (h *headReader) begin(onHead func(size, lines int) error) {
	h.onHead, h.size, h.lines = onHead, 0, 0
}

// Read implements io.Reader.
func (h *headReader) Read(b []byte) (int, error) {
	n, err := h.r.Read(b)
	if n == 0 || h.onHead == nil {
		return n, err //nolint:wrapcheck // the HTTP library compares it
	}

	h.size += n
	h.lines += bytes.Count(b[:n], []byte{'\n'})

	if refused := h.onHead(h.size, h.lines); refused != nil {
		return 0, refused
	}

	return n, err //nolint:wrapcheck // the HTTP library compares it
}
