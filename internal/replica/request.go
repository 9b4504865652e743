package replica

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// CauseNoQuorum is the cause of errors while no leader can commit, and of all reasons
// without a cause of their own.
const CauseNoQuorum verdict.Cause = "NoQuorum"

const (
	reasonStopped      quorum.Reason = "ReplicaStopped"
	reasonOtherCluster quorum.Reason = "AnotherCluster"
)

// RequestError is the reason why a proposal, membership change, leadership transfer or
// read failed or has an unknown outcome.
type RequestError struct {
	Reason quorum.Reason
}

// Error implements error.
func (e *RequestError) Error() string { return "replica: " + string(e.Reason) }

// request is a queued event for the core, with the channel for its outcome.
type request struct {
	newEvent func(id uint64) quorum.Event
	result   chan outcome
}

// outcome is the result of a request.
type outcome struct {
	succeeded bool
	index     uint64
	result    []byte
	verdict   verdict.Verdict
	reason    quorum.Reason
}

// Propose commits command through the leader, which may be another replica, and returns
// its log index and the result of Apply at the leader. The error has a verdict. Only
// NotRun guarantees that the command is not and will not be applied. If ctx has no
// deadline, DefaultTimeout applies.
func (r *Replica) Propose(ctx context.Context, command []byte) (uint64, []byte, error) {
	out, err := r.submit(ctx, &wire.PeerOrder{Kind: wire.PeerOrderKind_PeerOrderPropose, Command: command})

	return out.index, out.result, err
}

// ProposeCurrent is Propose for a command that must not be committed after ctx has ended for its
// caller, wherever it was delayed. It confirms the log index first, and proposes the command only if
// ctx has not ended by then. The leader refuses the command if a conflicting one follows that index,
// which may come from a caller that gave up here and was answered elsewhere. It is proposed
// again then, as long as ctx lasts.
func (r *Replica) ProposeCurrent(ctx context.Context, command []byte) (uint64, []byte, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()

	for {
		_, index, err := r.ReadIndex(ctx)
		if err == nil && ctx.Err() != nil {
			err = outcomeError(outcome{verdict: verdict.NotRun, reason: quorum.ReasonTimeout})
		}

		if err != nil {
			return 0, nil, err
		}

		out, err := r.submit(ctx, &wire.PeerOrder{Kind: wire.PeerOrderKind_PeerOrderPropose, Command: command, AsOf: index})
		if out.reason != quorum.ReasonSuperseded || !pauses.Sleep(ctx, r.HeartbeatInterval/4) {
			return out.index, out.result, err
		}
	}
}

// ReadIndex performs a linearizable read. When it returns, this replica has applied the
// log up to index, and its state includes everything that was committed at asOf. AsOf is
// the local time of the call.
func (r *Replica) ReadIndex(ctx context.Context) (asOf time.Time, index uint64, err error) {
	asOf = time.Now()

	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()

	deadline, _ := ctx.Deadline()
	out := r.submitEvent(ctx, func(id uint64) quorum.Event { return quorum.ReadRequested{ID: id, Deadline: deadline} })

	if !out.succeeded {
		// A read changes nothing, so the caller may always retry it.
		return time.Time{}, 0, outcomeError(outcome{verdict: verdict.NotRun, reason: quorum.ReasonTimeout})
	}

	return asOf, out.index, nil
}

// AddLearner adds a non-voting member that receives the log.
func (r *Replica) AddLearner(ctx context.Context, m quorum.Member) error {
	_, err := r.submit(ctx, &wire.PeerOrder{
		Kind: wire.PeerOrderKind_PeerOrderAddLearner, Member: quorum.MemberToWire(m),
	})

	return err
}

// Promote makes a learner a voter. It fails while the learner lags behind the log.
func (r *Replica) Promote(ctx context.Context, id string) error {
	_, err := r.submit(ctx, &wire.PeerOrder{
		Kind: wire.PeerOrderKind_PeerOrderPromote, Member: &wire.QuorumMember{ID: id},
	})

	return err
}

// Remove removes a member permanently. It fails if too few up-to-date voters would
// remain, and for the leader, which must transfer its leadership first.
func (r *Replica) Remove(ctx context.Context, id string) error {
	_, err := r.submit(ctx, &wire.PeerOrder{
		Kind: wire.PeerOrderKind_PeerOrderRemove, Member: &wire.QuorumMember{ID: id},
	})

	return err
}

// TransferLeadership transfers leadership to the voter to, or to the most up-to-date
// voter if to is empty. It returns nil once the old leader has stepped down.
func (r *Replica) TransferLeadership(ctx context.Context, to string) error {
	_, err := r.submit(ctx, &wire.PeerOrder{
		Kind: wire.PeerOrderKind_PeerOrderTransfer, Member: &wire.QuorumMember{ID: to},
	})

	return err
}

