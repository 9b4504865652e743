package relay

import (
	"errors"
	"io"
	"sync"
	"time"
)

// reader is the side that a process waits for while it holds bytes.
type reader string

const (
	// readerNone means that the bytes are still arriving.
	readerNone   reader = ""
	readerCaller reader = "caller"
	readerTarget reader = "target"
	// senderTarget means that the target is sending its answer, senderCaller that the caller is sending its body.
	senderTarget reader = "sender"
	senderCaller reader = "callerSends"
)

// slowReadTime is how long a side may take to read what is held for it, or to send an answer or a body,
// before the request may be ended for its memory.
const slowReadTime = time.Second

// memory bounds the bytes of request bodies and buffered answers that all requests of this
// process hold together. If it is full, it ends the requests that a slow reader has held
// longest, and then, for a smaller request, the one with the largest answer or body of those that have
// been arriving for long. A request whose body has been read may have run, so bodies that are still arriving
// make room for it at once. It decides only; the requests themselves close their connections.
type memory struct {
	// limit is the maximum number of bytes; zero means no limit.
	limit int64

	mu    sync.Mutex
	used  int64
	holds map[*hold]struct{}
}

// hold is what one request holds.
type hold struct {
	memory *memory
	// end ends the request. It is called once, without locks, and must not block.
	end func(slow reader, bytes int64, waited time.Duration)

	bytes  int64
	reader reader
	since  time.Time // when the wait for the reader began
	// ended is set once the hold is ended for its memory, and closed when end has returned.
	ended chan struct{}
}

// newHold returns a hold of no bytes. release must be called at the end of the request.
func (m *memory) newHold(end func(slow reader, bytes int64, waited time.Duration)) *hold {
	h := &hold{memory: m, end: end}

	m.mu.Lock()
	defer m.mu.Unlock()

	if m.holds == nil {
		m.holds = make(map[*hold]struct{})
	}

	m.holds[h] = struct{}{}

	return h
}

// grow adds n bytes to the hold. If the memory is full, it ends requests with a slow reader.
// It reports false if there is no room even then.
func (h *hold) grow(now time.Time, n int64) bool {
	m := h.memory

	m.mu.Lock()

	var ended []func()

	for m.limit > 0 && m.used+n > m.limit {
		slowest := m.slowest(now)
		if slowest == nil {
			slowest = m.largestArriving(now, h.bytes)
		}

		if slowest == nil && h.reader != senderCaller {
			slowest = m.largestBody(h.bytes)
		}

		if slowest == nil {
			break
		}

		slow, bytes, waited := slowest.reader, slowest.bytes, now.Sub(slowest.since)
		slowest.ended = make(chan struct{})
		m.drop(slowest)

		ended = append(ended, func() {
			slowest.end(slow, bytes, waited)
			close(slowest.ended)
		})
	}

	ok := h.ended == nil && (m.limit <= 0 || m.used+n <= m.limit)
	if ok {
		h.bytes += n
		m.used += n
	}

	m.mu.Unlock()

	for _, end := range ended {
		end()
	}

	return ok
}

// slowest returns the hold whose reader has been waited for longest, or nil if none has been
// for slowReadTime. The caller holds mu.
func (m *memory) slowest(now time.Time) *hold {
	var slowest *hold

	for h := range m.holds {
		if (h.reader == readerCaller || h.reader == readerTarget) && h.mayEnd(now) && (slowest == nil || h.since.Before(slowest.since)) {
			slowest = h
		}
	}

	return slowest
}

// largestArriving returns the largest hold above a size whose answer or body has been arriving for
// slowReadTime, or nil if there is none. The caller holds mu.
func (m *memory) largestArriving(now time.Time, size int64) *hold {
	var largest *hold

	for h := range m.holds {
		if (h.reader == senderTarget || h.reader == senderCaller) && h.mayEnd(now) && h.bytes > size {
			largest, size = h, h.bytes
		}
	}

	return largest
}

// largestBody returns the largest hold above a size whose body is arriving, or nil if there is none. The caller
// holds mu.
func (m *memory) largestBody(size int64) *hold {
	var largest *hold

	for h := range m.holds {
		if h.reader == senderCaller && h.bytes > size {
			largest, size = h, h.bytes
		}
	}

	return largest
}

// mayEnd reports whether h has waited long enough to be ended. The caller holds mu.
func (h *hold) mayEnd(now time.Time) bool { return h.bytes > 0 && now.Sub(h.since) >= slowReadTime }

// waitFor records that the bytes wait for a side to read them, or to send the rest.
func (h *hold) waitFor(now time.Time, r reader) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()

	h.reader, h.since = r, now
}

// hasRead records that a side has read what it was waited for.
func (h *hold) hasRead(r reader) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()

	if h.reader == r {
		h.reader = readerNone
	}
}

// hasEnded reports whether the request was ended for its memory, after end has returned.
func (h *hold) hasEnded() bool {
	h.memory.mu.Lock()
	ended := h.ended
	h.memory.mu.Unlock()

	if ended == nil {
		return false
	}

	<-ended

	return true
}

// release ends the hold. It reports whether the request was ended for its memory, after end
// has returned.
func (h *hold) release() (ended bool) {
	h.memory.mu.Lock()
	h.memory.drop(h)
	h.memory.mu.Unlock()

	return h.hasEnded()
}

// drop removes a hold. The caller holds mu.
func (m *memory) drop(h *hold) {
	m.used -= h.bytes
	h.bytes = 0
	delete(m.holds, h)
}

// heldBytes returns the number of bytes that all requests hold.
func (m *memory) heldBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.used
}

// errMemoryFull means that there is no room for a body or an answer.
var errMemoryFull = errors.New("relay: the memory for requests and answers is full")

// minBodySize is the number of bytes that are held at first for a body.
const minBodySize = 1 << 10

// growBy returns a function that adds n bytes to the hold, or returns errMemoryFull.
func (h *hold) growBy(now func() time.Time) func(n int) error {
	return func(n int) error {
		if !h.grow(now(), int64(n)) {
			return errMemoryFull
		}

		return nil
	}
}

// readAll reads r to its end while there is room for it. The result is not nil unless it
// returns an error.
func (h *hold) readAll(now func() time.Time, r io.Reader) ([]byte, error) {
	out := []byte{}

	for {
		if len(out) == cap(out) {
			size := max(cap(out), minBodySize)
			if !h.grow(now(), int64(size)) {
				return nil, errMemoryFull
			}

			grown := make([]byte, len(out), cap(out)+size)
			copy(grown, out)
			out = grown
		}

		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]

		switch {
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return out, err //nolint:wrapcheck // callers compare it
		}
	}
}
