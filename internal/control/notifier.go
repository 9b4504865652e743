package control

import "sync/atomic"

// notifier wakes all waiters when something changes.
type notifier struct {
	current atomic.Pointer[chan struct{}]
}

func (w *notifier) init() {
	c := make(chan struct{})
	w.current.Store(&c)
}

// changed returns a channel that is closed at the next change.
func (w *notifier) changed() <-chan struct{} { return *w.current.Load() }

func (w *notifier) notify() {
	next := make(chan struct{})
	close(*w.current.Swap(&next))
}
