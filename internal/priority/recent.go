package priority

import (
	"container/list"
	"time"
)

// recent maps keys to values that are forgotten some time after their last use, and sooner if there
// are too many. It is not safe for concurrent use.
type recent[K comparable, V any] struct {
	ttl      time.Duration
	capacity int

	entries map[K]*list.Element
	// byUse lists the entries, the one used longest ago first.
	byUse list.List
}

type recentEntry[K comparable, V any] struct {
	key    K
	value  V
	usedAt time.Time
}

// use returns the value of a key. It is the zero value if the key is new or was forgotten.
func (r *recent[K, V]) use(now time.Time, key K) *V {
	r.expire(now)

	if element := r.entries[key]; element != nil {
		e, _ := element.Value.(*recentEntry[K, V])
		e.usedAt = now
		r.byUse.MoveToBack(element)

		return &e.value
	}

	if r.entries == nil {
		r.entries = make(map[K]*list.Element)
	}

	if len(r.entries) >= r.capacity {
		r.removeOldest()
	}

	e := &recentEntry[K, V]{key: key, usedAt: now}
	r.entries[key] = r.byUse.PushBack(e)

	return &e.value
}

func (r *recent[K, V]) expire(now time.Time) {
	for first := r.byUse.Front(); first != nil; first = r.byUse.Front() {
		if e, _ := first.Value.(*recentEntry[K, V]); now.Sub(e.usedAt) <= r.ttl {
			return
		}

		r.removeOldest()
	}
}

func (r *recent[K, V]) removeOldest() {
	if first := r.byUse.Front(); first != nil {
		e, _ := r.byUse.Remove(first).(*recentEntry[K, V])
		delete(r.entries, e.key)
	}
}

func (r *recent[K, V]) len() int { return len(r.entries) }
