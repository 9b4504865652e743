// Package forecast decides how many sequences the ranks of a lock-step group may run. It forecasts
// the duration of the group's passes from the published figures of its engines, and corrects the
// forecast by the passes and the expert skew that are observed. It starts no goroutines and reads
// no clock: each method takes the current time.
//
// A pass is a run of steps after which every stream of the group has an event. The pattern of load
// that the decisions address: every few seconds the demand for experts shifts, passes take nearly
// twice as long until another expert map is in use, and every stream of the group is late at once.
// A limit that follows the observed passes falls only afterwards. This one keeps places free for
// the next shift, as long as that costs fewer streams than the shift would make late.
package forecast

import (
	"slices"
	"time"
)

const (
	// targetGap is the part of the accepted event gap up to which a pass is planned. Callers see gaps
	// a few milliseconds longer than entries do, and load reports are up to 100 ms old.
	targetGap = 0.92
	// minLimit is the smallest limit while no rank is slow, minSlowLimit otherwise.
	minLimit     = 2
	minSlowLimit = 1
	// minSlowdown is the slowdown from which a rank counts as slow. Copying experts makes the
	// steps of a healthy rank 15% longer.
	minSlowdown = 1.25
	// minObservedPasses is the number of passes to observe before a forecast is used.
	minObservedPasses = 3
	// factorTTL is how long the work factor of the last pass is valid, skewTTL how long a reported
	// skew is. Agents report at least twice a second.
	factorTTL = 2 * time.Second
	skewTTL   = 2 * time.Second
)

// Aim is what the limit of a group is chosen for.
type Aim uint8

const (
	// InTime means that as many streams as possible are to be in time.
	InTime Aim = iota
	// MostLate means that no stream can be in time, and as many as possible are to be answered
	// before their callers leave.
	MostLate
)

// String implements fmt.Stringer.
func (a Aim) String() string {
	if a == MostLate {
		return "MostLate"
	}

	return "InTime"
}

// MarshalText implements encoding.TextMarshaler.
func (a Aim) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// Decision is how many sequences a group may run now.
type Decision struct {
	// Valid is set if the other fields are. They are not if the published figures are absent or
	// wrong, or too little has been observed.
	Valid bool
	Aim   Aim
	// Limit is the number of sequences per rank.
	Limit float64
	// Starts is the number of sequences per rank that may start in the present pass.
	Starts float64
	// Pass is the forecast of the present pass.
	Pass time.Duration
	// Factor is the work factor, by which uneven demand for experts multiplies the work for
	// sequences. Peak is its largest value in the remembered shifts of demand, 0 if there are none.
	Factor, Peak float64
}

// Group forecasts the passes of one group. The zero value is a group of which nothing is known.
type Group struct {
	parameters Parameters
	model      model
	// figuresProblem says what is wrong with the figures; empty if nothing is.
	figuresProblem string
	plausibility   plausibility

	slowdown float64
	passes   passDetector
	factor   workFactor
	shifts   shifts
	aim      aimSwitch
}

// Configure sets the parameters. What has been learned is kept unless the figures change.
func (g *Group) Configure(p Parameters) {
	if p == g.parameters {
		return
	}

	m, problem := newModel(p)
	if m != g.model {
		*g = Group{slowdown: g.slowdown}
	}

	g.parameters, g.model, g.figuresProblem = p, m, problem
}

// Adopt copies what another group of the same service has learned about its engines. Shifts of
// demand are its own.
func (g *Group) Adopt(other *Group) {
	g.parameters, g.model, g.figuresProblem = other.parameters, other.model, other.figuresProblem
	f := &other.factor
	g.factor = workFactor{mean: f.mean, samples: f.samples, ratio: f.ratio, compared: f.compared}
}

// SetSlowdown sets the ratio of the step time of the slowest rank to its baseline, 0 if it is not
// known.
func (g *Group) SetSlowdown(slowdown float64) { g.slowdown = slowdown }

func (g *Group) isSlow() bool { return g.slowdown >= minSlowdown }

func (g *Group) effectiveSlowdown() float64 {
	if g.isSlow() {
		return g.slowdown
	}

	return 1
}

// Problem says why there is no forecast although engines are in use; empty if nothing is wrong.
func (g *Group) Problem() string {
	if g.figuresProblem != "" {
		return g.figuresProblem
	}

	if g.factor.contradicted {
		return contradicted
	}

	return g.plausibility.problem()
}

// DetectPass records the time between two events of a stream. It returns the duration of a pass
// that has been recognised by it.
func (g *Group) DetectPass(now time.Time, gap time.Duration) (pass time.Duration, ok bool) {
	if g.figuresProblem != "" {
		return 0, false
	}

	if g.shifts.observedSince.IsZero() {
		g.shifts.observedSince = now
	}

	return g.passes.observe(now, gap, g.parameters.EventGap)
}

