package placement_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/placement"
	"github.com/parsleygate/parsleygate/internal/popularity"
)

// Parameters of the simulated group. Its sizes are those of the planned
// deployment of 150 groups, and its store rate is a share that each of these
// groups could get.
const (
	period              = time.Minute
	samplesPerPeriod    = 6 // skew samples per period
	periods             = 240
	countingRanks       = 6 // ranks that report token counts; all ranks report their speed
	stepMillis          = 40
	tokensPerStep       = 4096
	lostReportRate      = 0.05
	duplicateReportRate = 0.03
	lateReportRate      = 0.03
)

var shape = placement.Shape{Layers: 60, Ranks: 32, SlotsPerRank: 6, Experts: 128}

// scenario describes how popularity and speed change over time.
type scenario struct {
	name string
	// sigma is the standard deviation of the experts' log popularity; zipf, if
	// set, is the exponent of a Zipf distribution used instead.
	sigma, zipf float64
	// popularityDecay is the time constant with which popularity changes.
	popularityDecay time.Duration
	// shiftAt is the period of a sudden shift, 0 for none.
	shiftAt int
	// speed returns a rank's speed in a period.
	speed func(rank, period int) float64
}

func evenSpeed(int, int) float64 { return 1 }

func scenarios() []scenario {
	return []scenario{
		{name: "drift", sigma: 0.7, popularityDecay: 3 * time.Hour, speed: evenSpeed},
		{name: "zipf", zipf: 0.7, popularityDecay: 12 * time.Hour, speed: evenSpeed},
		{name: "shift", sigma: 0.7, popularityDecay: 12 * time.Hour, shiftAt: periods / 2, speed: evenSpeed},
		{name: "slow-rank", sigma: 0.7, popularityDecay: 3 * time.Hour, speed: slowRank},
		{name: "stalled-rank", sigma: 0.7, popularityDecay: 3 * time.Hour, speed: stalledRank},
	}
}

func slowRank(rank, period int) float64 {
	if rank == 7 && period >= periods/4 {
		return 0.6
	}

	return 1
}

func stalledRank(rank, period int) float64 {
	if rank == 11 && (period/20)%4 == 1 && period%20 < 3 {
		return 0.1
	}

	return 1
}

// groupModel models the actual popularity, the speeds and the counters of one
// group, and its lossy reports.
type groupModel struct {
	scenario scenario
	rng      *rand.Rand
	base     []float64 // log popularity to which z reverts
	z        []float64 // log popularity
	tokens   []float64
	speed    []float64
	counts   [][]uint64
	busy     []time.Duration
	work     []uint64
	seq      uint64
	tracker  *popularity.Tracker
	late     []popularity.Report
}

func newGroupModel(s scenario, seed uint64) *groupModel {
	n := shape.Layers * shape.Experts
	g := &groupModel{
		scenario: s, rng: rand.New(rand.NewPCG(seed, 5)),
		base: make([]float64, n), z: make([]float64, n), tokens: make([]float64, n),
		speed: make([]float64, shape.Ranks), counts: make([][]uint64, shape.Ranks),
		busy: make([]time.Duration, shape.Ranks), work: make([]uint64, shape.Ranks),
		tracker: newTracker(),
	}
	for r := range countingRanks {
		g.counts[r] = make([]uint64, n)
	}
	g.drawPopularity()

	return g
}

func newTracker() *popularity.Tracker {
	return &popularity.Tracker{
		Layers: shape.Layers, Experts: shape.Experts, Ranks: shape.Ranks,
		Gain: 0.4, SpeedGain: 0.3, MaxDecay: 6 * time.Hour,
	}
}

// drawPopularity draws a new popularity for every expert.
func (g *groupModel) drawPopularity() {
	for l := range shape.Layers {
		order := g.rng.Perm(shape.Experts)
		for e, place := range order {
			i := l*shape.Experts + e
			if g.scenario.zipf > 0 {
				g.base[i] = -g.scenario.zipf * math.Log(float64(place+1))
				g.z[i] = g.base[i]
			} else {
				g.z[i] = g.scenario.sigma * g.rng.NormFloat64()
			}
		}
	}
}

// advance advances popularity by one sample and counts its tokens.
func (g *groupModel) advance(k int) {
	if g.scenario.shiftAt > 0 && k == g.scenario.shiftAt*samplesPerPeriod {
		g.drawPopularity()
	}
	step := (period / samplesPerPeriod).Seconds() / g.scenario.popularityDecay.Seconds()
	sigma := max(g.scenario.sigma, 0.5)
	for i := range g.z {
		g.z[i] += (g.base[i]-g.z[i])*step + sigma*math.Sqrt(2*step)*g.rng.NormFloat64()
	}
	for i := range g.tokens {
		g.tokens[i] = math.Exp(g.z[i] + 0.1*g.rng.NormFloat64())
	}
	for r := range g.speed {
		g.speed[r] = g.scenario.speed(r, k/samplesPerPeriod)
	}
	g.countTokens()
}

