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

// Director maintains the expert map of one group during one epoch. Its exported fields are set
// before Run.
type Director struct {
	Shape    Shape
	Group    GroupClient
	Settings Settings
	Logger   *slog.Logger
	// HighestAttempted is the highest version with which a switch was attempted, in earlier
	// epochs too. Ranks that remain from an earlier epoch accept only higher versions.
	HighestAttempted uint64
	// InitialDemand is the demand at the end of an earlier epoch, nil if it is not known. The
	// callers are mostly the same, so the group need not wait for new counts with its first
	// map.
	InitialDemand Demand
	// OnSkew, if set, is called after each poll with many choices, with the skew of the map in use
	// for the choices since the poll before.
	OnSkew func(skew float64)

	switcher        *Switcher
	demandEstimator *demandEstimator
	// demandKnown is set if the estimates began with InitialDemand.
	demandKnown bool
	// firstPollsUntil ends the first polls of a group without demand.
	firstPollsUntil time.Time
	slowdowns       Slowdowns
	current         Map
	version         uint64
	// lastSearch is the result of the last search for a better map.
	lastSearch searchResult
	stepLength stepLength
	// refusedSwitches counts consecutive switches that ranks refused to prepare.
	refusedSwitches int
	// latestChoices is the number of expert choices that the latest poll added.
	latestChoices float64
}

// minPollCounts is the number of expert choices that a poll must add before the director acts
// on the demand.
const minPollCounts = 200

// Run directs the group until ctx ends. The caller must cancel ctx once the group begins another
// epoch. A switch that has begun is finished first.
func (d *Director) Run(ctx context.Context) {
	d.switcher = &Switcher{Group: d.Group, Settings: d.Settings, Logger: d.Logger}
	d.demandEstimator = newDemandEstimator(d.Shape, d.Settings.DemandDecay)
	d.slowdowns = make(Slowdowns, d.Shape.Ranks)

	d.demandKnown = d.demandEstimator.seed(d.InitialDemand)
	d.firstPollsUntil = time.Now().Add(maxFirstPollTime)

	d.Logger.Info("Directing the group.", "epoch", d.Group.Epoch, "ranks", d.Group.Size, "demandKnown", d.demandKnown)
	defer d.Logger.Info("Stopped directing the group.", "epoch", d.Group.Epoch)

	d.runOnce(context.WithoutCancel(ctx))

	for pauses.Sleep(ctx, d.pollInterval(time.Now())) {
		d.runOnce(context.WithoutCancel(ctx))
	}
}

// pollInterval returns the time until the next poll. It is short until the first search for a
// map, because a group opens with one that ignores the demand, but not for long: an idle group
// has no demand.
func (d *Director) pollInterval(now time.Time) time.Duration {
	if d.lastSearch.validUntil.IsZero() && now.Before(d.firstPollsUntil) {
		return d.Settings.FirstPollInterval
	}

	return d.Settings.PollInterval
}

// maxFirstPollTime is how long polls follow each other at FirstPollInterval.
const maxFirstPollTime = 2 * time.Second

// Demand returns the demand of the last polls, or nil if there was none. It must be called
// after Run has returned.
func (d *Director) Demand() Demand { return d.demandEstimator.known() }

// runOnce polls some of the ranks and switches the group to a better map if there is one.
func (d *Director) runOnce(ctx context.Context) {
	polls, err := d.poll(ctx)
	if err != nil {
		d.Logger.Debug("Poll of the ranks failed; skipping this interval.", "error", err)

		return
	}

	d.recordSlowdowns(polls)

	first := polls[0].Report
	d.stepLength.observe(time.Now(), first.Step)

	if slices.ContainsFunc(polls, func(p PollResult) bool { return p.Report.Holds }) {
		d.releaseHolds(ctx)

		return
	}

	d.HighestAttempted = max(d.HighestAttempted, highestVersion(reportsOf(polls)))

	if d.current == nil && (!first.Open || !d.takeUp(ctx, polls)) {
		return // A group that is being formed refuses orders.
	}

	d.latestChoices = d.demandEstimator.observe(time.Now(), polls)
	counted := d.latestChoices >= minPollCounts

	if first.Map == d.version {
		d.reportSkew()
	}

	searched := !d.lastSearch.validUntil.IsZero()

	if !counted && (searched || !d.demandKnown) || !first.Open || first.Armed != 0 || first.Map != d.version {
		if first.Map != d.version && first.Armed == 0 {
			d.current = nil
		}

		return
	}

	d.switchIfBetter(ctx)
}

// minSkewChoices is the number of choices for each rank and set from which they tell the skew. With
// fewer, chance makes the demand look uneven.
const minSkewChoices = 100

