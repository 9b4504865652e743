package routing

import "time"

// The grain and the span of a history.
const (
	historyBucket  = 50 * time.Millisecond
	historyBuckets = 64
)

// history keeps how many requests this entry had in flight at a target over
// the last seconds. A report counts them as they were when it was taken, so
// that taking off what is in flight now would be wrong by all that changed since.
type history struct {
	counts     [historyBuckets]uint16
	lastBucket int64
	current    uint16
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(historyBucket) }

// advance carries the count on to the bucket of now.
func (h *history) advance(now int64) {
	if h.lastBucket == 0 || now-h.lastBucket >= historyBuckets {
		h.lastBucket = now - historyBuckets
	}

	for h.lastBucket < now {
		h.lastBucket++
		h.counts[h.lastBucket%historyBuckets] = h.current
	}
}

// set records a new count.
func (h *history) set(now time.Time, n int) {
	h.advance(bucketOf(now))
	h.current = uint16(n)
	h.counts[h.lastBucket%historyBuckets] = h.current
}

// at returns the count at a time not long past; the oldest known one before that.
func (h *history) at(t time.Time) int {
	b := bucketOf(t)

	switch {
	case h.lastBucket == 0 || b >= h.lastBucket:
		return int(h.current)
	case b <= h.lastBucket-historyBuckets:
		b = h.lastBucket - historyBuckets + 1
	}

	return int(h.counts[b%historyBuckets])
}
