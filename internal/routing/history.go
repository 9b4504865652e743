package routing

import "time"

// The grain and the span of a history.
const (
	historyGrain = 50 * time.Millisecond
	historySpan  = 64
)

// history keeps how many requests this entry had in flight at a target over
// the last seconds. A report counts them as they were when it was taken, so
// that taking off what is in flight now would be wrong by all that changed since.
type history struct {
	counts [historySpan]uint16
	last   int64
	count  uint16
}

func bucket(t time.Time) int64 { return t.UnixNano() / int64(historyGrain) }

// fill carries the count on to the bucket of now.
func (h *history) fill(now int64) {
	if h.last == 0 || now-h.last >= historySpan {
		h.last = now - historySpan
	}

	for h.last < now {
		h.last++
		h.counts[h.last%historySpan] = h.count
	}
}

// set records a new count.
func (h *history) set(now time.Time, n int) {
	h.fill(bucket(now))
	h.count = uint16(n)
	h.counts[h.last%historySpan] = h.count
}

// at returns the count at a time not long past; the oldest known one before that.
func (h *history) at(t time.Time) int {
	b := bucket(t)

	switch {
	case h.last == 0 || b >= h.last:
		return int(h.count)
	case b <= h.last-historySpan:
		b = h.last - historySpan + 1
	}

	return int(h.counts[b%historySpan])
}
