package quorum_test

import (
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/quorum"
)

func (w *world) post(ms []quorum.Message) {
	for _, m := range ms {
		w.messages++

		if c, ok := m.Body.(quorum.Chunk); ok && len(c.Data) > 0 {
			w.chunks++
		}

		for range 2 {
			if w.rng.Float64() >= w.drop {
				w.net = append(w.net, parcel{at: w.now.Add(1 + time.Duration(w.rng.Int64N(int64(w.delay)))), m: m})
			}

			if w.rng.Float64() >= w.dup {
				break
			}
		}
	}
}

// run lets time pass, with deliveries and ticks in their order.
func (w *world) run(d time.Duration) {
	until := w.now.Add(d)

	for len(w.broken) == 0 {
		at, event := w.next()
		if event == nil || at.After(until) {
			break
		}

		if at.After(w.now) {
			w.now = at
		}

		event()
	}

	w.now = until
}

// next returns what happens next, and when.
func (w *world) next() (time.Time, func()) {
	var (
		at    time.Time
		event func()
	)

	for i, p := range w.net {
		h := w.host(p.m.To)
		due := p.at

		if h != nil && h.stalled.After(due) {
			due = h.stalled
		}

		if event == nil || due.Before(at) {
			at, event = due, func() { w.deliver(i) }
		}
	}

	for _, h := range w.hosts {
		if h.core == nil {
			continue
		}

		due := h.core.Deadline().Add(-h.skew)
		if h.stalled.After(due) {
			due = h.stalled
		}

		if event == nil || due.Before(at) {
			at, event = due, func() { w.step(h, quorum.Tick{}) }
		}
	}

	return at, event
}

func (w *world) deliver(i int) {
	m := w.net[i].m
	w.net = slices.Delete(w.net, i, i+1)

	if h := w.host(m.To); h != nil && !w.cut[[2]string{m.From, m.To}] {
		w.step(h, quorum.Received{Message: m})
	}
}

func (w *world) isolate(id string, cut bool) {
	for _, h := range w.hosts {
		w.cut[[2]string{h.id, id}] = cut
		w.cut[[2]string{id, h.id}] = cut
	}
}

func (w *world) heal() {
	clear(w.cut)
	w.drop, w.dup, w.delay = 0, 0, time.Millisecond

	for _, h := range w.hosts {
		h.stalled, h.crash = time.Time{}, noCrash

		if h.core == nil {
			w.restart(h)
		}
	}
}
