package testserver

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/parsleygate/parsleygate/internal/placement"
	"github.com/parsleygate/parsleygate/internal/rank"
)

// RankGroup simulates a group of ranks that advance in lock-step: a step begins on all
// ranks or on none, and takes as long as on the slowest rank. Each rank selects its
// map by the orders that it received. Steps in which two ranks use different map
// versions, or different contents of one version, are counted in MixedSteps.
type RankGroup struct {
	Shape placement.Shape
	// StepTime is the duration of a balanced step, and TokensPerStep the number of
	// tokens that a step routes.
	StepTime      time.Duration
	TokensPerStep int
	// Skew is the exponent of the Zipf-like popularity of the experts. Every
	// DriftInterval steps, two experts of each layer swap their popularity; 0 means
	// never.
	Skew          float64
	DriftInterval int
	// Speed is the relative speed of each rank.
	Speed []float64
	Seed  uint64

	mu         sync.Mutex
	ranks      []*rankEngine
	lastStep   uint64
	mixedSteps int
	stepSkews  []float64
	popularity [][]float64
	rnd        *rand.Rand
}

// rankEngine is the engine of one rank.
type rankEngine struct {
	bootID string
	maps   map[uint64]loadedMap
	// hasRunOrder is set once a Run order has arrived since the start of the engine.
	hasRunOrder bool
	held        bool
	heldFrom    uint64
	runOrder    rank.EngineOrder
	joined      uint64
	missingMap  uint64
	sequence    uint64
	busyTime    time.Duration
	work        uint64
	tokens      []uint64
}

// loadedMap is a map that a rank has loaded.
type loadedMap struct {
	content *placement.Map
	digest  uint64
}

// RankGroupState is the state of a group.
type RankGroupState struct {
	Steps uint64
	// MixedSteps counts steps in which two ranks used different maps.
	MixedSteps int
	// Skews contains, for each step, the time of the slowest rank divided by the mean.
	Skews []float64
	// MapVersions contains the map version of each rank for the next step.
	MapVersions []uint64
}

// Init initializes the group. It must be called once before any other method.
func (g *RankGroup) Init() {
	g.rnd = rand.New(rand.NewPCG(g.Seed, 7))
	g.ranks = make([]*rankEngine, g.Shape.Ranks)

	for i := range g.ranks {
		g.ranks[i] = g.newRank()
	}

	g.popularity = make([][]float64, g.Shape.Layers)
	for l := range g.popularity {
		g.popularity[l] = make([]float64, g.Shape.Experts)
		for e, position := range g.rnd.Perm(g.Shape.Experts) {
			g.popularity[l][e] = math.Pow(float64(position+1), -g.Skew)
		}
	}
}

func (g *RankGroup) newRank() *rankEngine {
	return &rankEngine{
		bootID: uuid.NewString(), maps: make(map[uint64]loadedMap),
		tokens: make([]uint64, g.Shape.Layers*g.Shape.Experts),
	}
}

// RestartRank restarts the engine of rank n, which loses its maps and orders.
func (g *RankGroup) RestartRank(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.ranks[n] = g.newRank()
}

// State returns the group's state.
func (g *RankGroup) State() RankGroupState {
	g.mu.Lock()
	defer g.mu.Unlock()

	s := RankGroupState{Steps: g.lastStep, MixedSteps: g.mixedSteps, Skews: slices.Clone(g.stepSkews)}
	for _, r := range g.ranks {
		s.MapVersions = append(s.MapVersions, r.version(g.lastStep+1))
	}

	return s
}

// Run computes steps until ctx is canceled.
func (g *RankGroup) Run(ctx context.Context) {
	for ctx.Err() == nil {
		t := time.NewTimer(g.advance())

		select {
		case <-ctx.Done():
		case <-t.C:
		}

		t.Stop()
	}
}

// version returns the version of the map that the rank's orders select for step s.
func (r *rankEngine) version(s uint64) uint64 {
	if s >= r.runOrder.RunStep {
		return r.runOrder.RunVersion
	}

	return r.runOrder.RunBefore
}

// sameMap reports whether both ranks use the same map, by version and content, in
// step s.
func (r *rankEngine) sameMap(other *rankEngine, s uint64) bool {
	v, w := r.version(s), other.version(s)

	return v == w && r.maps[v].digest == other.maps[w].digest
}

// readyFor reports whether the rank can begin step s. It sets missingMap if the map for
// that step is not loaded.
func (r *rankEngine) readyFor(s uint64) bool {
	if !r.hasRunOrder || (r.held && s >= r.heldFrom) {
		return false
	}

	v := r.version(s)
	r.missingMap = 0

	if r.maps[v].content == nil {
		r.missingMap = v
	}

	return r.missingMap == 0
}

// advance computes the next step if every rank is ready. It returns the time to wait
// until the next call.
func (g *RankGroup) advance() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()

	next := g.lastStep + 1

	all := true
	for _, r := range g.ranks {
		all = r.readyFor(next) && all
	}

	if !all {
		return g.StepTime
	}

	g.lastStep = next
	mixed := false

	for _, r := range g.ranks {
		r.joined = next
		mixed = mixed || !r.sameMap(g.ranks[0], next)
	}

	if mixed {
		g.mixedSteps++
	}

	return g.computeStep(next)
}

// computeStep evaluates the load of a step, updates the counters and returns the
// duration of the step.
func (g *RankGroup) computeStep(step uint64) time.Duration {
	g.driftPopularity(step)

	load := &placement.Load{Speed: g.Speed}
	for l := range g.popularity {
		load.Tokens = append(load.Tokens, g.popularity[l]...)
	}

	m := g.ranks[0].maps[g.ranks[0].version(step)].content
	t := placement.Evaluate(m, load)
	g.stepSkews = append(g.stepSkews, t.Skew())
	g.updateCounters(m)

	return time.Duration(float64(g.StepTime) * t.Slowest)
}

func (g *RankGroup) driftPopularity(step uint64) {
	if g.DriftInterval == 0 || step%uint64(g.DriftInterval) != 0 {
		return
	}

	for _, w := range g.popularity {
		a, b := g.rnd.IntN(len(w)), g.rnd.IntN(len(w))
		w[a], w[b] = w[b], w[a]
	}
}

// updateCounters adds a step to the counters of each rank: the tokens routed to each
// expert, and the work and busy time of the rank's own experts.
func (g *RankGroup) updateCounters(m *placement.Map) {
	tokens := float64(g.TokensPerStep)

	for n, r := range g.ranks {
		r.sequence++

		for l, w := range g.popularity {
			sum := sumWeights(w)
			for e, x := range w {
				r.tokens[l*g.Shape.Experts+e] += uint64(tokens * x / sum)
			}

			work := g.rankTokenShare(m, l, n, sum) * tokens
			r.work += uint64(work)
			r.busyTime += time.Duration(work / g.Speed[n] * float64(time.Microsecond))
		}
	}
}

// rankTokenShare returns the share of a layer's tokens that rank n computes.
func (g *RankGroup) rankTokenShare(m *placement.Map, l, n int, sum float64) float64 {
	share := 0.0

	for _, e := range m.Rank(l, n) {
		if e == placement.None {
			continue
		}

		copies := 0

		for r := range g.Shape.Ranks {
			if slices.Contains(m.Rank(l, r), e) {
				copies++
			}
		}

		share += g.popularity[l][e] / sum / float64(copies)
	}

	return share
}

func sumWeights(w []float64) float64 {
	sum := 0.0
	for _, x := range w {
		sum += x
	}

	return sum
}
