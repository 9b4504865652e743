package control

import (
	"context"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Poll answers an entry's or agent's poll: at once where there is news or this
// VM is not current, else when something changes or the wait ends.
func (s *Server) Poll(ctx context.Context, r *wire.PollRequest) (*wire.PollResponse, error) {
	if r.GetCluster() != s.Cluster {
		return nil, newFault(twirp.FailedPrecondition,
			fmt.Sprintf("this control VM belongs to cluster %q, the poll to %q", s.Cluster, r.GetCluster()))
	}

	if r.GetNode().GetID() == "" {
		return nil, missing("Node.ID")
	}

	received := time.Now()
	s.post(ctx, event{poll: r, at: received})
	s.hold(ctx, r)

	if err := ctx.Err(); err != nil {
		return nil, newFault(twirp.Canceled, "the poll ended early")
	}

	return s.answerPoll(r, received), nil
}

// hold waits until there is something to tell the reader.
func (s *Server) hold(ctx context.Context, r *wire.PollRequest) {
	wait := min(time.Duration(r.GetWaitMillis())*time.Millisecond, s.Settings.MaxPollWait)
	if wait <= 0 {
		return
	}

	timer := time.NewTimer(wait)
	defer timer.Stop()

	for {
		p := s.published.Load()
		if _, fresh := s.age(time.Now()); !fresh || p.records.Version > r.GetKnownVersion() {
			return
		}

		select {
		case <-p.replaced:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// answerPoll reads the age before the state: the state then is at least as new
// as the age says.
func (s *Server) answerPoll(r *wire.PollRequest, received time.Time) *wire.PollResponse {
	now := time.Now()
	age, fresh := s.age(now)
	p := s.published.Load()
	out := &wire.PollResponse{
		Version:    p.records.Version,
		Stale:      !fresh,
		AgeMillis:  uint64(age.Milliseconds()) + 1,
		HeldMillis: uint64(now.Sub(received).Milliseconds()),

		LeaseMillis: uint64(s.Settings.Lease.Milliseconds()),
	}

	if p.records.Version <= r.GetKnownVersion() && r.GetKnownVersion() != 0 {
		return out
	}

	d := p.records.DeltaSince(r.GetKnownVersion())
	if d.Full || len(d.Changed)+len(d.Removed) > maxRest {
		out.Base, d = s.full(p)
		out.Version = d.Version
		out.Full = true
	}

	out.Changed = d.Changed
	out.Removed = d.Removed

	return out
}
