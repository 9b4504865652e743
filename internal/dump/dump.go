// Package dump serves diagnostics of a process to operators: the state of each of its
// parts as JSON, and the metrics as JSON or text.
package dump

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
)

// Part is the state of one part of a process.
type Part struct {
	Name  string
	State any
}

// State is a dump of the state of a process.
type State struct {
	Role  string
	ID    string
	Taken time.Time
	Parts []Part
}

// Dump collects the state of the parts of a process. Set its fields before use.
type Dump struct {
	Role    string
	ID      string
	Metrics metrics.Registry

	mu            sync.Mutex
	parts         []partSource
	updateMetrics func()
}

// partSource is the name of a part and the function that returns its state.
type partSource struct {
	name string
	take func() any
}

// Add registers a part, replacing any part of the same name. The function take may be
// called at any time and from any goroutine.
func (d *Dump) Add(name string, take func() any) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.parts = slices.DeleteFunc(d.parts, func(s partSource) bool { return s.name == name })
	d.parts = append(d.parts, partSource{name: name, take: take})
}

// Take returns the current state of all parts.
func (d *Dump) Take() State {
	d.mu.Lock()
	defer d.mu.Unlock()

	s := State{Role: d.Role, ID: d.ID, Taken: time.Now()}
	for _, p := range d.parts {
		s.Parts = append(s.Parts, Part{Name: p.name, State: p.take()})
	}

	return s
}

// Write writes a dump as indented JSON.
func (d *Dump) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")

	return eris.Wrap(enc.Encode(d.Take()), "write dump")
}

// Handler serves /dump and /metrics as JSON, and /metrics.txt as text.
func (d *Dump) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = d.Write(w)
	})
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		d.refreshMetrics()
		metrics.WriteJSONOnce(d.Metrics, w)
	})
	r.Get("/metrics.txt", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		d.refreshMetrics()
		WriteText(w, d.Metrics)
	})

	return r
}

// BeforeMetrics sets a function that updates Metrics before they are served. A process that serves its
// dump already may call it.
func (d *Dump) BeforeMetrics(update func()) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.updateMetrics = update
}

func (d *Dump) refreshMetrics() {
	d.mu.Lock()
	update := d.updateMetrics
	d.mu.Unlock()

	if update != nil {
		update()
	}
}
