package replica

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// CauseNoQuorum is the cause of errors while no leader can commit.
const CauseNoQuorum verdict.Cause = "NoQuorum"

const (
	reasonStopped quorum.Reason = "ReplicaStopped"
	reasonCluster quorum.Reason = "AnotherCluster"
)

// RequestError says why a proposal, change or read was refused or left open.
type RequestError struct {
	Reason quorum.Reason
}

// Error implements error.
func (e *RequestError) Error() string { return "replica: " + string(e.Reason) }

// request is an event of a caller, on its way to the core.
type request struct {
	event func(id uint64) quorum.Event
	done  chan outcome
}

// outcome is what became of a request.
type outcome struct {
	done    bool
	index   uint64
	result  []byte
	verdict verdict.Verdict
	reason  quorum.Reason
}

// Propose commits command through the leader, wherever it is, and returns what
// Apply returned for it there. The error holds a verdict: only NotRun means that
// the command is not and will not be applied. Without a deadline in ctx it takes
// at most DefaultTimeout.
func (r *Replica) Propose(ctx context.Context, command []byte) (uint64, []byte, error) {
	out, err := r.order(ctx, &wire.PeerOrder{Kind: wire.PeerOrderKind_PeerOrderPropose, Command: command})

	return out.index, out.result, err
}

// ReadIndex returns a time and an index: state applied up to at least index, as this
// replica's is when Read returns, was current as of asOf, the local time at
// which Read was called.
func (r *Replica) ReadIndex(ctx context.Context) (asOf time.Time, index uint64, err error) {
	asOf = time.Now()

	ctx, cancel := bounded(ctx)
	defer cancel()

	until, _ := ctx.Deadline()
	out := r.ask(ctx, func(id uint64) quorum.Event { return quorum.ReadRequested{ID: id, Deadline: until} })

	if !out.done {
		// A read changes nothing, so it may always be repeated.
		return time.Time{}, 0, refusal(outcome{verdict: verdict.NotRun, reason: quorum.ReasonTimeout})
	}

	return asOf, out.index, nil
}

// AddLearner adds a member that receives the log and has no vote.
func (r *Replica) AddLearner(ctx context.Context, m quorum.Member) error {
	_, err := r.order(ctx, &wire.PeerOrder{
		Kind: wire.PeerOrderKind_PeerOrderAddLearner, Member: quorum.MemberToWire(m),
	})

	return err
}

// Promote makes a learner a voter. It is refused until the learner is up to date.
func (r *Replica) Promote(ctx context.Context, id string) error {
	_, err := r.order(ctx, &wire.PeerOrder{
		Kind: wire.PeerOrderKind_PeerOrderPromote, Member: &wire.QuorumMember{ID: id},
	})

	return err
}

// Remove takes a member out for good. It is refused where too few voters that
// are up to date would remain, and for the leader, which hands over first.
func (r *Replica) Remove(ctx context.Context, id string) error {
	_, err := r.order(ctx, &wire.PeerOrder{
		Kind: wire.PeerOrderKind_PeerOrderRemove, Member: &wire.QuorumMember{ID: id},
	})

	return err
}

// TransferLeadership hands leadership to the voter named to, or to the most up
// to date one if it is empty. It returns nil once the old leader has stepped down.
func (r *Replica) TransferLeadership(ctx context.Context, to string) error {
	_, err := r.order(ctx, &wire.PeerOrder{
		Kind: wire.PeerOrderKind_PeerOrderTransfer, Member: &wire.QuorumMember{ID: to},
	})

	return err
}

// CheckStop returns nil if the group can go on without the member, however the
// others are: it asks them now, where Status tells what it last heard.
func (r *Replica) CheckStop(ctx context.Context, id string) error {
	_, err := r.order(ctx, &wire.PeerOrder{
		Kind: wire.PeerOrderKind_PeerOrderCheckStop, Member: &wire.QuorumMember{ID: id},
	})

	return err
}

// order gives an order here or, if another replica leads, there. While nobody
// leads it tries again until ctx ends; it never gives an order twice that may
// have run.
func (r *Replica) order(ctx context.Context, o *wire.PeerOrder) (outcome, error) {
	ctx, cancel := bounded(ctx)
	defer cancel()

	for {
		out := r.give(ctx, o)
		if out.reason == quorum.ReasonNotLeader {
			out = r.forward(ctx, o)
		}

		switch {
		case out.done:
			return out, nil
		case out.verdict != verdict.NotRun || !isPassing(out.reason):
			return out, refusal(out)
		}

		select {
		case <-ctx.Done():
			return out, refusal(out)
		case <-r.stopped:
			return out, refusal(out)
		case <-time.After(r.HeartbeatInterval / 4):
		}
	}
}

// isPassing reports whether a refusal may soon be over.
func isPassing(reason quorum.Reason) bool {
	switch reason {
	case quorum.ReasonNotLeader, quorum.ReasonTransferring, quorum.ReasonMembersChanging:
		return true
	default:
		return false
	}
}