// reportSkew reports the skew of the map in use for the latest demand.
func (d *Director) reportSkew() {
	if d.OnSkew != nil && d.latestChoices >= float64(minSkewChoices*d.Shape.Ranks*d.Shape.Sets) {
		// Slow ranks are reported apart. Included here, they would look like a shift of demand.
		d.OnSkew(d.current.Skew(d.demandEstimator.latest))
	}
}

// poll polls all ranks while the current map is unknown, and afterwards only the count
// aggregators and the holder. Rank 0 is always among them, and a few of them may not answer.
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
		d.Logger.Warn("Release of a held step failed; retrying at the next poll.", "error", err)
	}
}

// takeUp claims the group and builds the current map from the experts that the ranks report. An
// order of a predecessor may have been carried out since polls, so all ranks are polled again after
// a claim.
func (d *Director) takeUp(ctx context.Context, polls []PollResult) bool {
	if !d.switcher.claimed {
		if err := d.switcher.claim(ctx, d.HighestAttempted); err != nil {
			d.Logger.Warn("Not all ranks have accepted the fencing number of this agent; retrying at the next poll.", "error", err)

			return false
		}

		var err error
		if polls, err = d.poll(ctx); err != nil {
			d.Logger.Debug("Poll of the ranks failed; skipping this interval.", "error", err)

			return false
		}

		d.HighestAttempted = max(d.HighestAttempted, highestVersion(reportsOf(polls)))
	}

	m, err := mapFromPolls(polls)
	if err != nil || len(m) != d.Shape.Sets {
		d.Logger.Info("Current map not known yet; polling all ranks again.", "error", err)

		return false
	}

	d.current, d.version = m, polls[0].MapVersion

	return true
}

// switchIfBetter switches to the map that is expected to save the most work within the horizon,
// if it saves enough.
func (d *Director) switchIfBetter(ctx context.Context) {
	began := time.Now()
	demand := d.demandEstimator.demand()
	before := d.current.SkewWithSlowdowns(demand, d.slowdowns)

	if !d.lastSearch.mayGain(began, before, d.Settings.MinGain) {
		return
	}

	next, after, minSkew := d.bestMap(demand, before)
	d.lastSearch = searchResult{minSkew: minSkew, validUntil: began.Add(searchValidity)}

	if (before-after)/before < d.Settings.MinGain {
		return
	}

	// The steps were observed with the usual skew, which is about that of the next map.
	d.switcher.longLead = d.stepLength.staysBelow(d.Shape.EventGap, before/after)
	planned := time.Now()
	version, err := d.switcher.Switch(ctx, max(d.HighestAttempted, d.version), next)
	d.HighestAttempted = max(d.HighestAttempted, version)

	// d.current is still the map from before the switch. A skew of the latest poll far above
	// that of the expected demand indicates a shift that was not detected.
	latestSkew := d.current.SkewWithSlowdowns(d.demandEstimator.latest, d.slowdowns)
	d.Logger.Info("Map switch attempted.", "version", version, "skewNow", fmt.Sprintf("%.2f", latestSkew), "skewBefore", fmt.Sprintf("%.2f", before), "skewAfter", fmt.Sprintf("%.2f", after),
		"longLead", d.switcher.longLead, "planned", planned.Sub(began).Round(time.Millisecond), "took", time.Since(planned).Round(time.Millisecond), "error", err)

	switch {
	case err == nil:
		d.current, d.version, d.refusedSwitches = next, version, 0
		d.reportSkew()
	case errors.Is(err, errPrepare):
		// Some rank has seen a higher version in an epoch that this agent did not observe.
		d.refusedSwitches++
		d.HighestAttempted += 1 << (versionShift + min(d.refusedSwitches, maxVersionJumpBits))
	}
}

// searchValidity is how long the result of a search predicts that of the next one.
const searchValidity = time.Second

// searchResult holds the smallest skew that a search has found. Another search soon afterwards
// finds about the same, and takes far longer than a poll.
type searchResult struct {
	minSkew    float64
	validUntil time.Time
}

// mayGain reports whether another search is worthwhile if the current map has the skew before.
func (s searchResult) mayGain(now time.Time, before, minGain float64) bool {
	return !now.Before(s.validUntil) || (before-s.minSkew)/before >= minGain
}

// maxVersionJumpBits bounds the increase of the generation after a refusal, as a power of two.
const maxVersionJumpBits = 16

// bestMap compares maps that need few copies, and are in use soon, with better ones that need
// more. It returns the best of them, its skew, and the smallest skew of all.
func (d *Director) bestMap(demand Demand, before float64) (bestMap Map, bestAfter, minSkew float64) {
	bestMap, bestAfter, minSkew = d.current, before, before
	bestSaved := 0.0
	search := newMapSearch(d.Shape, d.current, demand, d.slowdowns)

	for i, budget := range d.Settings.CopyBudgets {
		// A rank can load at most SpareSlots experts of each set.
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
