package agent

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Paths of the agent's HTTP interface, in addition to those of the twirp service.
const (
	RequestPath  = "/v1/request"
	AnnouncePath = "/v1/announce"
	DumpPath     = "/v1/dump"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 4 << 10

// Announcement is the JSON message in which the target reports its state once a second.
type Announcement struct {
	// BootID is unique to each start of the target.
	BootID string
	// Address is where the target serves requests.
	Address netip.AddrPort
	Service string
	// Capacity is how many concurrent requests the warm target can handle.
	Capacity uint32
	// Cold is set while the engine considers itself cold.
	Cold bool
	// InFlight is the number of requests in the target. A target that omits it waits longer
	// for its first request after a restart of the agent.
	InFlight *uint32 `json:",omitempty"`
	// Group and Rank are set for a target in an expert group.
	Group string `json:",omitempty"`
	Rank  uint32 `json:",omitempty"`
	// FencingNumber is the highest one that the engine has seen, or nil if it keeps none.
	FencingNumber *uint64 `json:",omitempty"`
	// Fences reports that the engine itself rejects old fencing numbers.
	Fences bool `json:",omitempty"`
	// OrdersIdle reports that the engine is not carrying out any order.
	OrdersIdle bool `json:",omitempty"`
}

type targetState struct {
	latest atomic.Pointer[Announcement]
}

func (t *targetState) load() *Announcement { return t.latest.Load() }

func (a *Agent) routes() http.Handler {
	r := chi.NewRouter()
	r.Post(RequestPath, a.serveRequest)
	r.Post(AnnouncePath, a.serveAnnounce)
	r.Get(DumpPath, a.serveDump)
	if a.Mount != nil {
		a.Mount(r)
	}

	r.Mount(wire.AgentPathPrefix, wire.NewAgentServer(&service{agent: a}))

	return r
}

// serveAnnounce handles an announcement. Only processes on the same VM may announce the
// target.
func (a *Agent) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || !from.Addr().Unmap().IsLoopback() {
		http.Error(w, "announcements come over loopback only", http.StatusForbidden)
		return
	}

	var ann Announcement

	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(time.Now().Add(a.Settings.ReadTimeout))

	body := http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)
	if err := json.NewDecoder(body).Decode(&ann); err != nil {
		http.Error(w, "announcement is no JSON: "+err.Error(), http.StatusBadRequest)
		return
	}

	_ = connection.SetReadDeadline(time.Time{})

	if ann.BootID == "" || ann.Service == "" || !ann.Address.IsValid() || ann.Address.Port() == 0 {
		http.Error(w, "BootID, Service and Address (IP:port) are needed", http.StatusBadRequest)
		return
	}

	a.announce(&ann)
	w.WriteHeader(http.StatusNoContent)
}

func (a *Agent) announce(ann *Announcement) {
	previous := a.target.latest.Swap(ann)
	if previous == nil || previous.BootID != ann.BootID {
		a.Logger.Info("Target announced a new boot.", "boot", ann.BootID, "service", ann.Service, "address", ann.Address)
		a.counters.boots.Inc(1)
	}

	event := admission.Announcement{
		BootID:   ann.BootID,
		Service:  ann.Service,
		Capacity: ann.Capacity,
		Cold:     ann.Cold,
	}

	if ann.InFlight != nil {
		event.InFlight = *ann.InFlight
		event.InFlightKnown = true
	}

	now := a.Now()
	a.admitter.announce(now, event)
	a.orders.reportEngine(now, ann)
}

// Dump is the agent's state as returned by GET /v1/dump.
type Dump struct {
	ID          string
	Zone        string
	Incarnation uint64
	Address     netip.AddrPort
	Target      *Announcement
	View        admission.View
	Load        admission.Load
	Memory      admission.MemoryUse
	// HighestOrder is the highest fencing number seen, RunningOrder that of the order at the
	// engine.
	HighestOrder uint64
	RunningOrder uint64
}

func (a *Agent) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")

	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")

	if err := enc.Encode(a.Dump()); err != nil {
		a.Logger.Debug("Writing the dump failed.", "err", err)
	}
}

// Dump returns the agent's current state.
func (a *Agent) Dump() Dump {
	a.prepare()

	highest, running := a.orders.fencingNumbers()
	load, memory := a.admitter.state(a.Now())

	return Dump{
		ID:           a.ID,
		Zone:         a.Zone,
		Incarnation:  a.Incarnation,
		Address:      a.address(),
		Target:       a.target.load(),
		View:         a.View(),
		Load:         load,
		Memory:       memory,
		HighestOrder: highest,
		RunningOrder: running,
	}
}
