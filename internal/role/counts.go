package role

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// errCounts says that what an agent told does not give the counts of all ranks asked about.
var errCounts = errors.New("role: counts of a rank are not known yet")

// countsKey names the counts of the engine beside an agent with those of others added.
func countsKey(at string, others []string) string { return at + "+" + strings.Join(others, ",") }

// askCounts asks another agent for its engine's counts, to which those of others are added
// there. What the two hold in common is not sent again.
func (a *RankAgent) askCounts(ctx context.Context, at string, r *wire.LookRequest) (*wire.LookAnswer, []uint64, error) {
	key := countsKey(at, r.GetOthers())

	a.mu.Lock()
	h := a.heard[key]

	if h == nil {
		h = &lockstep.CountDecoder{}
		a.heard[key] = h
	}

	r.Known = h.Mark
	a.mu.Unlock()

	out, err := wire.NewRankPeerProtobufClient("http://"+at, a.peers).Look(ctx, r)
	if err != nil {
		return nil, nil, eris.Wrap(err, "ask for counts")
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	if !h.Decode(out) {
		return nil, nil, errCounts
	}

	return out, slices.Clone(h.Counts), nil
}

// forgetCounts forgets what agents told of the group that was directed before.
func (a *RankAgent) forgetCounts() {
	a.mu.Lock()
	defer a.mu.Unlock()

	clear(a.heard)
}

// addCounts adds other agents' counts to l, and their paces. Where one does not answer, what
// it told last stands: a sum over fewer ranks would look as if counts had fallen.
func (a *RankAgent) addCounts(ctx context.Context, l *lockstep.PollResult, others []string) error {
	type answer struct {
		look   *wire.LookAnswer
		counts []uint64
	}

	answers := make([]answer, len(others))

	var g sync.WaitGroup

	for i, at := range others {
		g.Go(func() {
			out, counts, err := a.askCounts(ctx, at, &wire.LookRequest{Cluster: a.Cluster, Counts: true})
			if err != nil {
				a.logger.Debug("Counts not heard.", "agent", at, "error", err)

				counts = a.lastCounts(at)
			}

			answers[i] = answer{look: out, counts: counts}
		})
	}

	g.Wait()

	l.Slowdowns = make(map[int]float64, len(answers))

	for _, got := range answers {
		if len(got.counts) != len(l.Counts) {
			return errCounts
		}

		for i, n := range got.counts {
			l.Counts[i] += n
		}

		if got.look != nil {
			l.Slowdowns[int(got.look.GetReport().GetRank())] = got.look.GetReport().GetPace()
		}
	}

	return nil
}

// lastCounts returns what an agent told last of its own engine's counts.
func (a *RankAgent) lastCounts(at string) []uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()

	if h := a.heard[countsKey(at, nil)]; h != nil {
		return slices.Clone(h.Counts)
	}

	return nil
}
