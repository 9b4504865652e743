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

// RankGroup is a stand-in group of ranks that advance in lock-step: a step begins
// on all ranks or on none, and takes as long as its slowest rank. Each rank
// picks its map by its own orders, and a step in which two ranks would use
// different maps, or different contents under one version, is counted in Mixed.
type RankGroup struct {
	Shape placement.Shape
	// StepTime is the time of a balanced step; Tokens is how many each step routes.
	StepTime      time.Duration
	TokensPerStep int
	// Skew is the exponent of the experts' popularity, Drift the share of its
	// order that changes each DriftEvery steps.
	Skew          float64
	DriftInterval int
	Speed         []float64
	Seed          uint64

	mu         sync.Mutex
	ranks      []*rankEngine
	lastStep   uint64
	mixedSteps int
	stepSkews  []float64
	popularity [][]float64
	rnd        *rand.Rand
}

// rankEngine is one rank's engine.
type rankEngine struct {
	bootID string
	maps   map[uint64]loadedMap
	// hasRunOrder says that a Run order has come since the boot.
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

// RankGroupState is what a group tells of itself.
type RankGroupState struct {
	Steps uint64
	// MixedSteps counts steps in which two ranks would have used different maps.
	MixedSteps int
	// Skews holds each step's slowest rank's time over the mean.
	Skews       []float64
	MapVersions []uint64
}

// Init prepares the group. It is called once, before Run.
func (g *RankGroup) Init() {
	g.rnd = rand.New(rand.NewPCG(g.Seed, 7))
	g.ranks = make([]*rankEngine, g.Shape.Ranks)

	for i := range g.ranks {
		g.ranks[i] = g.newRank()
	}

	g.popularity = make([][]float64, g.Shape.Layers)
	for l := range g.popularity {
		g.popularity[l] = make([]float64, g.Shape.Experts)
		for e, place := range g.rnd.Perm(g.Shape.Experts) {
			g.popularity[l][e] = math.Pow(float64(place+1), -g.Skew)
		}
	}
}

func (g *RankGroup) newRank() *rankEngine {
	return &rankEngine{
		bootID: uuid.NewString(), maps: make(map[uint64]loadedMap),
		tokens: make([]uint64, g.Shape.Layers*g.Shape.Experts),
	}
}

// RestartRank restarts the engine of one rank: it loses its maps and its orders.
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

// Run steps until ctx ends.
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

// version returns the map that the rank uses in step s, by its own orders.
func (r *rankEngine) version(s uint64) uint64 {
	if s >= r.runOrder.RunStep {
		return r.runOrder.RunVersion
	}

	return r.runOrder.RunBefore
}

// sameMap reports whether two ranks compute step s with the same map.
func (r *rankEngine) sameMap(other *rankEngine, s uint64) bool {
	v, w := r.version(s), other.version(s)

	return v == w && r.maps[v].digest == other.maps[w].digest
}

// readyFor reports whether the rank may begin step s, and notes a map that it lacks.
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

// advance begins the next step if every rank is ready, and returns how long it takes.
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

// computeStep works out a step's times and counts its tokens.
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

// updateCounters adds the step's tokens to what every rank has routed, and the time and
// work of its own experts.
func (g *RankGroup) updateCounters(m *placement.Map) {
	tokens := float64(g.TokensPerStep)

	for n, r := range g.ranks {
		r.sequence++

		for l, w := range g.popularity {
			sum := sum(w)
			for e, x := range w {
				r.tokens[l*g.Shape.Experts+e] += uint64(tokens * x / sum)
			}

			work := g.rankTokenShare(m, l, n, sum) * tokens
			r.work += uint64(work)
			r.busyTime += time.Duration(work / g.Speed[n] * float64(time.Microsecond))
		}
	}
}

// rankTokenShare is the share of a layer's tokens that rank n computes.
func (g *RankGroup) rankTokenShare(m *placement.Map, l, n int, sum float64) float64 {
	work := 0.0

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

		work += g.popularity[l][e] / sum / float64(copies)
	}

	return work
}

func sum(w []float64) float64 {
	sum := 0.0
	for _, x := range w {
		sum += x
	}

	return sum
}
