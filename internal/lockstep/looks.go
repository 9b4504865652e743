package lockstep

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// mapOf returns the map in use by the ranks' own lists.
func mapOf(looks []PollResult) (Map, error) {
	m := make(Map, len(looks[0].Experts))

	for r := range looks {
		l := &looks[r]
		if l.MapVersion != looks[0].MapVersion || len(l.Experts) != len(m) || len(m) == 0 {
			return nil, fmt.Errorf("%w: rank %d does not tell its experts", errState, r)
		}

		for s := range m {
			m[s] = append(m[s], slices.Sorted(slices.Values(l.Experts[s])))
		}
	}

	return m, nil
}

// lookAll returns all ranks' reports of the epoch.
func (s *Switcher) lookAll(ctx context.Context) ([]Report, error) {
	looks, err := s.PollAll(ctx, PollRequest{})
	if err != nil {
		return nil, err
	}

	return reportsOf(looks), nil
}

func reportsOf(looks []PollResult) []Report {
	out := make([]Report, 0, len(looks))
	for _, l := range looks {
		out = append(out, l.Report)
	}

	return out
}

// PollAll looks at all ranks at once, and again at those that do not answer in time. All
// must answer in the end, in the same epoch.
func (s *Switcher) PollAll(ctx context.Context, q PollRequest) ([]PollResult, error) {
	var (
		looks []PollResult
		r     round
		err   error
	)

	for try := range lookTries {
		missing := r.errs

		r, err = s.lookEach(ctx, s.Settings.askTimeout(s.Group.Size), func(rank int) (PollRequest, bool) { return q, try == 0 || missing[rank] != nil })
		if err != nil {
			return nil, err
		}

		if try == 0 {
			looks = r.looks
		}

		for rank := range missing {
			if r.errs[rank] == nil {
				looks[rank] = r.looks[rank]
			}
		}

		if len(r.errs) == 0 {
			return looks, nil
		}
	}

	return nil, r.notAll()
}

// PollMost looks at some ranks at once, in the same epoch. A few of them need not
// answer: where packets are lost, nearly every look would miss one, and what most ranks
// counted tells enough. The looks of the others are empty.
func (s *Switcher) PollMost(ctx context.Context, ask func(rank int) (PollRequest, bool)) ([]PollResult, error) {
	r, err := s.lookEach(ctx, s.lookTimeout(), ask)
	if err != nil {
		return nil, err
	}

	if r.errs[0] != nil || r.mostMissing() {
		return nil, r.notAll()
	}

	return r.looks, nil
}

const (
	// lookMemory is over how many looks at a rank their usual time is averaged, and
	// lookMargin how many mean distances above that a look may take.
	lookMemory = 256
	lookMargin = 6
)

// lookTimeout bounds a look at ranks of which not all must answer. It is twice as long
// after each look that most ranks did not answer in time: what it is learnt from are
// answers alone, and where all became slower than it none would ever come again.
func (s *Switcher) lookTimeout() time.Duration {
	most := s.Settings.askTimeout(s.Group.Size)

	within, known := s.looks.UpperBound(lookMargin)
	if !known {
		return most
	}

	least := leastAnswer + time.Duration(s.Group.Size)*leastPerRank

	return min(max(within, least)<<min(s.unseen, mostDoublings), most)
}

// lookTries is how often a look at a rank that a switch depends on is tried.
const lookTries = 4

// lookAgain looks at one rank, again where no answer comes in time: a lost packet is no
// reason to give up a switch for which all ranks are armed.
func (s *Switcher) lookAgain(ctx context.Context, rank int) (PollResult, error) {
	var (
		look PollResult
		err  error
	)

	for range lookTries {
		one, cancel := context.WithTimeout(ctx, s.Settings.askTimeout(s.Group.Size))
		look, err = s.Group.Poll(one, rank, PollRequest{})

		cancel()

		if err == nil || ctx.Err() != nil {
			break
		}
	}

	return look, err
}

// oneLook is a look at one rank.
type oneLook struct {
	rank int
	look PollResult
	err  error
	at   time.Time
}

// round is what a look at some ranks brought.
type round struct {
	// looks are by rank, empty for those that were not asked or did not answer in time;
	// errs is why they did not.
	looks []PollResult
	errs  map[int]error
	asked int
}

func (r *round) mostMissing() bool { return len(r.errs) > r.asked/2 }

func (r *round) notAll() error {
	return fmt.Errorf("%w: %w", errNotAll, errors.Join(slices.Collect(maps.Values(r.errs))...))
}

// lookEach looks at some ranks at once. An answer of another epoch fails all.
func (s *Switcher) lookEach(ctx context.Context, within time.Duration, ask func(rank int) (PollRequest, bool)) (round, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()

	began := time.Now()
	answers := make(chan oneLook, s.Group.Size)
	r := round{looks: make([]PollResult, s.Group.Size), errs: make(map[int]error)}

	asked := make(map[int]PollRequest, s.Group.Size)

	for rank := range s.Group.Size {
		if q, ok := ask(rank); ok {
			asked[rank] = q
		}
	}

	r.asked = len(asked)
	s.askRanks(ctx, asked, answers)

	for range r.asked {
		a := <-answers

		switch {
		case a.err != nil:
			r.errs[a.rank] = a.err
			s.Logger.Debug("Rank not seen.", "rank", a.rank, "error", a.err)

			continue
		case a.look.Report.Epoch != s.Group.Epoch:
			return round{}, fmt.Errorf("%w: another epoch has begun", errState)
		}

		r.looks[a.rank] = a.look
		s.looks.Observe(a.at.Sub(began), lookMemory)

		if a.rank == 0 {
			s.steps.saw(a.at, a.look.Report.Step)
		}
	}

	if r.mostMissing() {
		s.unseen++
	} else {
		s.unseen = 0
	}

	return r, nil
}

// askRanks asks ranks, each directly or many of them by way of some, and brings the answers.
func (s *Switcher) askRanks(ctx context.Context, asked map[int]PollRequest, answers chan<- oneLook) {
	direct := func(rank int) {
		look, err := s.Group.Poll(ctx, rank, asked[rank])
		answers <- oneLook{rank: rank, look: look, err: err, at: time.Now()}
	}

	var many []int

	for rank, q := range asked {
		if q.Counts {
			go direct(rank)
		} else {
			many = append(many, rank)
		}
	}

	slices.Sort(many)

	if !s.Group.spreads(len(many)) {
		for _, rank := range many {
			go direct(rank)
		}

		return
	}

	go func() {
		told := s.Group.FanOut(ctx, many, FanOutRequest{Experts: asked[many[0]].Experts})
		for i, rank := range many {
			answers <- oneLook{rank: rank, look: told[i].Poll, err: told[i].Err, at: time.Now()}
		}
	}()
}
