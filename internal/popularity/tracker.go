// Package popularity estimates, for one expert-parallel group, how many tokens
// each expert will get and how fast each rank works, from reports that are
// lagged, lost, late or doubled.
//
// Reports carry counters that only grow while a rank's engine lives. So a lost
// report is made good by the next, a doubled one adds nothing, and a late one
// is superseded. The package is a core without I/O and reads no clock.
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
	// Incarnation is fresh at each start of the rank's engine.
	Incarnation uint64
	// Seq grows with each report of an incarnation.
	Seq uint64
	// Busy is the time spent in expert layers since the engine's start, and
	// Work the tokens computed there.
	Busy time.Duration
	Work uint64
	// Tokens counts tokens since the engine's start, layer by layer, expert by
	// expert, as this rank has routed them. It is read, not kept. Each rank's
	// routing is a sample of the group's, so a few ranks may count for all; the
	// others leave Tokens empty and report their speed alone.
	Tokens []uint64
}

// Tracker holds the estimates of one group. Set the exported fields before the
// first Observe. One goroutine uses it.
type Tracker struct {
	Layers, Experts, Ranks int
	// Gain is the weight of a new window's shares against the estimate, in
	// (0, 1], while popularity moves as usual. It grows up to 1 with a window
	// that differs far more than usual.
	Gain float64
	// SpeedGain is the weight of a newly measured rank speed.
	SpeedGain float64
	// MaxDecay bounds Life where popularity does not move at all.
	MaxDecay time.Duration

	ranks        []rankState
	windowTokens []float64
	shares       []float64
	layers       []layerState
	decay        decayEstimate
	windowEnd    time.Time
}

// rankState is what is known of one rank.
type rankState struct {
	Incarnation, Seq uint64
	Seen             bool
	Busy             time.Duration
	Work             uint64
	Tokens           []uint64
	// Speed is the estimate in tokens a second of busy time; zero before the first measurement.
	Speed float64
}

// layerState is what is known of one layer's movement.
type layerState struct {
	Seen bool
	// Squares sums the squares of the estimated shares.
	Squares float64
	// BaselineDistance is the usual squared distance between a window and the estimate.
	BaselineDistance float64
}

// ReportError says that a report does not fit the group.
type ReportError struct {
	What      string
	Got, Want int
}

// Error implements error.
func (e *ReportError) Error() string {
	return fmt.Sprintf("report with %s %d, want %d", e.What, e.Got, e.Want)
}

// MinSpeed bounds a measured speed from below, relative to the median rank, so
// that one stalled window does not count as a rank that never works.
const MinSpeed = 0.05

// Observe takes in a report and returns whether it was news. A report that is
// not newer than one already seen is dropped: its successor has counted its
// tokens. The error is a *ReportError.
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
		// Nothing tells when the counters of a first report began, so it only sets the base.
		s.Tokens = s.Tokens[:0]
		s.setBase(r)

		return true, nil
	case r.Incarnation < s.Incarnation || r.Seq <= s.Seq:
		return false, nil
	}
	t.addDeltas(s, r)

	return true, nil
}

func (s *rankState) setBase(r *Report) {
	s.Seen, s.Incarnation, s.Seq = true, r.Incarnation, r.Seq
	s.Busy, s.Work = r.Busy, r.Work
	if len(r.Tokens) != 0 {
		s.Tokens = append(s.Tokens[:0], r.Tokens...)
	}
}

// addDeltas counts what came since the rank's last report.
func (t *Tracker) addDeltas(s *rankState, r *Report) {
	for i := range min(len(r.Tokens), len(s.Tokens)) {
		n := r.Tokens[i]
		// An engine that counts down is at fault; it must not add a wrapped number.
		if n > s.Tokens[i] {
			t.windowTokens[i] += float64(n - s.Tokens[i])
		}
	}
	if r.Busy > s.Busy && r.Work > s.Work {
		speed := float64(r.Work-s.Work) / (r.Busy - s.Busy).Seconds()
		if s.Speed == 0 {
			s.Speed = speed
		}
		// Averaged as time for each token, in which a stall shows at once.
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

// CloseWindow ends the window at now and folds it into the estimate. A layer without
// tokens in the window, for want of reports, keeps its estimate.
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

// foldLayer takes one layer's window into its estimate.
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

// Shape of the reaction to unusual movement.
const (
	// baselineGain is the weight of a new distance in the usual one.
	baselineGain = 0.2
	// maxBaselineRatio bounds how far one window may raise the usual distance.
	maxBaselineRatio = 4
)

// gain returns the weight of a window at this squared distance. After a sudden
// shift the old estimate is worthless and averaging with it would place
// experts by a popularity that no longer exists; so the weight grows with the
// distance, up to 1.
func (s *layerState) gain(distance, base float64) float64 {
	if s.BaselineDistance <= 0 {
		s.BaselineDistance = distance

		return base
	}
	ratio := distance / s.BaselineDistance
	s.BaselineDistance += baselineGain * (math.Min(distance, maxBaselineRatio*s.BaselineDistance) - s.BaselineDistance)

	return math.Min(1, base*math.Max(1, ratio))
}

// TokenShares returns the expected share of tokens, layer by layer, expert by
// expert; each known layer sums to 1. The slice is valid until the next Close.
func (t *Tracker) TokenShares() []float64 {
	t.init()

	return t.shares
}

// Volatility returns the standard deviation of an expert's tokens in a window
// from those expected, as a part of them; 0 before two windows were seen.
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

// Decay returns how long a difference in popularity is expected to last: after
// Life, 1/e of it is left.
func (t *Tracker) Decay() time.Duration { return t.decay.value(t.MaxDecay) }

// Speeds returns each rank's speed relative to the median of those measured.
// A rank that was never measured counts as 1; none is below MinSpeed, since
// only the group's membership says that a rank is out.
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
