package view

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// pollState applies the answers to polls, without I/O. Its version only grows, in
// whatever order answers arrive.
type pollState struct {
	lease        time.Duration
	snapshot     *Snapshot
	lastReport   *wire.Node
	reportNumber uint64
}

func newPollState(lease time.Duration) *pollState {
	return &pollState{lease: lease, snapshot: newSnapshot(0, time.Time{}, &configuration{})}
}

// numberReport returns the process's report about itself with its report number, which
// grows with each change of the content.
func (p *pollState) numberReport(node *wire.Node) *wire.Node {
	next := proto.CloneOf(node)
	next.Report = p.reportNumber

	if !proto.Equal(next, p.lastReport) {
		p.reportNumber++
		next.Report = p.reportNumber
		p.lastReport = next
	}

	return p.lastReport
}

// outcome is the result of applying one answer.
type outcome uint8

const (
	// outcomeIgnored means that the answer is older, does not follow the current version
	// or is invalid.
	outcomeIgnored outcome = iota
	// outcomeStale means that the control VM cannot confirm that its state is current.
	outcomeStale
	// outcomeUnchanged means that the configuration is the same; the lease is extended.
	outcomeUnchanged
	// outcomeChanged means that the configuration changed.
	outcomeChanged
)

// applyAnswer applies the answer to a poll that was sent at sent, when the process had
// version knownVersion.
func (p *pollState) applyAnswer(sent time.Time, knownVersion uint64, r *wire.PollResponse) outcome {
	if !p.canApply(knownVersion, r) {
		return outcomeIgnored
	}

	until := p.snapshot.ValidUntil
	if !r.GetStale() {
		until = later(until, p.leaseEnd(sent, r))
	}

	if r.GetVersion() == p.snapshot.Version {
		p.snapshot = p.snapshot.withLease(until)
		return outcomeOf(r, outcomeUnchanged)
	}

	next, err := p.snapshot.config.apply(r)
	if err != nil {
		return outcomeIgnored
	}

	p.snapshot = newSnapshot(r.GetVersion(), until, next)

	return outcomeOf(r, outcomeChanged)
}

// canApply rejects late, duplicated and reordered answers, which could bring back a
// zone that was taken out. An answer below the current version is ignored, and a delta
// is applied only to the version for which it was requested.
func (p *pollState) canApply(knownVersion uint64, r *wire.PollResponse) bool {
	current := p.snapshot.Version
	if r.GetVersion() < current {
		return false
	}

	return r.GetVersion() == current || r.GetFull() || knownVersion == current
}

// leaseEnd returns the end of the lease, counted from a time at which the state was
// certainly current. The control VM received the poll no earlier than sent, held it
// for HeldMillis, and confirmed its state at most AgeMillis before it answered.
// Message delays can therefore only shorten the lease.
func (p *pollState) leaseEnd(sent time.Time, r *wire.PollResponse) time.Time {
	age := time.Duration(r.GetAgeMillis()) * time.Millisecond
	held := time.Duration(r.GetHeldMillis()) * time.Millisecond

	lease := p.lease
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
