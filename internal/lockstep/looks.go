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
func mapOf(looks []Look) (Map, error) {
	m := make(Map, len(looks[0].Lists))

	for r := range looks {
		l := &looks[r]
		if l.ListsOf != looks[0].ListsOf || len(l.Lists) != len(m) || len(m) == 0 {
			return nil, fmt.Errorf("%w: rank %d does not tell its experts", errState, r)
		}

		for s := range m {
			m[s] = append(m[s], slices.Sorted(slices.Values(l.Lists[s])))
		}
	}

	return m, nil
}

// lookAll returns all ranks' reports of the epoch.
func (s *Switcher) lookAll(ctx context.Context) ([]Report, error) {
	looks, err := s.LookAll(ctx, Question{})
	if err != nil {
		return nil, err
	}

	return reportsOf(looks), nil
}

func reportsOf(looks []Look) []Report {
	out := make([]Report, 0, len(looks))
	for _, l := range looks {
		out = append(out, l.Report)
	}

	return out
}

// LookAll looks at all ranks at once. All must answer, in the same epoch.
func (s *Switcher) LookAll(ctx context.Context, q Question) ([]Look, error) {
	return s.LookSome(ctx, func(int) (Question, bool) { return q, true })
}

// LookSome looks at some ranks at once. All of them must answer, in the same epoch;
// the others' looks are empty.
func (s *Switcher) LookSome(ctx context.Context, ask func(rank int) (Question, bool)) ([]Look, error) {
	looks, errs, err := s.lookEach(ctx, s.Settings.askTimeout(s.Ranks.Size), ask)
	if err == nil && len(errs) > 0 {
		err = fmt.Errorf("%w: %w", errNotAll, errors.Join(slices.Collect(maps.Values(errs))...))
	}

	return looks, err
}

// LookMost is LookSome where a few ranks need not answer: their looks are empty too.
//
// The failure is a zone that loses packets. With a question to each rank every second
// look missed one, was waited for until the time-out, and told nothing, so that a shift
// of demand was found half a second late. What most ranks counted tells enough of it; a
// rank's own counts are not lost, as they only grow.
func (s *Switcher) LookMost(ctx context.Context, ask func(rank int) (Question, bool)) ([]Look, error) {
	looks, errs, err := s.lookEach(ctx, s.lookTimeout(), ask)
	if err != nil {
		return nil, err
	}

	asked := 0

	for rank := range looks {
		if _, wanted := ask(rank); wanted {
			asked++
		}
	}

	if errs[0] != nil || len(errs) > asked/2 {
		return nil, fmt.Errorf("%w: %w", errNotAll, errors.Join(slices.Collect(maps.Values(errs))...))
	}

	return looks, nil
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
	most := s.Settings.askTimeout(s.Ranks.Size)

	within, known := s.looks.Within(lookMargin)
	if !known {
		return most
	}

	least := leastAnswer + time.Duration(s.Ranks.Size)*leastPerRank

	return min(max(within, least)<<min(s.unseen, mostDoublings), most)
}

// lookTries is how often a look at one rank that a switch depends on is tried.
const lookTries = 4

// lookAgain looks at one rank, again where no answer comes in time: a lost packet is no
// reason to give up a switch for which all ranks are armed.
func (s *Switcher) lookAgain(ctx context.Context, rank int) (Look, error) {
	var (
		look Look
		err  error
	)

	for range lookTries {
		one, cancel := context.WithTimeout(ctx, s.Settings.askTimeout(s.Ranks.Size))
		look, err = s.Ranks.Look(one, rank, Question{})

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
	look Look
	err  error
	at   time.Time
}

// lookEach looks at some ranks at once, and returns why those that did not answer in
// time did not, by rank. An answer of another epoch fails all.
func (s *Switcher) lookEach(ctx context.Context, within time.Duration, ask func(rank int) (Question, bool)) ([]Look, map[int]error, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()

	began := time.Now()
	answers := make(chan oneLook, s.Ranks.Size)
	asked := 0

	for rank := range s.Ranks.Size {
		if q, ok := ask(rank); ok {
			asked++

			go func() {
				look, err := s.Ranks.Look(ctx, rank, q)
				answers <- oneLook{rank: rank, look: look, err: err, at: time.Now()}
			}()
		}
	}

	looks := make([]Look, s.Ranks.Size)
	errs := make(map[int]error)

	for range asked {
		a := <-answers

		switch {
		case a.err != nil:
			errs[a.rank] = a.err
			s.Logger.Debug("Rank not seen.", "rank", a.rank, "error", a.err)

			continue
		case a.look.Report.Epoch != s.Ranks.Epoch:
			return nil, nil, fmt.Errorf("%w: another epoch has begun", errState)
		}

		looks[a.rank] = a.look
		s.looks.Learn(a.at.Sub(began), lookMemory)

		if a.rank == 0 {
			s.steps.saw(a.at, a.look.Report.Step)
		}
	}

	if len(errs) > asked/2 {
		s.unseen++
	} else {
		s.unseen = 0
	}

	return looks, errs, nil
}
