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

	if o.GetKind() != wire.RankOrderKind_RankOrderNone {
		r.keepMaps(o.GetMaps())

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
	// What follows from the order outlives the call that brought it.
	work := context.WithoutCancel(ctx)

	r.post(ctx, func(now time.Time) {
		defer close(done)

		r.do(work, r.core.Receive(now, expertmap.OrderFromWire(o)))
	})

	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errBusy
	}
}

// keepMaps keeps the maps that came with an order.
func (r *Rank) keepMaps(maps []*wire.GroupMap) {
	if len(maps) > 0 && len(maps) <= maxMapsKept {
		r.maps.Store(&maps)
	}
}

// Ask answers a peer that waits for the end of a switch.
func (r *Rank) Ask(ctx context.Context, q *wire.RankQuestion) (*wire.RankAnswer, error) {
	if q.GetGroup() != r.Group {
		return nil, r.wrong(q.GetGroup())
	}

	answer := make(chan *wire.RankAnswer, 1)

	r.post(ctx, func(time.Time) {
		out := &wire.RankAnswer{}

		for _, a := range r.core.Asked(int(q.GetRank())) {
			if a.Kind == expertmap.ActionTell {
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

	return &wire.RankReport{
		Rank: uint32(r.Number), Incarnation: status.GetIncarnation(), Sequence: s.Sequence,
		BusyMicros: s.BusyMicros, Work: s.Work, Tokens: s.Tokens,
	}, nil
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
