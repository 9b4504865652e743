// Package popularity estimates, for one expert-parallel group, how many tokens
// each expert will get and how fast each rank works. It works from reports that
// may be delayed, lost, reordered or duplicated.
//
// Reports carry counters that only grow while a rank's engine runs. A lost
// report is therefore covered by the next one, a duplicate adds nothing, and a
// late one is superseded. The package does no I/O and reads no clock.
package popularity

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Report is what one rank's agent reads from its engine.
type Report struct {
	Rank int
	// Incarnation identifies a start of the rank's engine; it must be higher at
	// each start.
	Incarnation uint64
	// Sequence grows with each report of an incarnation.
	Sequence uint64
	// Busy is the time spent in expert layers since the engine's start, and Work
	// the number of tokens computed there.
	Busy time.Duration
	Work uint64
	// Tokens is the number of tokens that this rank has routed to each expert
	// since the engine's start, ordered by layer. Observe does not retain the
	// slice. Each rank's routing is a sample of the group's, so it is enough if a
	// few ranks count tokens; the others leave Tokens empty and report only their
	// speed.
	Tokens []uint64
}

// Tracker holds the estimates of one group. Set the exported fields before the
// first Observe. A Tracker is not safe for concurrent use.
type Tracker struct {
	Layers, Experts, Ranks int
	// Gain is the weight of a new window's shares in the estimate, in (0, 1],
	// while popularity changes at its typical rate. The weight grows, up to 1, if a
	// window differs far more than typical.
	Gain float64
	// SpeedGain is the weight of a newly measured rank speed in the estimate.
	SpeedGain float64
	// MaxDecay is the upper bound of Decay, reached if popularity does not
	// change.
	MaxDecay time.Duration

	ranks        []rankState
	windowTokens []float64
	shares       []float64
	layers       []layerState
	decay        decayEstimate
	windowEnd    time.Time
}

// rankState is the state of one rank as of its last report.
type rankState struct {
	Incarnation, Sequence uint64
	Seen                  bool
	Busy                  time.Duration
	Work                  uint64
	Tokens                []uint64
	// Speed is the estimated speed in tokens per second of busy time; zero before
	// the first measurement.
	Speed float64
}

// layerState describes how much the popularity of one layer changes.
type layerState struct {
	Seen bool
	// Squares is the sum of the squares of the estimated shares.
	Squares float64
	// BaselineDistance is the typical squared distance between a window and the
	// estimate.
	BaselineDistance float64
}

// ReportError reports that a Report does not match the dimensions of the group.
type ReportError struct {
	What      string
	Got, Want int
}

// Error implements error.
func (e *ReportError) Error() string {
	return fmt.Sprintf("invalid report: %s is %d, group has %d", e.What, e.Got, e.Want)
}

// MinSpeed is the lower bound of a measured speed relative to the median rank,
// so that a rank with one stalled window does not count as one that never works.
const MinSpeed = 0.05

// Observe processes a report and returns whether it was accepted. A report that
// is not newer than the last one of its rank is dropped, because the newer one
// includes its tokens. The error is a *ReportError.
func (t *Tracker) Observe(r *Report) (bool, error) {
	t.init()
	if r.Rank < 0 || r.Rank >= t.Ranks {
		return false, &ReportError{What: "Rank", Got: r.Rank, Want: t.Ranks}
	}
	if len(r.Tokens) != 0 && len(r.Tokens) != len(t.windowTokens) {
		return false, &ReportError{What: "Tokens", Got: len(r.Tokens), Want: len(t.windowTokens)}
	}

	s := &t.ranks[r.Rank]
	switch {
	case !s.Seen || r.Incarnation > s.Incarnation:
		// It is unknown since when the counters of a first report have counted, so
		// the report only sets the base.
		s.Tokens = s.Tokens[:0]
		s.setBase(r)

		return true, nil
	case r.Incarnation < s.Incarnation || r.Sequence <= s.Sequence:
		return false, nil
	}
	t.addDeltas(s, r)

	return true, nil
}

func (s *rankState) setBase(r *Report) {
	s.Seen, s.Incarnation, s.Sequence = true, r.Incarnation, r.Sequence
	s.Busy, s.Work = r.Busy, r.Work
	if len(r.Tokens) != 0 {
		s.Tokens = append(s.Tokens[:0], r.Tokens...)
	}
}

// addDeltas counts what was added since the rank's last report.
func (t *Tracker) addDeltas(s *rankState, r *Report) {
	for i := range min(len(r.Tokens), len(s.Tokens)) {
		n := r.Tokens[i]
		// A counter that decreases is a fault of the engine and must not add a
		// wrapped difference.
		if n > s.Tokens[i] {
			t.windowTokens[i] += float64(n - s.Tokens[i])
		}
	}
	if r.Busy > s.Busy && r.Work > s.Work {
		speed := float64(r.Work-s.Work) / (r.Busy - s.Busy).Seconds()
		if s.Speed == 0 {
			s.Speed = speed
		}
		// Averages time per token rather than tokens per second, so that a stall
		// shows immediately.
		s.Speed = 1 / ((1-t.SpeedGain)/s.Speed + t.SpeedGain/speed)
	}
	s.setBase(r)
}

