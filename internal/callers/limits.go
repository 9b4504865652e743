package callers

import (
	"bytes"
	"time"
)

// Limits bound what one client may send, and the time that it may take.
type Limits struct {
	// MaxHeaderBytes is the maximum size of the head of a request.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a head to its last one, BodyTimeout that of a body,
	// and IdleTimeout the time without a request. Zero means no bound.
	HeaderTimeout, BodyTimeout, IdleTimeout time.Duration
	// WriteTimeout bounds one write to a client for which the handler has set no deadline.
	WriteTimeout time.Duration
}

// DefaultLimits returns the limits for clients that are not callers.
func DefaultLimits() Limits {
	return Limits{
		MaxHeaderBytes: 16 << 10, HeaderTimeout: 10 * time.Second, BodyTimeout: 30 * time.Second,
		IdleTimeout: 90 * time.Second, WriteTimeout: 10 * time.Second,
	}
}

const (
	// readAheadBytes is what the HTTP server may read beyond the end of a head. A head that exceeds its limit
	// by less is not refused.
	readAheadBytes = 4 << 10
	// encryptedBytes is what TLS may add: the certificates of a handshake, and the rest of the record in which a
	// head ends.
	encryptedBytes = 48 << 10
	// headLineBytes is the most that a line of a head takes beside its bytes: an entry of a map that has just
	// grown, its slices and strings, and once more in the request that is forwarded.
	headLineBytes = 160
	// includedHeadBytes is the part of the memory of a connection for the head of its request. Only heads that
	// take more are charged.
	includedHeadBytes = 8 << 10
)

// bodyCopies is how often a handler holds a body: as it has arrived, and decoded.
const bodyCopies = 2

// HeadMemory returns how much memory a head of so many bytes and lines takes beyond what is included in its
// connection. Bytes count twice: as they are kept, and as they are written to a target.
func HeadMemory(size, lines int) int64 {
	return max(0, int64(2*size+headLineBytes*lines)-includedHeadBytes)
}

func countLines(b []byte) int { return bytes.Count(b, []byte{'\n'}) }

// readAhead returns what may be read of a connection beyond the bytes of a head.
func (l *Listener) readAhead() int {
	if l.Encrypted {
		return readAheadBytes + encryptedBytes
	}

	return readAheadBytes
}
