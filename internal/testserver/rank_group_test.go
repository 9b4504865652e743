package testserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/placement"
	"github.com/parsleygate/parsleygate/internal/rank"
	"github.com/parsleygate/parsleygate/internal/testserver"
)

func ExampleEvent() {
	fmt.Print(testserver.Event("hoops", 1))
	// Output:
	// id: 1
	// data: {"Token":"jro"}
}

// rankGroup is a group of two ranks with their HTTP routes.
type rankGroup struct {
	t      *testing.T
	group  *testserver.RankGroup
	router [2]chi.Router
	maps   [2][]byte
}

func newRankGroup(t *testing.T) *rankGroup {
	shape := placement.Shape{Layers: 1, Ranks: 2, SlotsPerRank: 2, Experts: 4}
	g := &rankGroup{t: t, group: &testserver.RankGroup{Shape: shape, StepTime: time.Millisecond, TokensPerStep: 10, Speed: []float64{1, 1}}}
	g.group.Init()

	for n := range g.router {
		g.router[n] = chi.NewRouter()
		g.group.Routes(g.router[n], n)
	}

	m, err := placement.NewMap(shape)
	require.NoError(t, err)

	g.maps[0] = m.Encode()
	m.Slots[0], m.Slots[2] = m.Slots[2], m.Slots[0]
	g.maps[1] = m.Encode()

	return g
}

// order sends an order to rank n and returns the HTTP status of the response.
func (g *rankGroup) order(n int, o rank.EngineOrder) int {
	if o.BootID == "" {
		o.BootID = g.group.BootID(n)
	}

	body, err := json.Marshal(o)
	require.NoError(g.t, err)

	w := httptest.NewRecorder()
	g.router[n].ServeHTTP(w, httptest.NewRequest(http.MethodPost, rank.GroupPath, bytes.NewReader(body)))

	return w.Code
}

func (g *rankGroup) orderLoad(n int, version uint64, placement []byte) {
	require.Equal(g.t, http.StatusNoContent, g.order(n, rank.EngineOrder{Do: rank.DoLoad, Version: version, Placement: placement}))
}

func (g *rankGroup) orderRun(n int, version uint64) {
	require.Equal(g.t, http.StatusNoContent, g.order(n, rank.EngineOrder{Do: rank.DoRun, RunVersion: version}))
}

func (g *rankGroup) runFor(d time.Duration) testserver.RankGroupState {
	ctx, cancel := context.WithTimeout(g.t.Context(), d)
	defer cancel()

	g.group.Run(ctx)

	return g.group.State()
}

// Tests of the expert maps rely on MixedSteps. It must count steps with two map
// versions, and steps with two contents of one version.
func TestMixedStepsAreCounted(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name     string
		versions [2]uint64
		maps     [2]int
		mixed    bool
	}{
		{"one map", [2]uint64{1, 1}, [2]int{0, 0}, false},
		{"two versions", [2]uint64{1, 2}, [2]int{0, 0}, true},
		{"two contents", [2]uint64{1, 1}, [2]int{0, 1}, true},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := newRankGroup(t)
				for n := range 2 {
					g.orderLoad(n, c.versions[n], g.maps[c.maps[n]])
					g.orderRun(n, c.versions[n])
				}

				s := g.runFor(time.Second)
				require.Positive(t, s.Steps)
				require.Equal(t, c.mixed, s.MixedSteps > 0)
			})
		})
	}
}

// No rank may step while one of them has no Run order, is held, lacks its map or has
// restarted. Orders with the boot ID of a previous boot are rejected.
func TestNoStepWithoutAllRanks(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newRankGroup(t)
		g.orderLoad(0, 1, g.maps[0])
		g.orderLoad(1, 1, g.maps[0])
		g.orderRun(0, 1)
		require.Zero(t, g.runFor(time.Second).Steps, "a rank has no Run order")
		g.orderRun(1, 1)

		last := g.runFor(time.Second).Steps
		require.Positive(t, last)
		require.Equal(t, http.StatusConflict, g.order(1, rank.EngineOrder{Do: rank.DoHold, Step: last}), "a hold of a step that has begun")
		require.Equal(t, http.StatusNoContent, g.order(1, rank.EngineOrder{Do: rank.DoHold, Step: last + 5}))
		require.Equal(t, http.StatusNoContent, g.order(1, rank.EngineOrder{Do: rank.DoHold, Step: last + 50}))
		require.Equal(t, last+4, g.runFor(time.Second).Steps, "the earlier hold applies")
		g.orderRun(1, 1)
		require.Greater(t, g.runFor(time.Second).Steps, last+4)

		previousBoot := g.group.BootID(1)
		g.group.RestartRank(1)
		require.Equal(t, http.StatusConflict, g.order(1, rank.EngineOrder{BootID: previousBoot, Do: rank.DoRun, RunVersion: 1}))

		last = g.group.State().Steps
		g.orderRun(1, 1)
		require.Equal(t, last, g.runFor(time.Second).Steps, "a rank lacks its map")
		g.orderLoad(1, 1, g.maps[0])
		require.Greater(t, g.runFor(time.Second).Steps, last)
	})
}
