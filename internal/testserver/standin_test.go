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

// group is a lock-step group of two ranks with its interfaces.
type group struct {
	t      *testing.T
	ranks  *testserver.RankGroup
	router [2]chi.Router
	maps   [2][]byte
}

func newGroup(t *testing.T) *group {
	shape := placement.Shape{Layers: 1, Ranks: 2, SlotsPerRank: 2, Experts: 4}
	g := &group{t: t, ranks: &testserver.RankGroup{Shape: shape, StepTime: time.Millisecond, TokensPerStep: 10, Speed: []float64{1, 1}}}
	g.ranks.Init()

	for n := range g.router {
		g.router[n] = chi.NewRouter()
		g.ranks.Routes(g.router[n], n)
	}

	m, err := placement.NewMap(shape)
	require.NoError(t, err)

	g.maps[0] = m.Encode()
	m.Slots[0], m.Slots[2] = m.Slots[2], m.Slots[0]
	g.maps[1] = m.Encode()

	return g
}

// order gives rank n an order and returns the status of its answer.
func (g *group) order(n int, o rank.EngineOrder) int {
	if o.BootID == "" {
		o.BootID = g.ranks.BootID(n)
	}

	body, err := json.Marshal(o)
	require.NoError(g.t, err)

	w := httptest.NewRecorder()
	g.router[n].ServeHTTP(w, httptest.NewRequest(http.MethodPost, rank.GroupPath, bytes.NewReader(body)))

	return w.Code
}

func (g *group) load(n int, version uint64, placement []byte) {
	require.Equal(g.t, http.StatusNoContent, g.order(n, rank.EngineOrder{Do: rank.DoLoad, Version: version, Placement: placement}))
}

func (g *group) start(n int, version uint64) {
	require.Equal(g.t, http.StatusNoContent, g.order(n, rank.EngineOrder{Do: rank.DoRun, RunVersion: version}))
}

func (g *group) steps(d time.Duration) testserver.RankGroupState {
	ctx, cancel := context.WithTimeout(g.t.Context(), d)
	defer cancel()

	g.ranks.Run(ctx)

	return g.ranks.State()
}

// All proofs of the expert maps rest on what this stand-in counts: it must see
// two versions in a step, and two contents under one version.
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
				g := newGroup(t)
				for n := range 2 {
					g.load(n, c.versions[n], g.maps[c.maps[n]])
					g.start(n, c.versions[n])
				}

				s := g.steps(time.Second)
				require.Positive(t, s.Steps)
				require.Equal(t, c.mixed, s.MixedSteps > 0)
			})
		})
	}
}

// A rank that holds, lacks its map, has not been told, or has restarted keeps
// the whole group; orders for its former boot change nothing.
func TestNoStepWithoutAllRanks(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		g.load(0, 1, g.maps[0])
		g.load(1, 1, g.maps[0])
		g.start(0, 1)
		require.Zero(t, g.steps(time.Second).Steps, "a rank that is not told")
		g.start(1, 1)

		at := g.steps(time.Second).Steps
		require.Positive(t, at)
		require.Equal(t, http.StatusConflict, g.order(1, rank.EngineOrder{Do: rank.DoHold, Step: at}), "a step that has begun")
		require.Equal(t, http.StatusNoContent, g.order(1, rank.EngineOrder{Do: rank.DoHold, Step: at + 5}))
		require.Equal(t, http.StatusNoContent, g.order(1, rank.EngineOrder{Do: rank.DoHold, Step: at + 50}))
		require.Equal(t, at+4, g.steps(time.Second).Steps, "the earlier hold stands")
		g.start(1, 1)
		require.Greater(t, g.steps(time.Second).Steps, at+4)

		former := g.ranks.BootID(1)
		g.ranks.RestartRank(1)
		require.Equal(t, http.StatusConflict, g.order(1, rank.EngineOrder{BootID: former, Do: rank.DoRun, RunVersion: 1}))

		at = g.ranks.State().Steps
		g.start(1, 1)
		require.Equal(t, at, g.steps(time.Second).Steps, "a rank without its map")
		g.load(1, 1, g.maps[0])
		require.Greater(t, g.steps(time.Second).Steps, at)
	})
}
