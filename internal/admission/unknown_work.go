package admission

import "time"

// unknownWork counts requests that the target may hold although the agent no longer
// tracks them: requests of an earlier agent incarnation, and requests that were canceled
// at a cold target but may still be running there. They count against the limit.
// Otherwise a restart of the agent or many canceled requests would overload the target.
type unknownWork struct {
	items []unknownItem
}

// unknownItem is one or more such requests with the same origin and times.
type unknownItem struct {
	count     int
	inherited bool
	sentAt    time.Time
	expiresAt time.Time
}

// unbounded represents an unknown number of requests. It is above any limit.
const unbounded = 1 << 30

// addInherited adds the requests of an earlier incarnation of the agent. Their number is
// unknown and assumed to fill the target.
func (u *unknownWork) addInherited(sentAt, expiresAt time.Time) {
	u.items = append(u.items, unknownItem{count: unbounded, inherited: true, sentAt: sentAt, expiresAt: expiresAt})
}

// addCanceled adds one canceled request.
func (u *unknownWork) addCanceled(sentAt, expiresAt time.Time) {
	u.items = append(u.items, unknownItem{count: 1, sentAt: sentAt, expiresAt: expiresAt})
}

// reconcile bounds the unknown work by the number of requests that the target reports.
// The target counted them after the previous announcement arrived, so only requests
// sent before that are certain to be covered. Of these, tracked are still running for the
// agent and included in the count. The remainder bounds the unknown ones.
func (u *unknownWork) reconcile(reported int, previous time.Time, tracked int) {
	remaining := max(reported-tracked, 0)
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

// expire removes requests that the target cannot hold any more.
func (u *unknownWork) expire(now time.Time) {
	kept := u.items[:0]

	for _, it := range u.items {
		if it.expiresAt.After(now) {
			kept = append(kept, it)
		}
	}

	u.items = kept
}

// count returns the number of inherited requests and, with includeCanceled, of canceled
// ones.
func (u *unknownWork) count(includeCanceled bool) int {
	n := 0

	for _, it := range u.items {
		if it.inherited || includeCanceled {
			n += it.count
		}
	}

	return n
}
