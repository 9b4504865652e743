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
	// refused is the error of onHead. It stays: the library may look ahead and ignore that a read has failed.
	refused error
}

// begin begins the head of an answer, or ends it if onHead is nil.
func (h *headReader) begin(onHead func(size, lines int) error) {
	h.onHead, h.size, h.lines, h.refused = onHead, 0, 0, nil
}

// Read implements io.Reader.
func (h *headReader) Read(b []byte) (int, error) {
	if h.refused != nil {
		return 0, h.refused
	}

	n, err := h.r.Read(b)
	if n == 0 || h.onHead == nil {
		return n, err //nolint:wrapcheck // the HTTP library compares it
	}

	h.size += n
	h.lines += bytes.Count(b[:n], []byte{'\n'})

	if h.refused = h.onHead(h.size, h.lines); h.refused != nil {
		return 0, h.refused
	}

	return n, err //nolint:wrapcheck // the HTTP library compares it
}
