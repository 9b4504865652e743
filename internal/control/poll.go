package control

import (
	"context"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Poll answers a poll of an entry or agent. It answers immediately if the process lacks a
// version or if this VM's state is not confirmed as current; otherwise it waits for a
// change or for the end of the requested wait.
func (s *Server) Poll(ctx context.Context, r *wire.PollRequest) (*wire.PollResponse, error) {
	if r.GetCluster() != s.Cluster {
		return nil, newRPCError(twirp.FailedPrecondition,
			fmt.Sprintf("this control VM belongs to cluster %q, the poll to %q", s.Cluster, r.GetCluster()))
	}

	if r.GetNode().GetID() == "" {
		return nil, missingField("Node.ID")
	}

	received := time.Now()
	s.post(ctx, event{poll: r, at: received})
	s.waitForChange(ctx, r)

	if err := ctx.Err(); err != nil {
		return nil, newRPCError(twirp.Canceled, "the poll ended early")
	}

	return s.answerPoll(r, received), nil
}

// waitForChange waits until there is a version that the process lacks, the state is no
// longer confirmed as current, or the wait ends.
func (s *Server) waitForChange(ctx context.Context, r *wire.PollRequest) {
	wait := min(time.Duration(r.GetWaitMillis())*time.Millisecond, s.Settings.MaxPollWait)
	if wait <= 0 {
		return
	}

	timer := time.NewTimer(wait)
	defer timer.Stop()

	for {
		p := s.published.Load()
		if _, valid := s.age(time.Now()); !valid || p.records.Version > r.GetKnownVersion() {
			return
		}

		select {
		case <-p.superseded:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// answerPoll builds the answer. It reads the age before the state, so the state is at least
// as new as the age says.
func (s *Server) answerPoll(r *wire.PollRequest, received time.Time) *wire.PollResponse {
	now := time.Now()
	age, valid := s.age(now)
	p := s.published.Load()
	out := &wire.PollResponse{
		Version:    p.records.Version,
		Stale:      !valid,
		AgeMillis:  uint64(age.Milliseconds()) + 1,
		HeldMillis: uint64(now.Sub(received).Milliseconds()),

		LeaseMillis: uint64(s.Settings.Lease.Milliseconds()),
	}

	if p.records.Version <= r.GetKnownVersion() && r.GetKnownVersion() != 0 {
		return out
	}

	d := p.records.DeltaSince(r.GetKnownVersion())
	if d.Full || len(d.Changed)+len(d.Removed) > maxBaseDelta {
		out.Base, d = s.baseAndDelta(p)
		out.Version = d.Version
		out.Full = true
	}

	out.Changed = d.Changed
	out.Removed = d.Removed

	return out
}
