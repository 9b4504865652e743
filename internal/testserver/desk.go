package testserver

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

// BookingRequest is the request body of the stand-in booking service.
type BookingRequest struct {
	// Ref is the caller's own reference; two runs of one Ref are a doubled booking.
	Ref  string
	Slot string
}

// BookingResponse is its answer.
type BookingResponse struct {
	BookingID string
	Ref       string
	Slot      string
}

// BookingService is a plain booking service. A booking must not be repeated: each run
// makes another one.
type BookingService struct {
	mu   sync.Mutex
	boot string
	runs map[string]int
	made map[string]BookingResponse
}

// Runs returns how often each Ref was booked.
func (d *BookingService) Runs() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()

	out := make(map[string]int, len(d.runs))
	for ref, n := range d.runs {
		out[ref] = n
	}

	return out
}

// BootID returns an id that is fresh at each start.
func (d *BookingService) BootID() string {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.boot == "" {
		d.boot = uuid.NewString()
	}

	return d.boot
}

// Handler returns the desk's HTTP interface.
func (d *BookingService) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(echoRequestID)
	r.Post("/v1/bookings", d.book)
	r.Get("/v1/bookings/{id}", d.show)
	r.Get("/v1/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, d.Runs()) })

	return r
}

func (d *BookingService) book(w http.ResponseWriter, r *http.Request) {
	var b BookingRequest
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || b.Slot == "" {
		http.Error(w, "a booking needs Ref and Slot", http.StatusBadRequest)

		return
	}

	writeJSON(w, http.StatusCreated, d.run(b))
}

func (d *BookingService) run(b BookingRequest) BookingResponse {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.runs == nil {
		d.runs = make(map[string]int)
		d.made = make(map[string]BookingResponse)
	}

	d.runs[b.Ref]++
	done := BookingResponse{BookingID: uuid.NewString(), Ref: b.Ref, Slot: b.Slot}
	d.made[done.BookingID] = done

	return done
}

func (d *BookingService) show(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	b, ok := d.made[chi.URLParam(r, "id")]
	d.mu.Unlock()

	if !ok {
		http.Error(w, "no such booking", http.StatusNotFound)

		return
	}

	writeJSON(w, http.StatusOK, b)
}
