package lockstep

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/pauses"
)

// Director keeps the map of one group in one epoch. Its fields are set before Run.
type Director struct {
	Shape    Shape
	Group    GroupClient
	Settings Settings
	Logger   *slog.Logger
	// HighestAttempted is the highest version that a switch was tried with, also in earlier
	// epochs: ranks that outlived them take only higher ones.
	HighestAttempted uint64

	switcher  *Switcher
	demand    *demandEstimator
	slowdowns Slowdowns
	current   Map
	version   uint64
	// lastSearch is what the last search for a better map found.
	lastSearch searchResult
	// refusedSwitches counts the switches in a row that ranks would not prepare.
	refusedSwitches int
}

// minPollCounts is how many choices a look must bring to tell something of demand.
const minPollCounts = 200

// Run directs until ctx ends or the group has another epoch. A switch that has
// begun is finished first.
func (d *Director) Run(ctx context.Context) {
	d.switcher = &Switcher{Group: d.Group, Settings: d.Settings, Logger: d.Logger}
	d.demand = newDemandEstimator(d.Shape, d.Settings.DemandDecay)
	d.slowdowns = make(Slowdowns, d.Shape.Ranks)

	d.Logger.Info("Directing.", "epoch", d.Group.Epoch, "ranks", d.Group.Size)
	defer d.Logger.Info("Directing ended.", "epoch", d.Group.Epoch)

	for pauses.For(ctx, d.Settings.PollInterval) {
		d.runOnce(context.WithoutCancel(ctx))
	}
}

// runOnce looks at some ranks once, and switches the group where that is worth it.
func (d *Director) runOnce(ctx context.Context) {
	polls, err := d.poll(ctx)
	if err != nil {
		d.Logger.Debug("Ranks not all seen.", "error", err)

		return
	}

	d.recordSlowdowns(polls)

	first := polls[0].Report

	if slices.ContainsFunc(polls, func(p PollResult) bool { return p.Report.Holds }) {
		d.releaseHolds(ctx)

		return
	}

	highest := highestVersion(reportsOf(polls))
	d.HighestAttempted = max(d.HighestAttempted, highest)

	if d.current == nil && !d.loadCurrentMap(polls, highest) {
		return
	}

	if d.demand.observe(time.Now(), polls) < minPollCounts || !first.Open || first.Armed != 0 || first.Map != d.version {
		if first.Map != d.version && first.Armed == 0 {
			d.current = nil
		}

		return
	}

	d.switchIfBetter(ctx)
}

// poll looks at all ranks while the map in use is not known, and then at those that
// add up the counts. The first one and the holder are always among them. A few may be
// missing then.
func (d *Director) poll(ctx context.Context) ([]PollResult, error) {
	ranksPerAggregator := (d.Group.Size + d.Settings.CountAggregators - 1) / d.Settings.CountAggregators

	if d.current == nil {
		return d.switcher.PollAll(ctx, PollRequest{Counts: ranksPerAggregator == 1, Experts: true})
	}

	return d.switcher.PollMost(ctx, func(rank int) (PollRequest, bool) {
		aggregates := rank%ranksPerAggregator == 0

		return PollRequest{Counts: aggregates, SumRanks: min(ranksPerAggregator, d.Group.Size-rank)}, aggregates || rank == d.switcher.holder()
	})
}

func (d *Director) releaseHolds(ctx context.Context) {
	if err := d.switcher.ReleaseHolds(ctx); err != nil {
		d.Logger.Warn("A step is held, and not freed yet.", "error", err)
	}
}

// loadCurrentMap takes the map in use from the ranks' own lists.
func (d *Director) loadCurrentMap(polls []PollResult, highest uint64) bool {
	m, err := mapFromPolls(polls)
	if err != nil || len(m) != d.Shape.Sets {
		d.Logger.Info("The map in use is not known yet.", "error", err)

		return false
	}

	d.current, d.version = m, polls[0].MapVersion
	d.switcher.RaiseFence(highest)

	return true
}

