package routing

import "time"

// The duration of one bucket and the number of buckets of a history.
const (
	historyBucket  = 50 * time.Millisecond
	historyBuckets = 64
)

// history records how many requests this entry had in flight at a target during the
// last seconds. A load report includes the requests of the time when it was taken, so
// subtracting the current number would be wrong by all changes since.
type history struct {
	counts     [historyBuckets]uint16
	lastBucket int64
	current    uint16
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(historyBucket) }

// advance copies the current count to all buckets up to now.
func (h *history) advance(now int64) {
	if h.lastBucket == 0 || now-h.lastBucket >= historyBuckets {
		h.lastBucket = now - historyBuckets
	}

	for h.lastBucket < now {
		h.lastBucket++
		h.counts[h.lastBucket%historyBuckets] = h.current
	}
}

func (h *history) set(now time.Time, n int) {
	h.advance(bucketOf(now))
	h.current = uint16(n)
	h.counts[h.lastBucket%historyBuckets] = h.current
}

// at returns the count at time t, or the oldest recorded count if t is before the
// history.
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
