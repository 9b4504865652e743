package lockstep

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// orderAll sends an order to all ranks until each of them has accepted it and, if confirmed is
// not nil, its report satisfies confirmed. An order without an answer may be lost, carried out
// already, or carried out seconds later, so it is resent, and the reports decide. If a rank
// refuses the first order that reaches it, orderAll fails, because resending would not help.
func (s *Switcher) orderAll(ctx context.Context, failure error, order func(rank int) *wire.EngineOrder, confirmed func(*Report) bool) error {
	states := make([]orderState, s.Group.Size)

	for {
		if refused := s.orderPending(ctx, states, order, confirmed); len(refused) > 0 {
			return fmt.Errorf("%w: order refused by ranks %v", failure, refused)
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
		case !pauses.Sleep(ctx, s.Settings.SwitchPollInterval):
			return fmt.Errorf("%w: %d ranks did not confirm the order in time", failure, missing)
		}
	}
}

// confirm polls the ranks that have accepted an order and are not confirmed yet. A confirmation
// stays valid as long as the fencing number of this director does. Polling all ranks again
// because one of them did not answer would expose each round to packet loss at every rank.
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

// orderState is the state of an order at one rank.
type orderState struct {
	// accepted is set once the rank has, or must have, accepted the order. unanswered is set
	// once the order got no answer, and timeouts counts how many times.
	accepted, unanswered bool
	// confirmed is set once the rank's report shows that the order was carried out.
	confirmed bool
	timeouts  int
}

func (d *orderState) done() bool { return d.accepted && d.confirmed }

// orderPending sends the order to the ranks that have not accepted it yet and returns those
// that refuse it. A fan-out also polls each rank after its order, so ranks that carried the order
// out immediately are confirmed without another poll.
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
			// The order no longer fits because an earlier, unanswered one was accepted.
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

// orderFanOut sends an order to many ranks by fan-out.
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

// recordResult logs an order that was not carried out and records refused fencing numbers.
func (s *Switcher) recordResult(rank int, o *wire.EngineOrder, result wire.EngineResult) {
	if result == wire.EngineResult_EngineFenced {
		s.fenced.Store(true)
	}

	if result != wire.EngineResult_EngineDone {
		s.Logger.Info("Order refused or not answered.", "rank", rank, "order", o.GetKind().String(), "result", result.String(),
			"version", o.GetVersion(), "step", o.GetStep(), "fence", o.GetFence(), "epoch", o.GetEpoch())
	}
}

// maxOrderAttempts is how many times an order to one rank is sent if no answer arrives.
const maxOrderAttempts = 4

func (s *Switcher) order(kind wire.EngineOrderKind, fence, version, step uint64) *wire.EngineOrder {
	return &wire.EngineOrder{Kind: kind, Epoch: s.Group.Epoch, Fence: fence, Version: version, Step: step}
}

// orderWithRetry sends an order, and resends it as long as its outcome is unknown.
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

// orderOnce sends an order that has already timed out timeouts times. It waits for the answer as
// long as if the order were sent to concurrent ranks at once.
func (s *Switcher) orderOnce(ctx context.Context, rank int, o *wire.EngineOrder, timeouts, concurrent int) wire.EngineResult {
	began := time.Now()

	orderCtx, cancel := context.WithTimeout(ctx, s.answerTimeout(o, timeouts, concurrent))
	defer cancel()

	result := s.Group.Order(orderCtx, rank, o)

	if result != wire.EngineResult_EngineUnknown && result != wire.EngineResult_EngineFenced {
		s.answerTimes.record(o.GetKind(), time.Since(began))
	}

	s.recordResult(rank, o, result)

	return result
}

// answerTimeout returns how long to wait for the answer to an order that is sent directly. In
// a group that is mostly ordered by fan-out, which takes longer, the time of these requests is
// used until direct ones were answered.
func (s *Switcher) answerTimeout(o *wire.EngineOrder, timeouts, concurrent int) time.Duration {
	maxWait := s.orderTimeout(o, concurrent)

	times := &s.answerTimes
	if !times.known(o.GetKind()) {
		times = &s.fanOutTimes
	}

	return times.timeout(o.GetKind(), concurrent, maxWait, timeouts)
}

// orderTimeout returns the upper bound of the timeout for o when it is sent to the given number
// of ranks at once.
func (s *Switcher) orderTimeout(o *wire.EngineOrder, concurrent int) time.Duration {
	if o.GetKind() != wire.EngineOrderKind_EngineOrderPrepare {
		return s.Settings.requestTimeout(concurrent)
	}

	// The maps for all ranks share the link of the directing VM.
	return s.Settings.OrderTimeout + time.Duration(concurrent)*s.Settings.PerRankMapTimeout
}