// give gives an order to this replica's core.
func (r *Replica) give(ctx context.Context, o *wire.PeerOrder) outcome {
	m, err := quorum.MemberFromWire(o.GetMember())
	if err != nil {
		return outcome{verdict: verdict.NotRun, reason: quorum.ReasonBadAddress}
	}

	out := r.ask(ctx, func(id uint64) quorum.Event {
		switch o.GetKind() {
		case wire.PeerOrderKind_PeerOrderAddLearner:
			return quorum.ChangeRequested{ID: id, Kind: quorum.AddLearner, Member: m}
		case wire.PeerOrderKind_PeerOrderPromote:
			return quorum.ChangeRequested{ID: id, Kind: quorum.Promote, Member: m}
		case wire.PeerOrderKind_PeerOrderRemove:
			return quorum.ChangeRequested{ID: id, Kind: quorum.Remove, Member: m}
		case wire.PeerOrderKind_PeerOrderCheckStop:
			return quorum.ChangeRequested{ID: id, Kind: quorum.CheckStop, Member: m}
		case wire.PeerOrderKind_PeerOrderTransfer:
			return quorum.TransferRequested{ID: id, To: m.ID}
		default:
			return quorum.Proposed{ID: id, Command: o.GetCommand()}
		}
	})
	out.done = out.done || out.verdict == verdict.Ran

	return out
}

// ask hands an event to the core and waits for what becomes of it.
func (r *Replica) ask(ctx context.Context, event func(id uint64) quorum.Event) outcome {
	r.prepare()

	req := request{event: event, done: make(chan outcome, 1)}

	select {
	case <-r.stopped:
		return outcome{verdict: verdict.NotRun, reason: reasonStopped}
	default:
	}

	select {
	case r.requests <- req:
	case <-ctx.Done():
		return outcome{verdict: verdict.NotRun, reason: quorum.ReasonTimeout}
	case <-r.stopped:
		return outcome{verdict: verdict.NotRun, reason: reasonStopped}
	}

	select {
	case out := <-req.done:
		return out
	case <-ctx.Done():
		return outcome{reason: quorum.ReasonTimeout}
	case <-r.stopped:
	}

	select {
	case out := <-req.done:
		return out
	default:
		return outcome{reason: reasonStopped}
	}
}

// forward gives an order to the leader, if one is known.
func (r *Replica) forward(ctx context.Context, o *wire.PeerOrder) outcome {
	notRun := outcome{verdict: verdict.NotRun, reason: quorum.ReasonNotLeader}

	leader, ok := r.leaderAddr()
	if !ok {
		return notRun
	}

	o.Cluster = r.Cluster
	if until, ok := ctx.Deadline(); ok {
		o.RemainingMillis = uint64(max(1, time.Until(until).Milliseconds()))
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	go r.cancelWithTerm(ctx, cancel, r.Status().Term)

	answer, err := r.forwardTo(ctx, leader, o)

	switch {
	case errors.Is(err, ErrNotSent):
		return notRun
	case err != nil:
		return outcome{reason: quorum.ReasonTimeout}
	}

	out := outcome{done: answer.GetDone(), index: answer.GetIndex(), result: answer.GetResult()}
	out.reason = quorum.Reason(answer.GetReason())

	if answer.GetNotRun() {
		out.verdict = verdict.NotRun
	}

	// The leader has stopped since this replica last heard of it. Another one follows.
	if out.reason == reasonStopped {
		out.reason = quorum.ReasonNotLeader
	}

	return out
}

// cancelWithTerm calls cancel once a later term has a leader. The one of term
// may be cut off without a word, and its answer would be waited for until the
// caller's deadline.
func (r *Replica) cancelWithTerm(ctx context.Context, cancel context.CancelFunc, term uint64) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.HeartbeatInterval):
		}

		if s := r.Status(); s.Term > term && s.Leader != "" {
			cancel()
		}
	}
}

// leaderAddr returns where the leader is, if it is another replica.
func (r *Replica) leaderAddr() (netip.AddrPort, bool) {
	s := r.Status()
	if s.Leader == "" || s.Leader == r.ID {
		return netip.AddrPort{}, false
	}

	return s.LeaderAddr, s.LeaderAddr.IsValid()
}

func bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}

	return context.WithTimeout(ctx, DefaultTimeout)
}

func refusal(out outcome) error {
	cause := CauseNoQuorum

	switch out.reason {
	case reasonStopped:
		cause = verdict.CauseStopping
	case quorum.ReasonTimeout:
		cause = verdict.CauseDeadline
	case quorum.ReasonTooLarge:
		cause = verdict.CauseTooLarge
	case quorum.ReasonTooManyInFlight:
		cause = verdict.CauseOverload
	}

	return &verdict.Error{Verdict: out.verdict, Cause: cause, Err: &RequestError{Reason: out.reason}}
}
