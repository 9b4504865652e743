package lockstep

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// orderAll gives an order to all ranks until each of them has taken it and, where seen
// is given, its report says so. An order without an answer may be lost, carried out
// already, or be carried out seconds later: it is given again, and what the reports
// say counts. A rank that refuses the first one that reaches it will not take it.
func (s *Switcher) orderAll(ctx context.Context, failure error, order func(rank int) *wire.EngineOrder, confirmed func(*Report) bool) error {
	states := make([]orderState, s.Group.Size)

	for {
		if refused := s.orderPending(ctx, states, order, confirmed); len(refused) > 0 {
			return fmt.Errorf("%w: refused by ranks %v", failure, refused)
		}

		if err := s.confirm(ctx, states, confirmed); err != nil {
			return err
		}

		missing := 0

		for rank := range states {
			if !states[rank].done() {
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

// confirm looks at the ranks that have taken an order and were not seen to have carried it
// out. What a rank was once seen to have done stands while this director's fencing number
// does: to look at all of them again because one did not answer made a switch wait for as
// many chances of a lost packet as there are ranks, each time.
func (s *Switcher) confirm(ctx context.Context, states []orderState, confirmed func(*Report) bool) error {
	if confirmed == nil {
		for rank := range states {
			states[rank].confirmed = true
		}

		return nil
	}

	r, err := s.pollRanks(ctx, s.pollTimeout(), func(rank int) (PollRequest, bool) {
		return PollRequest{}, states[rank].accepted && !states[rank].confirmed
	})
	if err != nil {
		return err
	}

	for rank := range states {
		state := &states[rank]
		state.confirmed = state.confirmed || state.accepted && r.errs[rank] == nil && confirmed(&r.polls[rank].Report)
	}

	return nil
}

// orderState is what became of an order at one rank.
type orderState struct {
	// accepted is set once the rank has, or must have, taken it; unsure once an order
	// got no answer, and tries how often that was.
	accepted, unanswered bool
	// confirmed is set once its report says that it has carried the order out.
	confirmed bool
	timeouts  int
}

func (d *orderState) done() bool { return d.accepted && d.confirmed }

// orderPending gives the order to the ranks that have not taken it yet, and returns
// those that refuse it. Who has carried it out at once is seen to have done so.
func (s *Switcher) orderPending(ctx context.Context, states []orderState, order func(rank int) *wire.EngineOrder, confirmed func(*Report) bool) []int {
	results := make([]wire.EngineResult, len(states))

	var pending []int

	for rank := range states {
		if !states[rank].accepted {
			pending = append(pending, rank)
		}
	}

	if s.Group.usesFanOut(len(pending)) {
		for i, result := range s.orderFanOut(ctx, pending, order) {
			rank := pending[i]
			results[rank] = result.Result
			states[rank].confirmed = confirmed != nil && result.Err == nil && result.Result == wire.EngineResult_EngineDone &&
				result.Poll.Report.Epoch == s.Group.Epoch && confirmed(&result.Poll.Report)
		}
	} else {
		var g sync.WaitGroup

		for _, rank := range pending {
			g.Go(func() { results[rank] = s.orderOnce(ctx, rank, order(rank), states[rank].timeouts, len(pending)) })
		}

		g.Wait()
	}

	var refused []int

	for _, rank := range pending {
		state := &states[rank]

		switch {
		case results[rank] == wire.EngineResult_EngineDone, results[rank] == wire.EngineResult_EngineMisfit && state.unanswered:
			// One that no longer fits was taken when it got no answer.
			state.accepted = true
		case results[rank] == wire.EngineResult_EngineUnknown:
			state.unanswered = true
			state.timeouts++
		default:
			refused = append(refused, rank)
		}
	}

	return refused
}

// orderFanOut gives an order to many ranks at once.
func (s *Switcher) orderFanOut(ctx context.Context, ranks []int, order func(rank int) *wire.EngineOrder) []FanOutResult {
	o := order(ranks[0])
	began := time.Now()

	ctx, cancel := context.WithTimeout(ctx, s.fanOutTimes.timeout(o.GetKind(), len(ranks), s.orderTimeout(o, len(ranks)), 0))
	defer cancel()

	out := s.Group.FanOut(ctx, ranks, FanOutRequest{Order: order})
	answered := 0

	for i, result := range out {
		if result.Result != wire.EngineResult_EngineUnknown {
			answered++
		}

		s.recordResult(ranks[i], order(ranks[i]), result.Result)
	}

	if answered > len(ranks)/2 {
		s.fanOutTimes.record(o.GetKind(), time.Since(began))
	}

	return out
}

// recordResult takes in what became of an order at a rank.
func (s *Switcher) recordResult(rank int, o *wire.EngineOrder, result wire.EngineResult) {
	if result == wire.EngineResult_EngineFenced {
		s.fenced.Store(true)
	}

	if result != wire.EngineResult_EngineDone {
		s.Logger.Info("Order not taken.", "rank", rank, "order", o.GetKind().String(), "result", result.String(),
			"version", o.GetVersion(), "step", o.GetStep(), "fence", o.GetFence(), "epoch", o.GetEpoch())
	}
}

// maxOrderAttempts is how often an order to one rank is given where no answer comes.
const maxOrderAttempts = 4

func (s *Switcher) order(kind wire.EngineOrderKind, fence, version, step uint64) *wire.EngineOrder {
	return &wire.EngineOrder{Kind: kind, Epoch: s.Group.Epoch, Fence: fence, Version: version, Step: step}
}

// orderWithRetry gives an order, again while nobody can tell what became of it.
func (s *Switcher) orderWithRetry(ctx context.Context, rank int, o *wire.EngineOrder, maxAttempts int) wire.EngineResult {
	result := wire.EngineResult_EngineUnknown

	for attempt := range maxAttempts {
		result = s.orderOnce(ctx, rank, o, attempt, s.Group.Size)
		if result != wire.EngineResult_EngineUnknown || ctx.Err() != nil {
			break
		}
	}

	return result
}

// orderOnce gives an order that got no answer so many times before. Its answer is waited for
// as if so many ranks were ordered at once.
func (s *Switcher) orderOnce(ctx context.Context, rank int, o *wire.EngineOrder, timeouts, concurrent int) wire.EngineResult {
	began := time.Now()

	orderCtx, cancel := context.WithTimeout(ctx, s.answerTimes.timeout(o.GetKind(), concurrent, s.orderTimeout(o, concurrent), timeouts))
	defer cancel()

	result := s.Group.Order(orderCtx, rank, o)

	if result != wire.EngineResult_EngineUnknown && result != wire.EngineResult_EngineFenced {
		s.answerTimes.record(o.GetKind(), time.Since(began))
	}

	s.recordResult(rank, o, result)

	return result
}

// orderTimeout bounds the wait for the answer to o, which goes to so many ranks at once.
func (s *Switcher) orderTimeout(o *wire.EngineOrder, concurrent int) time.Duration {
	if o.GetKind() != wire.EngineOrderKind_EngineOrderPrepare {
		return s.Settings.requestTimeout(concurrent)
	}

	// The maps share the directing VM's link.
	return s.Settings.OrderTimeout + time.Duration(concurrent)*s.Settings.PerRankMapTimeout
}
