package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// Content is what stays the same in a request that a caller sends again under another ID.
type Content struct {
	Method, Host, URI string
	// Headers are the values of the headers that determine the answer.
	Headers []string
	Body    []byte
}

// Part returns the part that stands for a whole request to a service. Callers cannot make two
// contents with the same part.
func (c *Content) Part(service string) Part {
	h := sha256.New()

	var length [8]byte

	for _, s := range append([]string{service, c.Method, c.Host, c.URI}, c.Headers...) {
		binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
		_, _ = h.Write(length[:])
		_, _ = io.WriteString(h, s)
	}

	_, _ = h.Write(c.Body)

	return Part(binary.LittleEndian.Uint64(h.Sum(nil)))
}
