package rank

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/expertmap"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// What a rank answers when it cannot yet.
var (
	errStarting error = twirp.NewError(twirp.Unavailable, "the rank has just started")
	errBusy     error = twirp.NewError(twirp.DeadlineExceeded, "the rank is busy")
	errUnheard  error = twirp.NewError(twirp.Unavailable, "the engine has not been heard of")
)

// Order takes an order of the control leader and answers with the rank's status.
// An order of no kind only asks for the status.
func (r *Rank) Order(ctx context.Context, o *wire.RankOrder) (*wire.RankStatus, error) {
	if err := r.mine(o.GetGroup(), o.GetRank()); err != nil {
		return nil, err
	}

	// Before the engine's first word there is no boot to give an order to. An
	// order taken in then would be lost, and the engine would wait for it for good.
	if r.state.Load() == nil {
		return nil, errUnheard
	}

	if o.GetKind() != wire.RankOrderKind_RankOrderNone {
		if err := r.receive(ctx, o); err != nil {
			return nil, err
		}
	}

	s := r.status.Load()
	if s == nil {
		return nil, errStarting
	}

	return s, nil
}

func (r *Rank) receive(ctx context.Context, o *wire.RankOrder) error {
	done := make(chan struct{})

	r.post(ctx, func(ctx context.Context, now time.Time) {
		defer close(done)

		r.keepMaps(o)
		r.do(ctx, r.core.Receive(now, expertmap.OrderFromWire(o)))
	})

	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errBusy
	}
}

// keepMaps keeps the maps that came with an order. A late order brings those of
// its own time: kept, they would leave the engine without the map that rules now.
func (r *Rank) keepMaps(o *wire.RankOrder) {
	maps, asOf := o.GetMaps(), o.GetRecord().GetAsOf()
	if len(maps) > 0 && len(maps) <= maxMapsKept && asOf >= r.maps.Load().asOf {
		r.maps.Store(&keptMaps{asOf: asOf, maps: maps})
	}
}

// Ask answers a peer that waits for the end of a switch.
func (r *Rank) Ask(ctx context.Context, q *wire.RankQuestion) (*wire.RankAnswer, error) {
	if q.GetGroup() != r.Group {
		return nil, r.wrong(q.GetGroup())
	}

	answer := make(chan *wire.RankAnswer, 1)

	r.post(ctx, func(context.Context, time.Time) {
		out := &wire.RankAnswer{}

		for _, a := range r.core.HandlePeerQuery(int(q.GetRank())) {
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

// Report tells what the engine has counted.
func (r *Rank) Report(_ context.Context, q *wire.RankQuestion) (*wire.RankReport, error) {
	if err := r.mine(q.GetGroup(), q.GetRank()); err != nil {
		return nil, err
	}

	s, status := r.state.Load(), r.status.Load()
	if s == nil || status == nil {
		return nil, errUnheard
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

func (r *Rank) mine(group string, number uint32) error {
	if group != r.Group || int(number) != r.Number {
		return r.wrong(group)
	}

	return nil
}

func (r *Rank) wrong(group string) error {
	return twirp.NewError(twirp.NotFound, "this agent's target is no rank of "+group)
}
