package testserver

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"

	"github.com/parsleygate/parsleygate/internal/placement"
	"github.com/parsleygate/parsleygate/internal/rank"
)

// Routes adds the HTTP routes of rank n to r.
func (g *RankGroup) Routes(r chi.Router, n int) {
	r.Get(rank.GroupPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, g.rankState(n)) })
	r.Post(rank.GroupPath, func(w http.ResponseWriter, q *http.Request) {
		var o rank.EngineOrder
		if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
			http.Error(w, "order is no JSON", http.StatusBadRequest)

			return
		}

		w.WriteHeader(g.applyOrder(n, &o))
	})
}

// BootID returns the boot ID of rank n's engine.
func (g *RankGroup) BootID(n int) string {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.ranks[n].bootID
}

func (g *RankGroup) rankState(n int) rank.EngineState {
	g.mu.Lock()
	defer g.mu.Unlock()

	r := g.ranks[n]

	return rank.EngineState{
		BootID: r.bootID, Joined: r.joined, Missing: r.missingMap, Sequence: r.sequence,
		BusyMicros: uint64(r.busyTime.Microseconds()), Work: r.work, Tokens: slices.Clone(r.tokens),
	}
}

// applyOrder applies an order to rank n and returns the HTTP status of the response.
// Fencing numbers are not checked: the engine represents those that ignore them.
func (g *RankGroup) applyOrder(n int, o *rank.EngineOrder) int {
	g.mu.Lock()
	defer g.mu.Unlock()

	r := g.ranks[n]
	if o.BootID != r.bootID {
		return http.StatusConflict
	}

	switch o.Do {
	case rank.DoLoad:
		return r.load(o)
	case rank.DoDrop:
		delete(r.maps, o.Version)
	case rank.DoHold:
		return r.hold(o.Step)
	case rank.DoRun:
		r.hasRunOrder, r.held, r.runOrder = true, false, *o
		r.dropUnusedMaps()
	default:
		return http.StatusBadRequest
	}

	return http.StatusNoContent
}

// hold keeps step and later ones from beginning, or all further steps if step is 0. If
// a hold is already in force, the earlier of the two steps applies.
func (r *rankEngine) hold(step uint64) int {
	if step != 0 && step <= r.joined {
		return http.StatusConflict
	}

	from := max(step, r.joined+1)
	if r.held {
		from = min(from, r.heldFrom)
	}

	r.held, r.heldFrom = true, from

	return http.StatusNoContent
}

// dropUnusedMaps drops the maps that the current Run order does not name.
func (r *rankEngine) dropUnusedMaps() {
	for v := range r.maps {
		if v != r.runOrder.RunVersion && v != r.runOrder.RunBefore {
			delete(r.maps, v)
		}
	}
}

func (r *rankEngine) load(o *rank.EngineOrder) int {
	m, err := placement.Decode(o.Placement)
	if err != nil {
		return http.StatusBadRequest
	}

	r.maps[o.Version] = loadedMap{content: m, digest: m.Digest()}

	return http.StatusNoContent
}
