// Package standin holds small stand-ins for what stands outside the system:
// a model engine, a plain booking service, and callers' answers to check.
// They serve `local`, the load tool and tests; they are no product.
package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// HeaderRequestID names the header by which an agent and its target match
// answers to requests.
const HeaderRequestID = "Parsleygate-Request-Id"

// Engine is a model engine that batches continuously: all sequences in flight
// advance together, one token a step, and a step takes longer the more there are.
type Engine struct {
	// StepBase is the time of a step with one sequence, StepEach what each adds.
	StepBase time.Duration
	StepEach time.Duration
	// ColdLimit is how many sequences a cold engine bears; more is counted in Overruns.
	ColdLimit int
	// WarmAfter is how many finished answers make a cold engine warm.
	WarmAfter int

	mu       sync.Mutex
	bootID   string
	cold     bool
	finished int
	inFlight int
	overruns int
	peakCold int
}

// EngineState is what an engine tells of itself.
type EngineState struct {
	BootID   string
	Cold     bool
	InFlight int
	// Overruns counts sequences started above what the cold engine bears.
	Overruns int
	// PeakCold is the most sequences that a cold engine ever had at once.
	PeakCold int
	Finished int
}

// State returns the engine's state.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.bootLocked()

	return EngineState{
		BootID: e.bootID, Cold: e.cold, InFlight: e.inFlight,
		Overruns: e.overruns, PeakCold: e.peakCold, Finished: e.finished,
	}
}

// TurnCold makes the engine cold, with a new boot id, as a restart of its process does.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.bootID = uuid.NewString()
	e.cold = true
	e.finished = 0
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(echoRequestID)
	r.Post("/v1/drafts", e.draft)
	r.Get("/v1/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.State()) })
	r.Post("/v1/cold", func(w http.ResponseWriter, _ *http.Request) {
		e.TurnCold()
		w.WriteHeader(http.StatusNoContent)
	})

	return r
}

// echoRequestID lets the agent match answers to requests.
func echoRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) bootLocked() {
	if e.bootID == "" {
		e.bootID = uuid.NewString()
		e.cold = e.WarmAfter > 0
	}
}

func (e *Engine) draft(w http.ResponseWriter, r *http.Request) {
	var d Draft
	if err := json.NewDecoder(r.Body).Decode(&d); err != nil || d.Tokens < 1 {
		http.Error(w, "a draft needs Prompt and Tokens", http.StatusBadRequest)

		return
	}

	from, err := lastEventID(r)
	if err != nil {
		http.Error(w, "Last-Event-ID is no number", http.StatusBadRequest)

		return
	}

	e.begin()
	defer e.end()

	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	e.stream(r.Context(), w, d, from)
}

func lastEventID(r *http.Request) (int, error) {
	s := r.Header.Get("Last-Event-ID")
	if s == "" {
		return 0, nil
	}

	n, err := strconv.Atoi(s)

	return n, eris.Wrap(err, "read Last-Event-ID")
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, d Draft, from int) {
	flush := http.NewResponseController(w)

	for n := from + 1; n <= d.Tokens; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.stepTime()):
		}

		if _, err := w.Write([]byte(Event(d.Prompt, n))); err != nil {
			return
		}

		if err := flush.Flush(); err != nil {
			return
		}
	}

	_, _ = w.Write([]byte(LastEvent))

	e.mu.Lock()
	defer e.mu.Unlock()

	e.finished++
	if e.finished >= e.WarmAfter {
		e.cold = false
	}
}

func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.StepBase + time.Duration(e.inFlight)*e.StepEach
}

func (e *Engine) begin() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.bootLocked()
	e.inFlight++

	if !e.cold {
		return
	}

	e.peakCold = max(e.peakCold, e.inFlight)
	if e.inFlight > e.ColdLimit {
		e.overruns++
	}
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.inFlight--
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
