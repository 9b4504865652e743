// Package testserver holds small stand-ins for what stands outside the system:
// a model engine, a plain booking service, and callers' answers to check.
// They serve `local`, the load tool and tests; they are no product.
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

// HeaderRequestID names the header by which an agent and its target match
// answers to requests.
const HeaderRequestID = "Parsleygate-Request-Id"

// HeaderCold is how a cold engine says so on the head of an answer.
const HeaderCold = "Parsleygate-Target-Cold"

// Engine is a model engine that batches continuously: all sequences in flight
// advance together, one token a step, and a step takes longer the more there are.
type Engine struct {
	// StepBase is the time of a step with one sequence, StepEach what each adds.
	StepBase        time.Duration
	StepPerSequence time.Duration
	// ColdLimit is how many sequences a cold engine bears; more is counted in Overruns.
	ColdLimit int
	// WarmAfter is how many finished answers make a cold engine warm.
	WarmAfter int

	// OnRestart is called at each Restart, to announce the new boot; may be nil.
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

// EngineState is what an engine tells of itself.
type EngineState struct {
	BootID   string
	Cold     bool
	InFlight int
	// Overruns counts sequences started above what the cold engine bears. Early
	// ones began before the engine's word of it could have reached its agent.
	Overruns int
	Early    int
	// PeakCold is the most sequences that a cold engine ever had at once.
	PeakCold int
	Finished int
	// Begun counts all sequences ever started.
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

// MaxAnnounceDelay is how long an engine's word of a change may take to its agent: the
// time between two announcements, and some slack.
const MaxAnnounceDelay = 1200 * time.Millisecond

// TurnCold makes the engine cold without warning, and without an end of what it
// has in flight. Nothing tells its agent before the next announcement.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.turnColdLocked()
}

// Restart makes the engine start anew: its connections break, it is cold under a
// new boot id, and it takes no work before that has been announced.
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

// ConfirmAnnounced tells the engine that its agent knows of the boot with this id.
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

// Handler returns the engine's HTTP interface.
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

// echoRequestID lets the agent match answers to requests.
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

// beginSequence counts a sequence in. It returns the channel that a restart closes, and
// false for an engine that takes no work yet.
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