func (t *Tracker) init() {
	if t.windowTokens != nil {
		return
	}
	t.windowTokens = make([]float64, t.Layers*t.Experts)
	t.shares = make([]float64, t.Layers*t.Experts)
	t.layers = make([]layerState, t.Layers)
	t.ranks = make([]rankState, t.Ranks)
}

// CloseWindow ends the window at now and merges it into the estimate. A layer
// for which no tokens were reported in the window keeps its estimate.
func (t *Tracker) CloseWindow(now time.Time) {
	t.init()
	interval := now.Sub(t.windowEnd)
	var c correlation
	for l := range t.layers {
		t.foldLayer(l, &c)
	}
	if !t.windowEnd.IsZero() {
		t.decay.observe(c, correlationLag(interval, t.Gain), t.MaxDecay)
	}
	t.windowEnd = now
	clear(t.windowTokens)
}

// foldLayer merges one layer's window into its estimate.
func (t *Tracker) foldLayer(l int, c *correlation) {
	window := t.windowTokens[l*t.Experts : (l+1)*t.Experts]
	shares := t.shares[l*t.Experts : (l+1)*t.Experts]
	sum := 0.0
	for _, n := range window {
		sum += n
	}
	if sum <= 0 {
		return
	}

	s := &t.layers[l]
	if !s.Seen {
		s.Seen = true
		for i, n := range window {
			shares[i] = n / sum
		}

		return
	}
	distance, squares := 0.0, 0.0
	for i, n := range window {
		x := n / sum
		c.add(shares[i]*float64(t.Experts)-1, x*float64(t.Experts)-1)
		distance += (x - shares[i]) * (x - shares[i])
		squares += shares[i] * shares[i]
	}
	s.Squares = squares
	gain := s.gain(distance, t.Gain)
	for i, n := range window {
		shares[i] += gain * (n/sum - shares[i])
	}
}

// Parameters of the response to unusual changes.
const (
	// baselineGain is the weight of a new distance in the baseline distance.
	baselineGain = 0.2
	// maxBaselineRatio is the largest ratio to the baseline distance with which
	// one window may raise it.
	maxBaselineRatio = 4
)

// gain returns the weight of a window at this squared distance. After a sudden
// shift the old estimate is useless, and averaging with it would place experts
// by a popularity that no longer exists, so the weight grows with the distance,
// up to 1.
func (s *layerState) gain(distance, base float64) float64 {
	if s.BaselineDistance <= 0 {
		s.BaselineDistance = distance

		return base
	}
	ratio := distance / s.BaselineDistance
	s.BaselineDistance += baselineGain * (math.Min(distance, maxBaselineRatio*s.BaselineDistance) - s.BaselineDistance)

	return math.Min(1, base*math.Max(1, ratio))
}

// TokenShares returns the expected share of tokens of each expert, ordered by
// layer. The shares of each layer that has had tokens sum to 1. The slice is
// valid until the next CloseWindow.
func (t *Tracker) TokenShares() []float64 {
	t.init()

	return t.shares
}

// Volatility returns the standard deviation of an expert's tokens in a window
// from their expected number, as a fraction of that number, or 0 until two
// windows have been seen.
func (t *Tracker) Volatility() float64 {
	distances, squares := 0.0, 0.0
	for i := range t.layers {
		distances += t.layers[i].BaselineDistance
		squares += t.layers[i].Squares
	}
	if squares <= 0 {
		return 0
	}

	return math.Sqrt(distances / squares)
}

// Decay returns the time constant with which differences in popularity are
// expected to decay: after this time, 1/e of a difference remains.
func (t *Tracker) Decay() time.Duration { return t.decay.value(t.MaxDecay) }

// Speeds returns each rank's speed relative to the median of those measured. A
// rank without a measurement has speed 1. No speed is below MinSpeed, because
// only the group's membership determines whether a rank is unavailable.
func (t *Tracker) Speeds() []float64 {
	t.init()
	var measured []float64
	for i := range t.ranks {
		if v := t.ranks[i].Speed; v > 0 {
			measured = append(measured, v)
		}
	}
	slices.Sort(measured)
	speeds := make([]float64, t.Ranks)
	for i := range speeds {
		speeds[i] = 1
		if v := t.ranks[i].Speed; v > 0 {
			speeds[i] = math.Max(MinSpeed, v/measured[len(measured)/2])
		}
	}

	return speeds
}
