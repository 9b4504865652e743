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

// errCountsUnknown says that what an agent told does not give the counts of all ranks asked about.
var errCountsUnknown = errors.New("role: counts of a rank are not known yet")

// countsKey names the counts of the engine beside an agent with those of others added.
func countsKey(addr string, others []string) string { return addr + "+" + strings.Join(others, ",") }

// fetchCounts asks another agent for its engine's counts, to which those of others are added
// there. What the two hold in common is not sent again.
func (a *RankAgent) fetchCounts(ctx context.Context, addr string, r *wire.LookRequest) (*wire.LookAnswer, []uint64, error) {
	key := countsKey(addr, r.GetOthers())

	a.mu.Lock()
	decoder := a.countDecoders[key]

	if decoder == nil {
		decoder = &lockstep.CountDecoder{}
		a.countDecoders[key] = decoder
	}

	r.Known = decoder.Mark
	a.mu.Unlock()

	out, err := wire.NewRankPeerProtobufClient("http://"+addr, a.peerHTTP).Look(ctx, r)
	if err != nil {
		return nil, nil, eris.Wrap(err, "ask for counts")
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	if !decoder.Decode(out) {
		return nil, nil, errCountsUnknown
	}

	return out, slices.Clone(decoder.Counts), nil
}

// resetCounts forgets what agents told of the group that was directed before.
func (a *RankAgent) resetCounts() {
	a.mu.Lock()
	defer a.mu.Unlock()

	clear(a.countDecoders)
}

// addCounts adds other agents' counts to l, and their paces. Where one does not answer, what
// it told last stands: a sum over fewer ranks would look as if counts had fallen.
func (a *RankAgent) addCounts(ctx context.Context, l *lockstep.PollResult, others []string) error {
	type answer struct {
		poll   *wire.LookAnswer
		counts []uint64
	}

	answers := make([]answer, len(others))

	var g sync.WaitGroup

	for i, addr := range others {
		g.Go(func() {
			out, counts, err := a.fetchCounts(ctx, addr, &wire.LookRequest{Cluster: a.Cluster, Counts: true})
			if err != nil {
				a.logger.Debug("Counts not heard.", "agent", addr, "error", err)

				counts = a.cachedCounts(addr)
			}

			answers[i] = answer{poll: out, counts: counts}
		})
	}

	g.Wait()

	l.Slowdowns = make(map[int]float64, len(answers))

	for _, got := range answers {
		if len(got.counts) != len(l.Counts) {
			return errCountsUnknown
		}

		for i, n := range got.counts {
			l.Counts[i] += n
		}

		if got.poll != nil {
			l.Slowdowns[int(got.poll.GetReport().GetRank())] = got.poll.GetReport().GetPace()
		}
	}

	return nil
}

// cachedCounts returns what an agent told last of its own engine's counts.
func (a *RankAgent) cachedCounts(addr string) []uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()

	if decoder := a.countDecoders[countsKey(addr, nil)]; decoder != nil {
		return slices.Clone(decoder.Counts)
	}

	return nil
}
