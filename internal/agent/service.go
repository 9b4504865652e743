package agent

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// service implements the agent's twirp service.
type service struct {
	agent *Agent
}

// Grant grants a credit to an entry.
func (s *service) Grant(_ context.Context, r *wire.GrantRequest) (*wire.GrantResponse, error) {
	if r.GetEntryID() == "" {
		return nil, twirp.RequiredArgumentError("EntryID") //nolint:wrapcheck // twirp returns it to the client unchanged
	}

	a := s.agent
	now := a.Now()
	g, l := a.admitter.grant(now, admission.GrantRequest{EntryID: r.GetEntryID(), Wanted: r.GetWanted()})
	a.counters.granted.Inc(1)

	credit := creditToWire(g, now)

	return &wire.GrantResponse{
		Credit:           credit,
		Load:             loadToWire(l, credit),
		RetryAfterMillis: millisUntil(g.RetryAt, now),
	}, nil
}

// Ask returns the state of an attempt.
func (s *service) Ask(_ context.Context, r *wire.AskRequest) (*wire.AskResponse, error) {
	if r.GetAttemptID() == "" {
		return nil, twirp.RequiredArgumentError("AttemptID") //nolint:wrapcheck // twirp returns it to the client unchanged
	}

	a := s.agent
	a.counters.attemptQueries.Inc(1)
	status := a.admitter.queryAttempt(a.Now(), admission.AttemptQuery{
		AttemptID:           r.GetAttemptID(),
		Incarnation:         r.GetIncarnation(),
		CreditExpiresAtTick: r.GetCreditExpiresAtTick(),
		Close:               r.GetClose(),
	})

	return &wire.AskResponse{State: status.State, Incarnation: a.Incarnation, Answer: status.Answer}, nil
}

// Give forwards an order to the engine and returns when it has been carried out.
func (s *service) Give(ctx context.Context, o *wire.Order) (*wire.OrderResponse, error) {
	r, highest, err := s.agent.submitOrder(ctx, orderFromWire(o))
	if err != nil {
		return nil, twirp.NewError(twirp.DeadlineExceeded, err.Error()) //nolint:wrapcheck // twirp returns it to the client unchanged
	}

	cause := string(r.Cause)
	if r.Detail != "" {
		cause += ": " + r.Detail
	}

	return &wire.OrderResponse{Done: r.Done, Cause: cause, HighestFencingNumber: highest}, nil
}

// millisUntil returns the time from now to at in milliseconds, rounded up, or 0 if at has
// passed.
func millisUntil(at, now time.Time) uint64 {
	if !at.After(now) {
		return 0
	}

	return uint64((at.Sub(now) + time.Millisecond - 1) / time.Millisecond)
}

func creditToWire(g admission.Grant, now time.Time) *wire.Credit {
	return &wire.Credit{
		AgentID:         g.Credit.AgentID,
		Incarnation:     g.Credit.Incarnation,
		EntryID:         g.Credit.EntryID,
		Serial:          g.Credit.Serial,
		ExpiresAtTick:   g.Credit.ExpiresAtTick,
		Slots:           g.Credit.Slots,
		RemainingMillis: uint64(max(g.ExpiresAt.Sub(now), 0) / time.Millisecond),
	}
}

func creditFromWire(c *wire.Credit) admission.Credit {
	return admission.Credit{
		AgentID:       c.GetAgentID(),
		Incarnation:   c.GetIncarnation(),
		EntryID:       c.GetEntryID(),
		Serial:        c.GetSerial(),
		ExpiresAtTick: c.GetExpiresAtTick(),
		Slots:         c.GetSlots(),
	}
}

func loadToWire(l admission.Load, credit *wire.Credit) *wire.Load {
	return &wire.Load{
		InFlight: l.InFlight,
		Limit:    l.Limit,
		Cold:     l.Cold,
		Leaving:  l.Leaving,
		Credit:   credit,
	}
}