func (g *groupModel) countTokens() {
	steps := (period / samplesPerPeriod).Milliseconds() / stepMillis
	for l := range shape.Layers {
		layer := g.tokens[l*shape.Experts : (l+1)*shape.Experts]
		sum := 0.0
		for _, t := range layer {
			sum += t
		}
		for e, t := range layer {
			for r := range countingRanks {
				g.counts[r][l*shape.Experts+e] += uint64(t / sum * float64(steps*tokensPerStep) / float64(shape.Ranks) * (0.95 + 0.1*g.rng.Float64()))
			}
		}
	}
	for r := range g.speed {
		work := float64(steps) * tokensPerStep / float64(shape.Ranks)
		g.work[r] += uint64(work)
		g.busy[r] += time.Duration(work / g.speed[r] / 1e4 * (0.97 + 0.06*g.rng.Float64()) * float64(time.Second))
	}
}

// report passes the counters to the tracker. Some reports are lost, duplicated
// or one period late.
func (g *groupModel) report(now time.Time) {
	g.seq++
	late := g.late
	g.late = nil
	for r := range shape.Ranks {
		rep := popularity.Report{Rank: r, Incarnation: 1, Sequence: g.seq, Busy: g.busy[r], Work: g.work[r], Tokens: g.counts[r]}
		switch x := g.rng.Float64(); {
		case x < lostReportRate:
		case x < lostReportRate+lateReportRate:
			rep.Tokens = slices.Clone(rep.Tokens)
			g.late = append(g.late, rep)
		case x < lostReportRate+lateReportRate+duplicateReportRate:
			g.observe(&rep)
			g.observe(&rep)
		default:
			g.observe(&rep)
		}
	}
	for i := range late {
		g.observe(&late[i])
	}
	g.tracker.CloseWindow(now)
}

func (g *groupModel) observe(r *popularity.Report) {
	if _, err := g.tracker.Observe(r); err != nil {
		panic(err)
	}
}

// policy returns a new map, or nil if the current one stays.
type policy struct {
	name   string
	decide func(now time.Time, g *placement.Group) *placement.Map
	// instant maps are used immediately, without waiting for the weight store.
	instant bool
}

// simulationResult is the result of one policy in one scenario.
type simulationResult struct {
	skews       []float64
	ideals      []float64
	bytes       int64
	rebalances  int
	slowedSteps float64
	decideTime  time.Duration
}

// stepTime returns the ratio of the mean step time to that without skew,
// transfers and switches: the effect of the policy on callers.
func (o *simulationResult) stepTime() float64 {
	p := newPlanner()
	expert := 0.0
	for _, t := range o.ideals {
		expert += t / float64(len(o.ideals))
	}
	total := periods * period.Seconds()
	slowed := o.slowedSteps * stepMillis / 1000 / total
	paused := float64(o.rebalances) * p.SwitchPause.Seconds() / total

	return (p.ExpertFraction*expert+1-p.ExpertFraction)*(1+slowed*p.Slowdown) + paused
}

func (o *simulationResult) quantile(q float64) float64 {
	s := slices.Sorted(slices.Values(o.skews))

	return s[min(len(s)-1, int(q*float64(len(s))))]
}

func newPlanner() *placement.Planner {
	return &placement.Planner{
		ExpertBytes: 20 << 20, StoreRate: 512 << 20, RankRate: 256 << 20,
		Slowdown: 0.05, StorePrice: 0.1, SwitchPause: 50 * time.Millisecond, ExpertFraction: 0.6,
	}
}

// simulate runs one policy in one scenario.
func simulate(s scenario, seed uint64, p policy) simulationResult {
	g := newGroupModel(s, seed)
	costs := newPlanner()
	now := time.Unix(0, 0)
	current, err := placement.NewMap(shape)
	if err != nil {
		panic(err)
	}
	next, transferLeft := (*placement.Map)(nil), time.Duration(0)
	var out simulationResult
	for k := range periods * samplesPerPeriod {
		g.advance(k)
		now = now.Add(period / samplesPerPeriod)
		if k >= samplesPerPeriod*warmupPeriods {
			t := placement.Evaluate(current, &placement.Load{Tokens: g.tokens, Speed: g.speed})
			out.skews = append(out.skews, t.Skew())
			out.ideals = append(out.ideals, t.Slowest/t.Ideal)
		}
		if transferLeft > 0 {
			out.slowedSteps += min(transferLeft, period/samplesPerPeriod).Seconds() * 1000 / stepMillis
		}
		if transferLeft -= period / samplesPerPeriod; transferLeft <= 0 && next != nil {
			current, next = next, nil
		}
		if (k+1)%samplesPerPeriod != 0 {
			continue
		}
		g.report(now)
		if next != nil || k+1 < samplesPerPeriod*2 {
			continue
		}
		began := time.Now()
		m := p.decide(now, &placement.Group{Map: current, Load: placement.Load{Tokens: g.tracker.TokenShares(), Speed: g.tracker.Speeds(), Volatility: g.tracker.Volatility()}, PopularityDecay: g.tracker.Decay()})
		out.decideTime += time.Since(began)
		if m == nil {
			continue
		}
		moves := placement.Moves(current, m)
		out.rebalances++
		out.bytes += int64(len(moves)) * costs.ExpertBytes
		if next = m; p.instant {
			current, next = m, nil

			continue
		}
		for _, t := range placement.Schedule(moves, costs.ExpertBytes, costs.Rates(), now) {
			transferLeft = max(transferLeft, t.End.Sub(now))
		}
	}

	return out
}

// warmupPeriods is the number of periods before skew is measured, so that every
// policy has had time for its first map.
const warmupPeriods = 12
