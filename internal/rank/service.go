package rank

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/expertmap"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Errors returned while the rank cannot answer yet.
var (
	errStarting      error = twirp.NewError(twirp.Unavailable, "the rank has just started")
	errBusy          error = twirp.NewError(twirp.DeadlineExceeded, "the rank is busy")
	errNoEngineState error = twirp.NewError(twirp.Unavailable, "the engine has not been heard of")
)

// Order processes an order of the control leader and returns the rank's status. An
// order of kind RankOrderNone only requests the status.
func (r *Rank) Order(ctx context.Context, o *wire.RankOrder) (*wire.RankStatus, error) {
	if err := r.checkRank(o.GetGroup(), o.GetRank()); err != nil {
		return nil, err
	}

	// Before the engine's first report there is no boot to send an order to. An order
	// accepted then would be lost, and the engine would wait for it forever.
	if r.engineState.Load() == nil {
		return nil, errNoEngineState
	}

	if o.GetKind() != wire.RankOrderKind_RankOrderNone {
		if err := r.applyOrder(ctx, o); err != nil {
			return nil, err
		}
	}

	s := r.lastStatus.Load()
	if s == nil {
		return nil, errStarting
	}

	return s, nil
}

func (r *Rank) applyOrder(ctx context.Context, o *wire.RankOrder) error {
	done := make(chan struct{})

	r.postEvent(ctx, func(ctx context.Context, now time.Time) {
		defer close(done)

		r.storeMaps(o)
		r.perform(ctx, r.participant.Receive(now, expertmap.OrderFromWire(o)))
	})

	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errBusy
	}
}

// storeMaps stores the maps of an order. The maps of a delayed order are older; storing
// them would leave the engine without the map in use.
func (r *Rank) storeMaps(o *wire.RankOrder) {
	maps, asOf := o.GetMaps(), o.GetRecord().GetAsOf()
	if len(maps) > 0 && len(maps) <= maxOrderMaps && asOf >= r.orderMaps.Load().asOf {
		r.orderMaps.Store(&mapsOfOrder{asOf: asOf, maps: maps})
	}
}

// Ask answers a peer that waits for the outcome of a switch.
func (r *Rank) Ask(ctx context.Context, q *wire.RankQuestion) (*wire.RankAnswer, error) {
	if q.GetGroup() != r.Group {
		return nil, r.wrongRankError(q.GetGroup())
	}

	answer := make(chan *wire.RankAnswer, 1)

	r.postEvent(ctx, func(context.Context, time.Time) {
		out := &wire.RankAnswer{}

		for _, a := range r.participant.HandlePeerQuery(int(q.GetRank())) {
			if a.Kind == expertmap.ActionAnswerPeer {
				out.Record = expertmap.RecordToWire(a.Record)
			}
		}

		answer <- out
	})

	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return nil, errBusy
	}
}

// Report returns the engine's counters.
func (r *Rank) Report(_ context.Context, q *wire.RankQuestion) (*wire.RankReport, error) {
	if err := r.checkRank(q.GetGroup(), q.GetRank()); err != nil {
		return nil, err
	}

	s, status := r.engineState.Load(), r.lastStatus.Load()
	if s == nil || status == nil {
		return nil, errNoEngineState
	}

	report := &wire.RankReport{
		Rank: uint32(r.Number), Incarnation: status.GetIncarnation(), Sequence: s.Sequence,
		BusyMicros: s.BusyMicros, Work: s.Work,
	}
	if q.GetTokens() {
		report.Tokens = s.Tokens
	}

	return report, nil
}

func (r *Rank) checkRank(group string, number uint32) error {
	if group != r.Group || int(number) != r.Number {
		return r.wrongRankError(group)
	}

	return nil
}

func (r *Rank) wrongRankError(group string) error {
	return twirp.NewError(twirp.NotFound, "this agent's target is no rank of "+group)
}
