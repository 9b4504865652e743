package local

import (
	"context"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/expertgroup"
	"github.com/parsleygate/parsleygate/internal/placement"
	"github.com/parsleygate/parsleygate/internal/testserver"
)

// Parameters of the test rank groups: the expert popularity is skewed, and drifts
// every groupDriftInterval steps.
const (
	groupStepTime       = 10 * time.Millisecond
	groupTokensPerStep  = 4000
	groupPopularitySkew = 0.9
	groupDriftInterval  = 400
)

// expertSettings returns settings for small groups with small expert weights. Maps
// are planned so often that a short exercise has some map switches.
func expertSettings() expertgroup.Settings {
	s := expertgroup.DefaultSettings()
	s.PlanInterval = time.Second
	s.Planner.ExpertBytes = 1 << 20
	s.Planner.SwitchPause = groupStepTime

	return s
}

// joinGroup makes the engine rank n of the group of its service in its zone. It does
// nothing if the service has no groups.
func (inst *Instance) joinGroup(ctx context.Context, g *errgroup.Group, t *Target, r chi.Router, n int) {
	if t.Service.Experts == 0 {
		return
	}

	t.Group, t.Rank = groupName(t.Service, t.Zone), n

	if inst.groups == nil {
		inst.groups = make(map[string]*testserver.RankGroup)
	}

	group := inst.groups[t.Group]
	if group == nil {
		group = newGroup(t.Service, uint64(len(inst.groups)))
		inst.groups[t.Group] = group

		g.Go(func() error {
			group.Run(ctx)

			return nil
		})
	}

	group.Routes(r, n)
}

func newGroup(s Service, seed uint64) *testserver.RankGroup {
	group := &testserver.RankGroup{
		Shape:    placement.Shape{Layers: s.Layers, Ranks: s.PerZone, SlotsPerRank: slotsPerRank(s), Experts: s.Experts},
		StepTime: groupStepTime, TokensPerStep: groupTokensPerStep, Skew: groupPopularitySkew, DriftInterval: groupDriftInterval, Seed: seed,
	}
	for range s.PerZone {
		group.Speed = append(group.Speed, 1)
	}

	group.Init()

	return group
}

// Groups returns the test rank groups by name.
func (inst *Instance) Groups() map[string]*testserver.RankGroup { return inst.groups }
