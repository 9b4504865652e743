package view

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// pollState decides, without I/O, what an answer does to the view. Versions only
// grow in it, whatever order answers come in.
type pollState struct {
	lease      time.Duration
	snapshot   *Snapshot
	lastReport *wire.Node
	nextReport uint64
}

func newPollState(lease time.Duration) *pollState {
	return &pollState{lease: lease, snapshot: newSnapshot(0, time.Time{}, &configuration{})}
}

// numberReport numbers what the process says of itself: each change gets the next number.
func (c *pollState) numberReport(node *wire.Node) *wire.Node {
	next := proto.CloneOf(node)
	next.Report = c.nextReport

	if !proto.Equal(next, c.lastReport) {
		c.nextReport++
		next.Report = c.nextReport
		c.lastReport = next
	}

	return c.lastReport
}

// Verdict on one answer.
type outcome uint8

const (
	// outcomeIgnored: the answer is older than what is held, cannot follow it, or is damaged.
	outcomeIgnored outcome = iota
	// outcomeStale: the control VM cannot show that its state is current.
	outcomeStale
	// outcomeUnchanged: nothing changed; the lease is extended.
	outcomeUnchanged
	// outcomeChanged: the configuration changed.
	outcomeChanged
)

// applyAnswer takes in the answer to a poll that was sent at sent, when the
// process held version known.
func (c *pollState) applyAnswer(sent time.Time, knownVersion uint64, r *wire.PollResponse) outcome {
	if !c.canApply(knownVersion, r) {
		return outcomeIgnored
	}

	until := c.snapshot.ValidUntil
	if !r.GetStale() {
		until = later(until, c.leaseEnd(sent, r))
	}

	if r.GetVersion() == c.snapshot.Version {
		c.snapshot = c.snapshot.withLease(until)
		return outcomeOf(r, outcomeUnchanged)
	}

	next, err := c.snapshot.config.apply(r)
	if err != nil {
		return outcomeIgnored
	}

	c.snapshot = newSnapshot(r.GetVersion(), until, next)

	return outcomeOf(r, outcomeChanged)
}

// canApply guards against late, doubled and reordered answers, which would bring
// back a zone that was taken out: an answer below the held version is ignored,
// and a delta only follows the version that it was asked for.
func (c *pollState) canApply(knownVersion uint64, r *wire.PollResponse) bool {
	held := c.snapshot.Version
	if r.GetVersion() < held {
		return false
	}

	return r.GetVersion() == held || r.GetFull() || knownVersion == held
}

// leaseEnd counts the lease from when the state was surely current: the
// control VM received the poll no earlier than sent, held it, and knew the state
// to be current no longer ago than its age. A message late on the way only
// shortens the lease.
func (c *pollState) leaseEnd(sent time.Time, r *wire.PollResponse) time.Time {
	age := time.Duration(r.GetAgeMillis()) * time.Millisecond
	held := time.Duration(r.GetHeldMillis()) * time.Millisecond

	lease := c.lease
	if granted := time.Duration(r.GetLeaseMillis()) * time.Millisecond; granted > 0 {
		lease = min(lease, granted)
	}

	return sent.Add(held).Add(-age).Add(lease)
}

func outcomeOf(r *wire.PollResponse, o outcome) outcome {
	if r.GetStale() && o == outcomeUnchanged {
		return outcomeStale
	}

	return o
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
