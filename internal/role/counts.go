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

// errCountsUnknown means that an answer does not contain the counts of all requested
// ranks.
var errCountsUnknown = errors.New("role: counts of a rank are not known yet")

// countsKey returns the cache key of the counts of the engine beside an agent plus
// those of others.
func countsKey(addr string, others []string) string { return addr + "+" + strings.Join(others, ",") }

// fetchCounts fetches the counts of another agent's engine, to which that agent adds
// those of r.Others. Only differences from the counts fetched before are sent.
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
		return nil, nil, eris.Wrap(err, "fetch counts")
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	if !decoder.Decode(out) {
		return nil, nil, errCountsUnknown
	}

	return out, slices.Clone(decoder.Counts), nil
}

// resetCounts drops the counts received for the previously directed group.
func (a *RankAgent) resetCounts() {
	a.mu.Lock()
	defer a.mu.Unlock()

	clear(a.countDecoders)
}

// addCounts adds the counts of other agents to l, and their slowdowns. For an agent
// that does not answer it adds the counts received last, because a sum over fewer ranks
// would look as if the counts had fallen.
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
				a.logger.Debug("An agent did not return its counts; using the last ones received.", "agent", addr, "error", err)

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

// cachedCounts returns the last counts received of the engine beside an agent, without
// those of other ranks.
func (a *RankAgent) cachedCounts(addr string) []uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()

	if decoder := a.countDecoders[countsKey(addr, nil)]; decoder != nil {
		return slices.Clone(decoder.Counts)
	}

	return nil
}
