package callers

import (
	"encoding/binary"
	"net/http"
	"time"
)

// http2Preface begins a connection of HTTP/2.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

const (
	frameHeaderBytes  = 9
	frameHeaders      = 1
	frameContinuation = 9
	flagEndHeaders    = 4
	// fieldBytes is the least that a field counts against the limit of a head (RFC 9113, 6.5.2), and blockFactor
	// how much memory a byte of a block may take, as one byte may stand for a field.
	fieldBytes  = 32
	blockFactor = 80
)

// frameReader finds blocks of fields that have not ended in the frames of a connection of HTTP/2 (RFC 9113, 4.1).
type frameReader struct {
	header [frameHeaderBytes]byte
	// have is the number of bytes of header that have arrived, rest that of the payload that have not.
	have, rest int
	// inBlock is set from the first byte of a block until its last one. blockBytes is its size until now.
	inBlock    bool
	blockBytes int
}

// read follows bytes of the connection.
func (f *frameReader) read(b []byte) {
	for len(b) > 0 {
		if f.have < frameHeaderBytes {
			n := copy(f.header[f.have:], b)
			f.have += n
			b = b[n:]

			if f.have == frameHeaderBytes {
				f.beginFrame()
			}
		} else {
			n := min(f.rest, len(b))
			f.rest -= n
			b = b[n:]

			if f.inBlock {
				f.blockBytes += n
			}
		}

		if f.have == frameHeaderBytes && f.rest == 0 {
			f.endFrame()
		}
	}
}

func (f *frameReader) beginFrame() {
	f.rest = int(binary.BigEndian.Uint32(append([]byte{0}, f.header[:3]...)))

	if f.header[3] == frameHeaders {
		f.inBlock, f.blockBytes = true, 0
	}
}

func (f *frameReader) endFrame() {
	f.have = 0

	if kind := f.header[3]; (kind == frameHeaders || kind == frameContinuation) && f.header[4]&flagEndHeaders != 0 {
		f.inBlock = false
	}
}

// blockMemory returns how much memory a block of fields takes until it ends.
func blockMemory(blockBytes, maxHeaderBytes int) int64 {
	return min(int64(blockFactor*blockBytes), HeadMemory(maxHeaderBytes, maxHeaderBytes/fieldBytes))
}

// readPreface notes the first bytes of a connection. It returns those after the preface of HTTP/2, once that has
// arrived whole. The caller holds the listener's mutex.
func (c *conn) readPreface(b []byte) (rest []byte) {
	if !c.listener.HTTP2 || c.preface < 0 {
		return b
	}

	n := min(len(b), len(http2Preface)-c.preface)
	if string(b[:n]) != http2Preface[c.preface:c.preface+n] {
		c.preface = -1

		return b
	}

	if c.preface += n; c.preface < len(http2Preface) {
		return b
	}

	c.http2, c.phase, c.preface = true, phaseRead, -1
	c.hold.release()
	c.listBetweenStreams(time.Now())

	return b[n:]
}

// readFrames charges the block of fields that has not ended, and reports whether there is room for it.
func (c *conn) readFrames(now time.Time, b []byte) bool {
	l := c.listener

	l.mu.Lock()

	if c.closing {
		c.closing = false
		c.applyReadDeadline()
	}

	before := c.frames.inBlock
	c.frames.read(b)
	inBlock := c.frames.inBlock
	more := blockMemory(c.frames.blockBytes, c.limits.MaxHeaderBytes) - c.headCharged

	switch {
	case inBlock && !before:
		c.headCharged = 0
		more = blockMemory(c.frames.blockBytes, c.limits.MaxHeaderBytes)
		c.enterList(&l.arriving, now)
		c.setLimitDeadline(now, c.limits.HeaderTimeout)
	case !inBlock && before:
		c.headCharged = 0
		c.listBetweenStreams(now)
	}
	l.mu.Unlock()

	if !inBlock {
		c.hold.release()

		return true
	}

	if !before {
		c.hold.release()
		c.hold.begin(now)
	}

	if !c.hold.grow(now, more) {
		l.countNoMemory()
		c.stopReads()

		return false
	}

	c.headCharged += max(0, more)

	return true
}

// stopReads makes all further reads fail.
func (c *conn) stopReads() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()

	c.refused = true
}

// listBetweenStreams lists the connection as an idle one unless it has a request. The caller holds the listener's
// mutex.
func (c *conn) listBetweenStreams(now time.Time) {
	c.leaveList()
	c.setLimitDeadline(now, 0)

	if c.streams == 0 {
		c.enterList(&c.listener.idle, now)
	}
}

// changeStreams counts a request of HTTP/2 that begins or ends.
func (c *conn) changeStreams(by int) {
	l := c.listener

	l.mu.Lock()
	defer l.mu.Unlock()

	if c.streams += by; !c.frames.inBlock && !c.closed {
		c.listBetweenStreams(time.Now())
	}
}

// serveHTTP2 charges the head of a request of HTTP/2, and its body if bodies are charged.
func (h *handler) serveHTTP2(c *conn, w http.ResponseWriter, r *http.Request) {
	c.changeStreams(1)
	defer c.changeStreams(-1)

	s := &hold{memory: h.listener.Memory, end: func() {}}
	defer s.release()

	if !s.grow(time.Now(), HeadMemory(headSize(r.Header))) {
		h.listener.countNoMemory()
		w.Header().Set("Retry-After", "1")
		http.Error(w, refusalNoMemory.problem, refusalNoMemory.status)

		return
	}

	if h.listener.ChargeBodies {
		r.Body = &body{ReadCloser: r.Body, hold: s, listener: h.listener}
	}

	h.next.ServeHTTP(w, r)
}

// headSize returns the bytes and the lines of a head.
func headSize(h http.Header) (size, lines int) {
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v)
			lines++
		}
	}

	return size, lines
}
