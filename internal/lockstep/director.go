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

	switcher *Switcher
	counter  *counter
	paces    Slowdowns
	current  Map
	version  uint64
	// searched is what the last search for a better map found.
	searched search
	// refused counts the switches in a row that ranks would not prepare.
	refused int
}

// leastCounts is how many choices a look must bring to tell something of demand.
const leastCounts = 200

// Run directs until ctx ends or the group has another epoch. A switch that has
// begun is finished first.
func (d *Director) Run(ctx context.Context) {
	d.switcher = &Switcher{Group: d.Group, Settings: d.Settings, Logger: d.Logger}
	d.counter = newCounter(d.Shape, d.Settings.DemandDecay)
	d.paces = make(Slowdowns, d.Shape.Ranks)

	d.Logger.Info("Directing.", "epoch", d.Group.Epoch, "ranks", d.Group.Size)
	defer d.Logger.Info("Directing ended.", "epoch", d.Group.Epoch)

	for pauses.For(ctx, d.Settings.PollInterval) {
		d.turn(context.WithoutCancel(ctx))
	}
}

// turn looks at some ranks once, and switches the group where that is worth it.
func (d *Director) turn(ctx context.Context) {
	looks, err := d.look(ctx)
	if err != nil {
		d.Logger.Debug("Ranks not all seen.", "error", err)

		return
	}

	d.seePaces(looks)

	own := looks[0].Report

	if slices.ContainsFunc(looks, func(l PollResult) bool { return l.Report.Holds }) {
		d.free(ctx)

		return
	}

	highest := highestVersion(reportsOf(looks))
	d.HighestAttempted = max(d.HighestAttempted, highest)

	if d.current == nil && !d.learn(looks, highest) {
		return
	}

	if d.counter.observe(time.Now(), looks) < leastCounts || !own.Open || own.Armed != 0 || own.Map != d.version {
		if own.Map != d.version && own.Armed == 0 {
			d.current = nil
		}

		return
	}

	d.improve(ctx)
}

// look looks at all ranks while the map in use is not known, and then at those that
// add up the counts. The first one and the holder are always among them. A few may be
// missing then.
func (d *Director) look(ctx context.Context) ([]PollResult, error) {
	sum := (d.Group.Size + d.Settings.CountAggregators - 1) / d.Settings.CountAggregators

	if d.current == nil {
		return d.switcher.PollAll(ctx, PollRequest{Counts: sum == 1, Experts: true})
	}

	return d.switcher.PollMost(ctx, func(rank int) (PollRequest, bool) {
		adds := rank%sum == 0

		return PollRequest{Counts: adds, SumRanks: min(sum, d.Group.Size-rank)}, adds || rank == d.switcher.holder()
	})
}

func (d *Director) free(ctx context.Context) {
	if err := d.switcher.ReleaseHolds(ctx); err != nil {
		d.Logger.Warn("A step is held, and not freed yet.", "error", err)
	}
}

// learn takes the map in use from the ranks' own lists.
func (d *Director) learn(looks []PollResult, highest uint64) bool {
	m, err := mapOf(looks)
	if err != nil || len(m) != d.Shape.Sets {
		d.Logger.Info("The map in use is not known yet.", "error", err)

		return false
	}

	d.current, d.version = m, looks[0].MapVersion
	d.switcher.RaiseFence(highest)

	return true
}

// improve switches to the map that saves most until demand is expected to change,
// where that is worth it.
func (d *Director) improve(ctx context.Context) {
	began := time.Now()
	demand := d.counter.demand()
	before := d.current.SkewWithSlowdowns(demand, d.paces)

	if !d.searched.mayGain(began, before, d.Settings.MinGain) {
		return
	}

	next, after, least := d.best(demand, before)
	d.searched = search{least: least, again: began.Add(searchLife)}

	if (before-after)/before < d.Settings.MinGain {
		return
	}

	planned := time.Now()
	version := d.nextVersion()
	err := d.switcher.Switch(ctx, version, next)

	// A skew of the last look far above that of the expected demand is a shift that
	// was not seen. The map is still the one from before the switch here.
	latest := d.current.SkewWithSlowdowns(d.counter.fresh, d.paces)
	d.Logger.Info("Map switch.", "version", version, "skewNow", fmt.Sprintf("%.2f", latest), "skewBefore", fmt.Sprintf("%.2f", before), "skewAfter", fmt.Sprintf("%.2f", after),
		"planned", planned.Sub(began).Round(time.Millisecond), "took", time.Since(planned).Round(time.Millisecond), "error", err)

	switch {
	case err == nil:
		d.current, d.version, d.refused = next, version, 0
	case errors.Is(err, errPrepare):
		// Some rank has had a higher version, in an epoch that this agent has not seen.
		d.refused++
		d.HighestAttempted += 1 << min(d.refused, versionJump)
	}
}

// searchLife is how long a search tells what the next one can find.
const searchLife = time.Second

// search is what a search for a better map found: the least skew of those that it weighed.
// Another one soon after it finds about the same, and takes far longer than a look.
type search struct {
	least float64
	again time.Time
}

// mayGain reports whether a search is worth it where the map in use has the skew before.
func (s search) mayGain(now time.Time, before, leastGain float64) bool {
	return !now.Before(s.again) || (before-s.least)/before >= leastGain
}

// versionJump bounds how far the version jumps at once, as a power of two.
const versionJump = 16

// best weighs maps that need few copies, and are there soon, against better ones. It
// returns the best of them, its skew, and the least skew that any of them has.
func (d *Director) best(demand Demand, before float64) (best Map, bestAfter, least float64) {
	best, bestAfter, least = d.current, before, before
	bestSaved := 0.0
	plan := newPlan(d.Shape, d.current, demand, d.paces)

	for i, most := range d.Settings.CopyBudgets {
		// A rank cannot get more than its spare experts of all sets.
		if i > 0 && d.Settings.CopyBudgets[i-1] >= d.Shape.Sets*d.Shape.SpareSlots {
			break
		}

		m := plan.improve(CopyLimits{MaxPerRank: most, MinGain: d.Settings.MinCopyGain})
		after := m.SkewWithSlowdowns(demand, d.paces)
		least = min(least, after)
		lasts := d.Settings.Horizon - d.Settings.SwitchTime - time.Duration(most)*d.Shape.CopyTime

		if saved := (before - after) * lasts.Seconds(); saved > bestSaved {
			best, bestAfter, bestSaved = m, after, saved
		}
	}

	return best, bestAfter, least
}

// nextVersion returns a version that no rank has had.
func (d *Director) nextVersion() uint64 {
	d.HighestAttempted = max(d.HighestAttempted, d.version) + 1

	return d.HighestAttempted
}
