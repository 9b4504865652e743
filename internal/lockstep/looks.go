package lockstep

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
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
	looks := make([]Look, s.Ranks.Size)
	errs := make([]error, s.Ranks.Size)
	asked := make([]bool, s.Ranks.Size)
	seen := make([]time.Time, s.Ranks.Size)

	ctx, cancel := context.WithTimeout(ctx, s.Settings.askTimeout(s.Ranks.Size))
	defer cancel()

	var g sync.WaitGroup

	for rank := range looks {
		var q Question

		if q, asked[rank] = ask(rank); asked[rank] {
			g.Go(func() {
				looks[rank], errs[rank] = s.Ranks.Look(ctx, rank, q)
				seen[rank] = time.Now()
			})
		}
	}

	g.Wait()

	if asked[0] && errs[0] == nil {
		s.steps.saw(seen[0], looks[0].Report.Step)
	}

	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotAll, err)
	}

	for rank := range looks {
		if asked[rank] && looks[rank].Report.Epoch != s.Ranks.Epoch {
			return nil, fmt.Errorf("%w: another epoch has begun", errState)
		}
	}

	return looks, nil
}
