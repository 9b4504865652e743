package quorum_test

import (
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/quorum"
)

func (w *simulation) enqueue(ms []quorum.Message) {
	for _, m := range ms {
		w.messages++

		if c, ok := m.Body.(quorum.Chunk); ok && len(c.Data) > 0 {
			w.chunks++
		}

		for range 2 {
			if w.rng.Float64() >= w.dropRate {
				w.inFlight = append(w.inFlight, packet{deliverAt: w.now.Add(1 + time.Duration(w.rng.Int64N(int64(w.maxDelay)))), message: m})
			}

			if w.rng.Float64() >= w.duplicateRate {
				break
			}
		}
	}
}

// run advances the time by d and runs the deliveries and ticks that are due, in order.
func (w *simulation) run(d time.Duration) {
	until := w.now.Add(d)

	for len(w.violations) == 0 {
		at, event := w.nextEvent()
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

// nextEvent returns the next event and its time.
func (w *simulation) nextEvent() (time.Time, func()) {
	var (
		at    time.Time
		event func()
	)

	for i, p := range w.inFlight {
		h := w.host(p.message.To)
		due := p.deliverAt

		if h != nil && h.stalledUntil.After(due) {
			due = h.stalledUntil
		}

		if event == nil || due.Before(at) {
			at, event = due, func() { w.deliver(i) }
		}
	}

	for _, h := range w.hosts {
		if h.core == nil {
			continue
		}

		due := h.core.Deadline().Add(-h.clockSkew)
		if h.stalledUntil.After(due) {
			due = h.stalledUntil
		}

		if event == nil || due.Before(at) {
			at, event = due, func() { w.step(h, quorum.Tick{}) }
		}
	}

	return at, event
}

func (w *simulation) deliver(i int) {
	m := w.inFlight[i].message
	w.inFlight = slices.Delete(w.inFlight, i, i+1)

	if h := w.host(m.To); h != nil && !w.cutLinks[[2]string{m.From, m.To}] {
		w.step(h, quorum.Received{Message: m})
	}
}

func (w *simulation) isolate(id string, cut bool) {
	for _, h := range w.hosts {
		w.cutLinks[[2]string{h.id, id}] = cut
		w.cutLinks[[2]string{id, h.id}] = cut
	}
}

func (w *simulation) heal() {
	clear(w.cutLinks)
	w.dropRate, w.duplicateRate, w.maxDelay = 0, 0, time.Millisecond

	for _, h := range w.hosts {
		h.stalledUntil, h.crashPoint = time.Time{}, noCrash

		if h.core == nil {
			w.restart(h)
		}
	}
}