// minSequences is the number of sequences per rank from which a pass tells the work factor. With
// fewer, the few prompts that are read in a pass outweigh the rest of its work.
const minSequences = 1

// minCompared is the number of sequences per rank from which the observed factor is compared with
// the computed one. A group that fills up reads more prompts than in the steady state.
const minCompared = 3

// ObservePass records a pass that has ended, of a group with that many sequences per rank.
func (g *Group) ObservePass(now time.Time, pass time.Duration, sequences float64) {
	g.countAim(now)

	began := now.Add(-pass)
	if sequences < minSequences || began.Before(g.factor.skewChangedAt) {
		return // The skew that has been reported since says more.
	}

	fixed := g.model.fixed * g.effectiveSlowdown()
	if g.isSlow() && pass.Seconds() < fixed {
		return // The rank is no longer as slow as it reported last.
	}

	work := sequences * g.model.workPerSequence()
	observed := (pass.Seconds() - fixed) / work

	if !g.plausibility.observe(observed) {
		return
	}

	factor := observed
	if g.shifts.copyingSince(began) {
		factor = (pass.Seconds()/copyFactor - fixed) / work
	}

	// A rank that is slow by about as much as it reports leaves an error in the factor that looks
	// like a shift.
	if !g.isSlow() {
		g.factor.learn(factor, g.model.computedFactor(g.factor.skewAt(now)), g.factor.hasSkew(now) && !g.shifts.active && sequences >= minCompared)

		if excess := (observed - g.factor.mean) * work; excess >= minShiftExcess*g.parameters.EventGap.Seconds() || g.shifts.active {
			g.shifts.observe(now, g.unreported(now, factor), observed >= minShiftRatio*g.factor.mean, false)
		}
	}

	g.factor.set(now, factor)
}

// unreported returns an observed factor as evidence of the peak of a shift, or 0 while a skew is
// reported, which is exact. Passes of a group that fills up look like a shift that is too high.
func (g *Group) unreported(now time.Time, factor float64) float64 {
	if g.factor.hasSkew(now) {
		return 0
	}

	return factor
}

// ObserveSkew records the skew of the expert map in use for the demand now: the ratio of the work
// for experts on the most loaded rank to the mean over all ranks.
func (g *Group) ObserveSkew(now time.Time, skew float64) {
	if g.figuresProblem != "" || !isFinite(skew) || skew < 1 {
		return
	}

	changed := g.factor.observeSkew(now, skew)
	if !changed && now.Sub(g.factor.at) <= factorTTL {
		return // Passes observed since then say more.
	}

	factor := g.model.computedFactor(skew)
	g.factor.set(now, factor)

	if g.factor.samples > 0 && !g.isSlow() {
		g.shifts.observe(now, factor, factor >= minShiftRatio*g.factor.mean, true)
	}
}

// Decide returns how many sequences the group may run at now, while it has that many per rank.
func (g *Group) Decide(now time.Time, sequences float64) Decision {
	if g.Problem() != "" || g.factor.samples < minObservedPasses {
		return Decision{}
	}

	if now.Sub(g.aim.countedAt) >= aimInterval {
		g.countAim(now)
	}

	d := Decision{Valid: true, Aim: g.aim.aim, Factor: g.presentFactor(now)}
	d.Peak = g.shifts.peak(now)
	slowdown, copying := g.effectiveSlowdown(), g.shifts.copying()
	d.Pass = seconds(g.model.passTime(slowdown, d.Factor, sequences, copying))

	if d.Aim == MostLate {
		longest := g.longestLatePass()
		d.Limit = g.bounded(g.model.maxSequences(slowdown, d.Factor, copying, longest))
		d.Starts = g.startsWithin(slowdown, d.Factor, copying, longest, sequences, d.Limit)

		return d
	}

	longest := targetGap * g.parameters.EventGap.Seconds()
	d.Limit = g.bounded(g.model.maxSequences(slowdown, d.Factor, copying, longest))
	d.Starts = g.startsWithin(slowdown, d.Factor, copying, longest, sequences, d.Limit)

	if d.Peak > 0 {
		reserved := g.bounded(g.model.maxSequences(slowdown, d.Peak, copyFactor, longest))
		if reserved < d.Limit && g.isReserveWorthwhile(now, reserved, g.bounded(g.model.maxSequences(slowdown, g.factor.mean, 1, longest))) {
			d.Limit = reserved
			// Copies begin after the first pass of a shift. From then on the present factor counts.
			d.Starts = min(d.Starts, g.startsWithin(slowdown, d.Peak, 1, longest, sequences, reserved))
		}
	}

	return d
}

// startsWithin returns how many sequences per rank may start in a pass of the given duration. It is
// at least what the steady state at limit needs.
func (g *Group) startsWithin(slowdown, factor, copying, duration, sequences, limit float64) float64 {
	return max(limit/g.model.passes, g.model.maxStarts(slowdown, factor, copying, duration, sequences))
}

