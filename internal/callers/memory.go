package callers

import (
	"sync"
	"time"
)

// minArrivalTime is how long a request must have been arriving before it may be refused to make room
// for others.
const minArrivalTime = time.Second

// Memory bounds the bytes that the requests of all clients of a process make it hold together. If it is
// full, it ends those whose requests have been arriving for minArrivalTime, the largest first, for smaller
// ones. Limit must be set before the first use; zero means no limit.
type Memory struct {
	Limit int64

	mu    sync.Mutex
	used  int64
	holds map[*hold]struct{}
}

// hold is what one request holds. Its memory's mutex guards it.
type hold struct {
	memory *Memory
	// end ends the request. It is called once, without locks.
	end func()

	bytes int64
	// arriving is when the request began to arrive; zero once it has arrived whole.
	arriving time.Time
	ended    bool
}

// Used returns the number of bytes that are held now.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	return m.used
}

// grow adds n bytes to the hold, and reports whether there is room for them.
func (h *hold) grow(now time.Time, n int64) bool {
	m := h.memory
	if m == nil || m.Limit <= 0 || n <= 0 {
		return true
	}

	m.mu.Lock()

	var ended []*hold

	for !h.ended && m.used+n > m.Limit {
		largest := m.largest(now, h.bytes+n)
		if largest == nil {
			break
		}

		largest.ended = true
		m.drop(largest)

		ended = append(ended, largest)
	}

	ok := !h.ended && m.used+n <= m.Limit
	if ok {
		if m.holds == nil {
			m.holds = make(map[*hold]struct{})
		}

		m.holds[h] = struct{}{}
		m.used += n
		h.bytes += n
	}

	m.mu.Unlock()

	for _, other := range ended {
		other.end()
	}

	return ok
}

// largest returns the largest hold above a size that has been arriving for long, or nil if there is none. The
// caller holds mu.
func (m *Memory) largest(now time.Time, size int64) *hold {
	var largest *hold

	for h := range m.holds {
		if !h.arriving.IsZero() && now.Sub(h.arriving) >= minArrivalTime && h.bytes > size {
			largest, size = h, h.bytes
		}
	}

	return largest
}

// begin records that the request begins to arrive.
func (h *hold) begin(now time.Time) { h.setArriving(now) }

// arrived records that the request has arrived whole.
func (h *hold) arrived() { h.setArriving(time.Time{}) }

func (h *hold) setArriving(t time.Time) {
	if h.memory == nil {
		return
	}

	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()

	h.arriving = t
}

// release ends the hold, which may then be used for another request.
func (h *hold) release() {
	if h.memory == nil {
		return
	}

	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()

	h.memory.drop(h)
	h.arriving, h.ended = time.Time{}, false
}

// finish ends the hold for good.
func (h *hold) finish() {
	if h.memory == nil {
		return
	}

	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()

	h.memory.drop(h)
	h.ended = true
}

// drop removes a hold. The caller holds mu.
func (m *Memory) drop(h *hold) {
	m.used -= h.bytes
	h.bytes = 0
	delete(m.holds, h)
}
