package lockstep

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// drive gives an order to all ranks until each of them has taken it and, where seen
// is given, its report says so. An order without an answer may be lost, carried out
// already, or be carried out seconds later: it is given again, and what the reports
// say counts. A rank that refuses the first one that reaches it will not take it.
func (s *Switcher) drive(ctx context.Context, failure error, order func(rank int) *wire.EngineOrder, seen func(*Report) bool) error {
	ranks := make([]driven, s.Group.Size)

	for {
		if refused := s.orderMissing(ctx, ranks, order, seen); len(refused) > 0 {
			return fmt.Errorf("%w: refused by ranks %v", failure, refused)
		}

		if err := s.see(ctx, ranks, seen); err != nil {
			return err
		}

		missing := 0

		for rank := range ranks {
			if !ranks[rank].done() {
				missing++
			}
		}

		switch {
		case missing == 0:
			return nil
		case !pauses.For(ctx, s.Settings.SwitchPollInterval):
			return fmt.Errorf("%w: %d ranks are missing", failure, missing)
		}
	}
}

// see looks at the ranks that have taken an order and were not seen to have carried it
// out. What a rank was once seen to have done stands while this director's fencing number
// does: to look at all of them again because one did not answer made a switch wait for as
// many chances of a lost packet as there are ranks, each time.
func (s *Switcher) see(ctx context.Context, ranks []driven, seen func(*Report) bool) error {
	if seen == nil {
		for rank := range ranks {
			ranks[rank].seen = true
		}

		return nil
	}

	r, err := s.lookEach(ctx, s.lookTimeout(), func(rank int) (PollRequest, bool) {
		return PollRequest{}, ranks[rank].taken && !ranks[rank].seen
	})
	if err != nil {
		return err
	}

	for rank := range ranks {
		d := &ranks[rank]
		d.seen = d.seen || d.taken && r.errs[rank] == nil && seen(&r.looks[rank].Report)
	}

	return nil
}

// driven is what became of an order at one rank.
type driven struct {
	// taken is set once the rank has, or must have, taken it; unsure once an order
	// got no answer, and tries how often that was.
	taken, unsure bool
	// seen is set once its report says that it has carried the order out.
	seen  bool
	tries int
}

func (d *driven) done() bool { return d.taken && d.seen }

// orderMissing gives the order to the ranks that have not taken it yet, and returns
// those that refuse it. Who has carried it out at once is seen to have done so.
func (s *Switcher) orderMissing(ctx context.Context, ranks []driven, order func(rank int) *wire.EngineOrder, seen func(*Report) bool) []int {
	results := make([]wire.EngineResult, len(ranks))

	var missing []int

	for rank := range ranks {
		if !ranks[rank].taken {
			missing = append(missing, rank)
		}
	}

	if s.Group.spreads(len(missing)) {
		for i, told := range s.orderMany(ctx, missing, order) {
			rank := missing[i]
			results[rank] = told.Result
			ranks[rank].seen = seen != nil && told.Err == nil && told.Result == wire.EngineResult_EngineDone &&
				told.Poll.Report.Epoch == s.Group.Epoch && seen(&told.Poll.Report)
		}
	} else {
		var g sync.WaitGroup

		for _, rank := range missing {
			g.Go(func() { results[rank] = s.orderOnce(ctx, rank, order(rank), ranks[rank].tries, len(missing)) })
		}

		g.Wait()
	}

	var refused []int

	for _, rank := range missing {
		d := &ranks[rank]

		switch {
		case results[rank] == wire.EngineResult_EngineDone, results[rank] == wire.EngineResult_EngineMisfit && d.unsure:
			// One that no longer fits was taken when it got no answer.
			d.taken = true
		case results[rank] == wire.EngineResult_EngineUnknown:
			d.unsure = true
			d.tries++
		default:
			refused = append(refused, rank)
		}
	}

	return refused
}

// orderMany gives an order to many ranks at once.
func (s *Switcher) orderMany(ctx context.Context, ranks []int, order func(rank int) *wire.EngineOrder) []FanOutResult {
	o := order(ranks[0])
	began := time.Now()

	ctx, cancel := context.WithTimeout(ctx, s.spread.timeout(o.GetKind(), len(ranks), s.mostTime(o, len(ranks)), 0))
	defer cancel()

	out := s.Group.FanOut(ctx, ranks, FanOutRequest{Order: order})
	known := 0

	for i, told := range out {
		if told.Result != wire.EngineResult_EngineUnknown {
			known++
		}

		s.noteResult(ranks[i], order(ranks[i]), told.Result)
	}

	if known > len(ranks)/2 {
		s.spread.learn(o.GetKind(), time.Since(began))
	}

	return out
}

// noteResult takes in what became of an order at a rank.
func (s *Switcher) noteResult(rank int, o *wire.EngineOrder, got wire.EngineResult) {
	if got == wire.EngineResult_EngineFenced {
		s.fenced.Store(true)
	}

	if got != wire.EngineResult_EngineDone {
		s.Logger.Info("Order not taken.", "rank", rank, "order", o.GetKind().String(), "result", got.String(),
			"version", o.GetVersion(), "step", o.GetStep(), "fence", o.GetFence(), "epoch", o.GetEpoch())
	}
}

// orderTries is how often an order to one rank is given where no answer comes.
const orderTries = 4

func (s *Switcher) order(kind wire.EngineOrderKind, fence, version, step uint64) *wire.EngineOrder {
	return &wire.EngineOrder{Kind: kind, Epoch: s.Group.Epoch, Fence: fence, Version: version, Step: step}
}

// orderAt gives an order, again while nobody can tell what became of it.
func (s *Switcher) orderAt(ctx context.Context, rank int, o *wire.EngineOrder, tries int) wire.EngineResult {
	got := wire.EngineResult_EngineUnknown

	for try := range tries {
		got = s.orderOnce(ctx, rank, o, try, s.Group.Size)
		if got != wire.EngineResult_EngineUnknown || ctx.Err() != nil {
			break
		}
	}

	return got
}

// orderOnce gives an order that got no answer so many times before. Its answer is waited for
// as if so many ranks were ordered at once.
func (s *Switcher) orderOnce(ctx context.Context, rank int, o *wire.EngineOrder, unanswered, atOnce int) wire.EngineResult {
	began := time.Now()

	one, cancel := context.WithTimeout(ctx, s.answers.timeout(o.GetKind(), atOnce, s.mostTime(o, atOnce), unanswered))
	defer cancel()

	got := s.Group.Order(one, rank, o)

	if got != wire.EngineResult_EngineUnknown && got != wire.EngineResult_EngineFenced {
		s.answers.learn(o.GetKind(), time.Since(began))
	}

	s.noteResult(rank, o, got)

	return got
}

// mostTime bounds the wait for the answer to o, which goes to so many ranks at once.
func (s *Switcher) mostTime(o *wire.EngineOrder, atOnce int) time.Duration {
	if o.GetKind() != wire.EngineOrderKind_EngineOrderPrepare {
		return s.Settings.askTimeout(atOnce)
	}

	// The maps share the directing VM's link.
	return s.Settings.OrderTimeout + time.Duration(atOnce)*s.Settings.PerRankMapTimeout
}