// isReserveWorthwhile reports whether more streams are in time with reserved sequences per rank,
// which no shift makes late, than with full ones, of which each shift makes those late that run.
func (g *Group) isReserveWorthwhile(now time.Time, reserved, full float64) bool {
	slowdown := g.effectiveSlowdown()
	duration := func(n float64) float64 {
		return g.model.passes * g.model.passTime(slowdown, g.factor.mean, n, 1)
	}
	lateShare := min(1, duration(full)/g.shifts.meanInterval(now).Seconds())

	return reserved/duration(reserved) >= full/duration(full)*(1-lateShare)
}

// presentFactor returns the work factor now. During a shift it is at least the peak of the shift so
// far. Without an event or a report for a while, it is the usual one.
func (g *Group) presentFactor(now time.Time) float64 {
	if now.Sub(g.factor.at) > factorTTL {
		g.shifts.end()

		return g.factor.mean
	}

	if s := g.shifts.present(); s != nil {
		return max(g.factor.value, s.peak())
	}

	return g.factor.value
}

func (g *Group) bounded(limit float64) float64 {
	smallest := float64(minLimit)
	if g.isSlow() {
		smallest = minSlowLimit
	}

	return min(max(limit, smallest), float64(g.parameters.Slots))
}

const (
	// maxLateTime is the part of the timeout that a stream may take if none can be in time. The
	// rest is for the time before it starts.
	maxLateTime = 0.75
	// maxLatePass is the longest pass then, as a part of the time after which callers leave a
	// stream without an event.
	maxLatePass = 0.5
)

// longestLatePass returns the longest pass if no stream can be in time. The longer passes are, the
// more streams are answered per second, because more of them share the fixed part.
func (g *Group) longestLatePass() float64 {
	longest := maxLateTime * g.parameters.Timeout.Seconds() / g.model.passes
	if g.parameters.EventTimeout > 0 {
		longest = min(longest, maxLatePass*g.parameters.EventTimeout.Seconds())
	}

	return longest
}

const (
	// lateForecasts is the number of consecutive forecasts above the accepted gap after which the
	// aim is to answer as many late streams as possible. inTimeForecasts is the number below
	// inTimeGap of it after which streams are to be in time again.
	lateForecasts   = 2
	inTimeForecasts = 4
	inTimeGap       = 0.9
	// aimInterval is the interval of forecasts for the aim while no pass is observed.
	aimInterval = 250 * time.Millisecond
)

// aimSwitch changes the aim after several forecasts that agree.
type aimSwitch struct {
	aim       Aim
	agreeing  int
	countedAt time.Time
}

// countAim counts the forecast of a pass with one sequence per rank for the aim.
func (g *Group) countAim(now time.Time) {
	a := &g.aim
	a.countedAt = now

	pass := g.model.passTime(g.effectiveSlowdown(), g.presentFactor(now), 1, 1)
	gap := g.parameters.EventGap.Seconds()

	agrees, needed := pass > gap, lateForecasts
	if a.aim == MostLate {
		agrees, needed = pass < inTimeGap*gap, inTimeForecasts
	}

	if !agrees {
		a.agreeing = 0

		return
	}

	if a.agreeing++; a.agreeing >= needed {
		a.aim, a.agreeing = MostLate-a.aim, 0
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	// passWindow is the maximum time between events of the same pass, gapTolerance the maximum
	// difference of their gaps.
	passWindow   = 15 * time.Millisecond
	gapTolerance = 5 * time.Millisecond
	// minEqualGaps is the number of equal gaps that are a pass. A single one may be due to the
	// network or to a caller who reads slowly.
	minEqualGaps = 3
	// maxGaps is the number of gaps of a window that are kept.
	maxGaps = 16
	// stallGap is the ratio to the accepted gap above which a pass is a stall.
	stallGap = 4
)

// passDetector recognises passes by equal event gaps of several streams.
type passDetector struct {
	gaps    []time.Duration
	since   time.Time
	counted bool
}

// observe returns the duration of the pass that ends at now, once per pass.
func (p *passDetector) observe(now time.Time, gap, accepted time.Duration) (pass time.Duration, ok bool) {
	if now.Sub(p.since) > passWindow {
		p.gaps, p.since, p.counted = p.gaps[:0], now, false
	}

	if p.counted || gap <= 0 || gap > stallGap*accepted || len(p.gaps) == maxGaps {
		return 0, false
	}

	p.gaps = append(p.gaps, gap)
	slices.Sort(p.gaps)

	for i := minEqualGaps - 1; i < len(p.gaps); i++ {
		if p.gaps[i]-p.gaps[i-minEqualGaps+1] <= gapTolerance {
			p.counted = true

			return p.gaps[i-minEqualGaps/2], true
		}
	}

	return 0, false
}
