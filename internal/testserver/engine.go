// Package testserver contains small test servers for what is outside the system: a
// model engine, a booking service, and a group of ranks. Their answers can be
// checked. They are used by the local command, the load tool and tests, and are not
// meant for production.
package testserver

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

// HeaderRequestID is the header that a target copies from the request to the response,
// by which the agent matches them.
const HeaderRequestID = "Parsleygate-Request-Id"

// HeaderCold is the response header by which an engine reports that it is cold.
const HeaderCold = "Parsleygate-Target-Cold"

// Engine is a model engine with continuous batching: all sequences in flight advance
// by one token per step, and a step takes longer the more sequences there are.
type Engine struct {
	// A step takes StepBase, plus StepPerSequence for each sequence in flight.
	StepBase        time.Duration
	StepPerSequence time.Duration
	// ColdLimit is the maximum number of concurrent sequences on a cold engine. Those
	// above it are counted in Overruns.
	ColdLimit int
	// WarmAfter is the number of finished answers after which a cold engine is warm.
	WarmAfter int

	// OnRestart is called by Restart to announce the new boot ID; may be nil.
	OnRestart func()

	mu            sync.Mutex
	bootID        string
	cold          bool
	coldSince     time.Time
	accepting     bool
	restarted     chan struct{}
	earlyOverruns int
	finished      int
	inFlight      int
	started       int
	overruns      int
	peakCold      int
}

// EngineState is the state of an engine.
type EngineState struct {
	BootID   string
	Cold     bool
	InFlight int
	// Overruns counts sequences that started above the limit of the cold engine.
	// Early counts those that started before the agent could know that the engine
	// was cold; they are not in Overruns.
	Overruns int
	Early    int
	// PeakCold is the maximum number of concurrent sequences while cold, without early
	// ones.
	PeakCold int
	Finished int
	// Begun counts all sequences started.
	Begun int
}

// State returns the engine's state.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.ensureBootLocked()

	return EngineState{
		BootID: e.bootID, Cold: e.cold, InFlight: e.inFlight,
		Overruns: e.overruns, Early: e.earlyOverruns, PeakCold: e.peakCold, Finished: e.finished, Begun: e.started,
	}
}

// MaxAnnounceDelay bounds the time until an agent has received a change of its engine's
// state: the announcement interval of one second, and some slack.
const MaxAnnounceDelay = 1200 * time.Millisecond

// TurnCold makes the engine cold without notice. Sequences in flight continue, and the
// agent is informed only by the next announcement.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.turnColdLocked()
}

// Restart simulates a restart of the engine: sequences in flight are aborted, and the
// engine is cold with a new boot ID. If OnRestart is set, the engine rejects requests
// until ConfirmAnnounced is called with the new boot ID.
func (e *Engine) Restart() {
	e.mu.Lock()
	e.ensureBootLocked()
	e.turnColdLocked()
	close(e.restarted)
	e.restarted = make(chan struct{})
	e.accepting = e.OnRestart == nil
	e.mu.Unlock()

	if e.OnRestart != nil {
		e.OnRestart()
	}
}

// ConfirmAnnounced records that the agent has accepted an announcement with bootID.
func (e *Engine) ConfirmAnnounced(bootID string) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.accepting = e.accepting || bootID == e.bootID
}

func (e *Engine) turnColdLocked() {
	e.bootID = uuid.NewString()
	e.cold = true
	e.coldSince = time.Now()
	e.finished = 0
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(echoRequestID)
	r.Post("/v1/drafts", e.handleDraft)
	r.Get("/v1/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.State()) })
	r.Post("/v1/cold", func(w http.ResponseWriter, _ *http.Request) {
		e.TurnCold()
		w.WriteHeader(http.StatusNoContent)
	})

	return r
}

// echoRequestID copies the request ID to the response, by which the agent matches them.
func echoRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) ensureBootLocked() {
	if e.bootID == "" {
		e.bootID = uuid.NewString()
		e.cold = e.WarmAfter > 0
		e.accepting = true
		e.restarted = make(chan struct{})
	}
}

func (e *Engine) handleDraft(w http.ResponseWriter, r *http.Request) {
	var d DraftRequest
	if err := json.NewDecoder(r.Body).Decode(&d); err != nil || d.Tokens < 1 {
		http.Error(w, "a draft needs Prompt and Tokens", http.StatusBadRequest)

		return
	}

	from, err := lastEventID(r)
	if err != nil {
		http.Error(w, "Last-Event-ID is no number", http.StatusBadRequest)

		return
	}

	restarted, ok := e.beginSequence()
	if !ok {
		panic(http.ErrAbortHandler)
	}

	defer e.endSequence()

	if e.State().Cold {
		w.Header().Set(HeaderCold, "true")
	}

	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	e.streamTokens(r.Context(), restarted, w, d, from)
}

func lastEventID(r *http.Request) (int, error) {
	s := r.Header.Get("Last-Event-ID")
	if s == "" {
		return 0, nil
	}

	n, err := strconv.Atoi(s)

	return n, eris.Wrap(err, "read Last-Event-ID")
}

func (e *Engine) streamTokens(ctx context.Context, restarted <-chan struct{}, w http.ResponseWriter, d DraftRequest, from int) {
	controller := http.NewResponseController(w)

	for n := from + 1; n <= d.Tokens; n++ {
		select {
		case <-ctx.Done():
			return
		case <-restarted:
			panic(http.ErrAbortHandler)
		case <-time.After(e.stepTime()):
		}

		if _, err := w.Write([]byte(Event(d.Prompt, n))); err != nil {
			return
		}

		if err := controller.Flush(); err != nil {
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

	return e.StepBase + time.Duration(e.inFlight)*e.StepPerSequence
}

// beginSequence counts a new sequence. It returns a channel that the next restart
// closes, or false if the engine rejects requests until its boot ID is announced.
func (e *Engine) beginSequence() (restarted <-chan struct{}, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.ensureBootLocked()

	if !e.accepting {
		return nil, false
	}

	e.inFlight++
	e.started++

	if e.cold {
		e.countColdLocked()
	}

	return e.restarted, true
}

func (e *Engine) countColdLocked() {
	if e.inFlight > e.ColdLimit && time.Since(e.coldSince) < MaxAnnounceDelay {
		e.earlyOverruns++

		return
	}

	e.peakCold = max(e.peakCold, e.inFlight)
	if e.inFlight > e.ColdLimit {
		e.overruns++
	}
}

func (e *Engine) endSequence() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.inFlight--
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
