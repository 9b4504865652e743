package admission

import "time"

// unknownWork counts requests that the target may hold and the agent can't
// account for: those of an earlier agent incarnation, and those cancelled on a
// cold target that may still work on them. They count against the limit, which
// a restart or a wave of cancelled callers would else push the target over.
type unknownWork struct {
	items []unknownItem
}

// unknownItem is one or more requests with the same history.
type unknownItem struct {
	count     int
	inherited bool
	sentAt    time.Time
	expiresAt time.Time
}

// unbounded stands for an unknown number of requests; it is above any limit.
const unbounded = 1 << 30

// inherit counts the work of an earlier incarnation of the agent, assuming the worst.
func (u *unknownWork) inherit(sentAt, expiresAt time.Time) {
	u.items = append(u.items, unknownItem{count: unbounded, inherited: true, sentAt: sentAt, expiresAt: expiresAt})
}

// abandon counts one request that was cancelled.
func (u *unknownWork) abandon(sentAt, expiresAt time.Time) {
	u.items = append(u.items, unknownItem{count: 1, sentAt: sentAt, expiresAt: expiresAt})
}

// reconcile takes the target's own count, taken since the previous announcement
// came. It so tells only about work sent before that one: what the agent still has
// running of that work is in the count, and the rest bounds the unknown work.
func (u *unknownWork) reconcile(count int, previous time.Time, known int) {
	remaining := max(count-known, 0)
	kept := u.items[:0]

	for _, it := range u.items {
		if it.sentAt.Before(previous) {
			it.count = min(it.count, remaining)
			remaining -= it.count
		}

		if it.count > 0 {
			kept = append(kept, it)
		}
	}

	u.items = kept
}

// expire drops what can't be on the target any more.
func (u *unknownWork) expire(now time.Time) {
	kept := u.items[:0]

	for _, it := range u.items {
		if it.expiresAt.After(now) {
			kept = append(kept, it)
		}
	}

	u.items = kept
}

// count sums the inherited work up, and with cancelled that of cancelled callers.
func (u *unknownWork) count(cancelled bool) int {
	n := 0

	for _, it := range u.items {
		if it.inherited || cancelled {
			n += it.count
		}
	}

	return n
}
