package control

import "sync/atomic"

// waking wakes all who wait for a change at once.
type waking struct {
	current atomic.Pointer[chan struct{}]
}

func (w *waking) init() {
	c := make(chan struct{})
	w.current.Store(&c)
}

// waiting returns a channel that is closed at the next change.
func (w *waking) waiting() <-chan struct{} { return *w.current.Load() }

func (w *waking) wake() {
	next := make(chan struct{})
	close(*w.current.Swap(&next))
}