// StepDown transfers leadership to the most up-to-date voter if this replica leads. Unlike TransferLeadership, it
// never asks another leader, which might hand its leadership to this replica.
func (r *Replica) StepDown(ctx context.Context) error {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()

	out := r.submitLocal(ctx, &wire.PeerOrder{Kind: wire.PeerOrderKind_PeerOrderTransfer, Member: &wire.QuorumMember{}})
	if out.succeeded || out.reason == quorum.ReasonNotLeader {
		return nil
	}

	return outcomeError(out)
}

// CheckStop returns nil if the group keeps a quorum without the member. The leader
// confirms this with a new round to the other members, whereas Status returns the last
// known state.
func (r *Replica) CheckStop(ctx context.Context, id string) error {
	_, err := r.submit(ctx, &wire.PeerOrder{
		Kind: wire.PeerOrderKind_PeerOrderCheckStop, Member: &wire.QuorumMember{ID: id},
	})

	return err
}

// submit runs a request on this replica or, if another replica leads, on that one. It
// retries transient failures until ctx ends, for example while there is no leader. It
// never retries a request that may have run.
func (r *Replica) submit(ctx context.Context, o *wire.PeerOrder) (outcome, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()

	for {
		out := r.submitLocal(ctx, o)
		if out.reason == quorum.ReasonNotLeader {
			out = r.forward(ctx, o)
		}

		switch {
		case out.succeeded:
			return out, nil
		case out.verdict != verdict.NotRun || !isTransient(out.reason):
			return out, outcomeError(out)
		}

		select {
		case <-ctx.Done():
			return out, outcomeError(out)
		case <-r.stopped:
			return out, outcomeError(out)
		case <-time.After(r.HeartbeatInterval / 4):
		}
	}
}

// isTransient reports whether a request refused for reason may succeed on a retry.
func isTransient(reason quorum.Reason) bool {
	switch reason {
	case quorum.ReasonNotLeader, quorum.ReasonTransferring, quorum.ReasonMembersChanging:
		return true
	default:
		return false
	}
}

// submitLocal runs a request on this replica's core.
func (r *Replica) submitLocal(ctx context.Context, o *wire.PeerOrder) outcome {
	m, err := quorum.MemberFromWire(o.GetMember())
	if err != nil {
		return outcome{verdict: verdict.NotRun, reason: quorum.ReasonBadAddress}
	}

	out := r.submitEvent(ctx, func(id uint64) quorum.Event {
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
			return quorum.Proposed{ID: id, Command: o.GetCommand(), AsOf: o.GetAsOf()}
		}
	})
	out.succeeded = out.succeeded || out.verdict == verdict.Ran

	return out
}

// submitEvent queues an event for the core and waits for its outcome.
func (r *Replica) submitEvent(ctx context.Context, newEvent func(id uint64) quorum.Event) outcome {
	r.init()

	req := request{newEvent: newEvent, result: make(chan outcome, 1)}

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
	case out := <-req.result:
		return out
	case <-ctx.Done():
		return outcome{reason: quorum.ReasonTimeout}
	case <-r.stopped:
	}

	select {
	case out := <-req.result:
		return out
	default:
		return outcome{reason: reasonStopped}
	}
}

// forward sends a request to the leader. It fails with NotRun if no other leader is known.
func (r *Replica) forward(ctx context.Context, o *wire.PeerOrder) outcome {
	notRun := outcome{verdict: verdict.NotRun, reason: quorum.ReasonNotLeader}

	leader, ok := r.leaderAddr()
	if !ok {
		return notRun
	}

	o.Cluster = r.Cluster
	if deadline, ok := ctx.Deadline(); ok {
		o.RemainingMillis = uint64(max(1, time.Until(deadline).Milliseconds()))
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	go r.cancelOnNewLeader(ctx, cancel, r.Status().Term)

	resp, err := r.forwardTo(ctx, leader, o)

	switch {
	case errors.Is(err, ErrNotSent):
		return notRun
	case err != nil:
		return outcome{reason: quorum.ReasonTimeout}
	}

	out := outcome{succeeded: resp.GetDone(), index: resp.GetIndex(), result: resp.GetResult()}
	out.reason = quorum.Reason(resp.GetReason())

	if resp.GetNotRun() {
		out.verdict = verdict.NotRun
	}

	// The leader has stopped since it last contacted this replica. Treat this as
	// transient, because another leader will be elected.
	if out.reason == reasonStopped {
		out.reason = quorum.ReasonNotLeader
	}

	return out
}

// cancelOnNewLeader calls cancel once a term later than term has a leader. Without it, a
// request forwarded to a leader that has become unreachable would wait until the caller's
// deadline.
func (r *Replica) cancelOnNewLeader(ctx context.Context, cancel context.CancelFunc, term uint64) {
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

// leaderAddr returns the leader's address, if another replica leads.
func (r *Replica) leaderAddr() (netip.AddrPort, bool) {
	s := r.Status()
	if s.Leader == "" || s.Leader == r.ID {
		return netip.AddrPort{}, false
	}

	return s.LeaderAddr, s.LeaderAddr.IsValid()
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}

	return context.WithTimeout(ctx, DefaultTimeout)
}

func outcomeError(out outcome) error {
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