// switchIfBetter switches to the map that saves most until demand is expected to change,
// where that is worth it.
func (d *Director) switchIfBetter(ctx context.Context) {
	began := time.Now()
	demand := d.demand.expected()
	before := d.current.SkewWithSlowdowns(demand, d.slowdowns)

	if !d.lastSearch.mayGain(began, before, d.Settings.MinGain) {
		return
	}

	next, after, minSkew := d.bestMap(demand, before)
	d.lastSearch = searchResult{minSkew: minSkew, validUntil: began.Add(searchValidity)}

	if (before-after)/before < d.Settings.MinGain {
		return
	}

	planned := time.Now()
	version := d.nextVersion()
	err := d.switcher.Switch(ctx, version, next)

	// A skew of the last look far above that of the expected demand is a shift that
	// was not seen. The map is still the one from before the switch here.
	latestSkew := d.current.SkewWithSlowdowns(d.demand.latest, d.slowdowns)
	d.Logger.Info("Map switch.", "version", version, "skewNow", fmt.Sprintf("%.2f", latestSkew), "skewBefore", fmt.Sprintf("%.2f", before), "skewAfter", fmt.Sprintf("%.2f", after),
		"planned", planned.Sub(began).Round(time.Millisecond), "took", time.Since(planned).Round(time.Millisecond), "error", err)

	switch {
	case err == nil:
		d.current, d.version, d.refusedSwitches = next, version, 0
	case errors.Is(err, errPrepare):
		// Some rank has had a higher version, in an epoch that this agent has not seen.
		d.refusedSwitches++
		d.HighestAttempted += 1 << min(d.refusedSwitches, maxVersionJumpBits)
	}
}

// searchValidity is how long a search tells what the next one can find.
const searchValidity = time.Second

// searchResult is what a search for a better map found: the least skew of those that it weighed.
// Another one soon after it finds about the same, and takes far longer than a look.
type searchResult struct {
	minSkew    float64
	validUntil time.Time
}

// mayGain reports whether a search is worth it where the map in use has the skew before.
func (s searchResult) mayGain(now time.Time, before, minGain float64) bool {
	return !now.Before(s.validUntil) || (before-s.minSkew)/before >= minGain
}

// maxVersionJumpBits bounds how far the version jumps at once, as a power of two.
const maxVersionJumpBits = 16

// bestMap weighs maps that need few copies, and are there soon, against better ones. It
// returns the best of them, its skew, and the least skew that any of them has.
func (d *Director) bestMap(demand Demand, before float64) (bestMap Map, bestAfter, minSkew float64) {
	bestMap, bestAfter, minSkew = d.current, before, before
	bestSaved := 0.0
	search := newMapSearch(d.Shape, d.current, demand, d.slowdowns)

	for i, budget := range d.Settings.CopyBudgets {
		// A rank cannot get more than its spare experts of all sets.
		if i > 0 && d.Settings.CopyBudgets[i-1] >= d.Shape.Sets*d.Shape.SpareSlots {
			break
		}

		m := search.improve(CopyLimits{MaxPerRank: budget, MinGain: d.Settings.MinCopyGain})
		after := m.SkewWithSlowdowns(demand, d.slowdowns)
		minSkew = min(minSkew, after)
		useTime := d.Settings.Horizon - d.Settings.SwitchTime - time.Duration(budget)*d.Shape.CopyTime

		if saved := (before - after) * useTime.Seconds(); saved > bestSaved {
			bestMap, bestAfter, bestSaved = m, after, saved
		}
	}

	return bestMap, bestAfter, minSkew
}

// nextVersion returns a version that no rank has had.
func (d *Director) nextVersion() uint64 {
	d.HighestAttempted = max(d.HighestAttempted, d.version) + 1

	return d.HighestAttempted
}
