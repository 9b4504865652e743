package entry

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/parsleygate/parsleygate/internal/callerconn"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// stoppingRetryAfter is the time after which a caller refused by a stopping entry may
// retry at another one.
const stoppingRetryAfter = time.Second

func (e *Entry) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/ready", e.ready)

	r.HandleFunc("/{service}", e.serve)
	r.HandleFunc("/{service}/*", e.serve)

	return r
}

// ready reports to the platform's balancer whether this entry accepts requests.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}

	w.WriteHeader(http.StatusNoContent)
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Done()

	e.counters.begin()
	defer e.counters.end()

	complete := callerconn.ResetUnlessComplete(r)
	e.answer(w, r)
	complete()
}

// answer answers r, or panics if the answer is cut off.
func (e *Entry) answer(w http.ResponseWriter, r *http.Request) {
	c, refusal := e.readCall(w, r)
	if refusal == nil && e.stopping.Load() {
		refusal = e.refuseWhileStopping(w)
	}

	if refusal != nil {
		e.counters.countRefusal(refusal)
		writeRefusal(w, c.id, refusal)

		return
	}

	e.Budget.RecordRequest(time.Now())
	e.execute(w, r, c)
}

func (e *Entry) refuseWhileStopping(w http.ResponseWriter) *verdict.Error {
	w.Header().Set("Connection", "close")

	return verdict.Refuse(verdict.CauseStopping, time.Now().Add(stoppingRetryAfter))
}
