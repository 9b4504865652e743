package view

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// core decides, without I/O, what an answer does to the view. Versions only
// grow in it, whatever order answers come in.
type core struct {
	lease    time.Duration
	snapshot *Snapshot
	node     *wire.Node
	report   uint64
}

func newCore(lease time.Duration) *core {
	return &core{lease: lease, snapshot: newSnapshot(0, time.Time{}, &content{})}
}

// self numbers what the process says of itself: each change gets the next number.
func (c *core) self(node *wire.Node) *wire.Node {
	next := proto.CloneOf(node)
	next.Report = c.report

	if !proto.Equal(next, c.node) {
		c.report++
		next.Report = c.report
		c.node = next
	}

	return c.node
}

// Verdict on one answer.
type outcome uint8

const (
	// outcomeIgnored: the answer is older than what is held, cannot follow it, or is damaged.
	outcomeIgnored outcome = iota
	// outcomeStale: the control VM cannot show that its state is current.
	outcomeStale
	// outcomeSame: nothing changed; the lease is extended.
	outcomeSame
	// outcomeChanged: the configuration changed.
	outcomeChanged
)

// answered takes in the answer to a poll that was sent at sent, when the
// process held version known.
func (c *core) answered(sent time.Time, known uint64, r *wire.PollResponse) outcome {
	if !c.follows(known, r) {
		return outcomeIgnored
	}

	until := c.snapshot.ValidUntil
	if !r.GetStale() {
		until = later(until, c.freshUntil(sent, r))
	}

	if r.GetVersion() == c.snapshot.Version {
		c.snapshot = c.snapshot.extended(until)
		return outcomeOf(r, outcomeSame)
	}

	next, err := c.snapshot.content.apply(r)
	if err != nil {
		return outcomeIgnored
	}

	c.snapshot = newSnapshot(r.GetVersion(), until, next)

	return outcomeOf(r, outcomeChanged)
}

// follows guards against late, doubled and reordered answers, which would bring
// back a zone that was taken out: an answer below the held version is ignored,
// and a delta only follows the version that it was asked for.
func (c *core) follows(known uint64, r *wire.PollResponse) bool {
	held := c.snapshot.Version
	if r.GetVersion() < held {
		return false
	}

	return r.GetVersion() == held || r.GetFull() || known == held
}

// freshUntil counts the lease from when the state was surely current: the
// control VM received the poll no earlier than sent, held it, and knew the state
// to be current no longer ago than its age. A message late on the way only
// shortens the lease.
func (c *core) freshUntil(sent time.Time, r *wire.PollResponse) time.Time {
	age := time.Duration(r.GetAgeMillis()) * time.Millisecond
	held := time.Duration(r.GetHeldMillis()) * time.Millisecond

	lease := c.lease
	if given := time.Duration(r.GetLeaseMillis()) * time.Millisecond; given > 0 {
		lease = min(lease, given)
	}

	return sent.Add(held).Add(-age).Add(lease)
}

func outcomeOf(r *wire.PollResponse, o outcome) outcome {
	if r.GetStale() && o == outcomeSame {
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
