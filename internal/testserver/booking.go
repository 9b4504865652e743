package testserver

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

// BookingRequest is the request body of the booking service.
type BookingRequest struct {
	// Ref is the caller's reference. Two runs with the same Ref are a duplicate booking.
	Ref  string
	Slot string
}

// BookingResponse is the response body of the booking service.
type BookingResponse struct {
	BookingID string
	Ref       string
	Slot      string
}

// BookingService is a booking service without protection against duplicates: each
// request makes another booking, so a booking request must not be sent twice.
type BookingService struct {
	mu       sync.Mutex
	bootID   string
	runs     map[string]int
	bookings map[string]BookingResponse
}

// Runs returns the number of bookings by Ref.
func (s *BookingService) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()

	out := make(map[string]int, len(s.runs))
	for ref, n := range s.runs {
		out[ref] = n
	}

	return out
}

// BootID returns an ID that is unique to this instance of the service.
func (s *BookingService) BootID() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.bootID == "" {
		s.bootID = uuid.NewString()
	}

	return s.bootID
}

// Handler returns the HTTP handler of the service.
func (s *BookingService) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(echoRequestID)
	r.Post("/v1/bookings", s.handleCreate)
	r.Get("/v1/bookings/{id}", s.handleGet)
	r.Get("/v1/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Runs()) })

	return r
}

func (s *BookingService) handleCreate(w http.ResponseWriter, r *http.Request) {
	var b BookingRequest
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || b.Slot == "" {
		http.Error(w, "a booking needs Ref and Slot", http.StatusBadRequest)

		return
	}

	writeJSON(w, http.StatusCreated, s.create(b))
}

func (s *BookingService) create(b BookingRequest) BookingResponse {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.runs == nil {
		s.runs = make(map[string]int)
		s.bookings = make(map[string]BookingResponse)
	}

	s.runs[b.Ref]++
	response := BookingResponse{BookingID: uuid.NewString(), Ref: b.Ref, Slot: b.Slot}
	s.bookings[response.BookingID] = response

	return response
}

func (s *BookingService) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	b, ok := s.bookings[chi.URLParam(r, "id")]
	s.mu.Unlock()

	if !ok {
		http.Error(w, "no such booking", http.StatusNotFound)

		return
	}

	writeJSON(w, http.StatusOK, b)
}
