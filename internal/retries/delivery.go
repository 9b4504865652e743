package retries

import (
	"net/netip"
	"time"
)

// maxUnanswered bounds how long an attempt counts as under way whose target never shows that it has read it.
const maxUnanswered = time.Minute

// Delivery holds which attempts of one request have reached a target, and the retries that it has taken from the budget.
// The zero value is that of a request that has not been sent.
//
// A retry may arrive long after its decision: it waits for a target, or the target's process stands still while its
// kernel accepts the request, and reads it after the entry has given it up. What entries sent over a long time then
// arrives within a moment. So a retry leaves the budget a window after its target has read it. A target has read a
// request if it has answered it, or another one that was sent there later.
type Delivery struct {
	// open holds the charges of its retries that no target has received yet, oldest first.
	open []*charges
	// received is the number of attempts that targets have read, pending the number of those that they may still read.
	received, pending int
	// unanswered are the pending attempts while the request has not been retried. Then the budget holds them.
	unanswered []attempt
	isRetried  bool
}

// attempt is an attempt that ended without an answer.
type attempt struct {
	address netip.AddrPort
	endedAt time.Time
}

// unansweredAttempt is an attempt of a request that was retried.
type unansweredAttempt struct {
	attempt

	delivery *Delivery
}

// Answered records that a target has begun to answer an attempt that was sent to its address from sentAt on.
func (s *SharedBudget) Answered(now time.Time, d *Delivery, address netip.AddrPort, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	d.receive(now)
	s.receiveAll(now, address, func(a *attempt) bool { return a.endedAt.Before(sentAt) })
}

// Unanswered records that an attempt ended without an answer. The target at its address may read it later.
func (s *SharedBudget) Unanswered(now time.Time, d *Delivery, address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()

	d.pending++
	a := attempt{address: address, endedAt: now}

	if d.isRetried {
		s.hold(a, d)
	} else {
		d.unanswered = append(d.unanswered, a)
	}
}

// Ended records that the target at an address has ended, and reads nothing any more.
func (s *SharedBudget) Ended(now time.Time, address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.receiveAll(now, address, func(*attempt) bool { return true })
}

// End records that a request is not sent again. A retry that was not sent goes back to the budget.
func (s *SharedBudget) End(d *Delivery) {
	s.mu.Lock()
	defer s.mu.Unlock()

	repeats := d.pending
	if d.received == 0 {
		repeats = max(0, repeats-1)
	}

	for len(d.open) > repeats {
		last := len(d.open) - 1
		d.open[last].open--
		d.open = d.open[:last]
	}
}

// UnansweredAttempts returns the number of attempts of retried requests that targets may still read.
func (s *SharedBudget) UnansweredAttempts() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	n := 0
	for _, held := range s.unanswered {
		n += len(held)
	}

	return n
}

// charge adds the charge of a retry to a delivery. The caller holds mu.
func (s *SharedBudget) charge(d *Delivery, c *charges) {
	c.open++
	d.open = append(d.open, c)
	d.isRetried = true

	for _, a := range d.unanswered {
		s.hold(a, d)
	}

	d.unanswered = nil
}

func (s *SharedBudget) hold(a attempt, d *Delivery) {
	if s.unanswered == nil {
		s.unanswered = make(map[netip.AddrPort][]unansweredAttempt)
	}

	s.unanswered[a.address] = append(s.unanswered[a.address], unansweredAttempt{attempt: a, delivery: d})
}

// receive records that a target has read an attempt. All but the first are repeats. The caller holds the lock of the
// budget.
func (d *Delivery) receive(now time.Time) {
	if d.received++; d.received > 1 && len(d.open) > 0 {
		d.open[0].end(now)
		d.open = d.open[1:]
	}
}

// receiveAll records that the held attempts at an address that match have been read, or never will be. The caller holds
// mu.
func (s *SharedBudget) receiveAll(now time.Time, address netip.AddrPort, matches func(*attempt) bool) {
	held := s.unanswered[address]
	if len(held) == 0 {
		return
	}

	left := held[:0]

	for i := range held {
		if matches(&held[i].attempt) {
			held[i].delivery.pending--
			held[i].delivery.receive(now)
		} else {
			left = append(left, held[i])
		}
	}

	clear(held[len(left):])

	if s.unanswered[address] = left; len(left) == 0 {
		delete(s.unanswered, address)
	}
}

// expireUnanswered gives up on targets that do not show that they have read an attempt. The caller holds mu.
func (s *SharedBudget) expireUnanswered(now time.Time) {
	for address := range s.unanswered {
		s.receiveAll(now, address, func(a *attempt) bool { return now.Sub(a.endedAt) >= maxUnanswered })
	}
}
