// Package routes holds the routing configuration that operators declare: which host and
// path prefix lead to which services, with which timeouts and retries, and for which
// workspaces.
package routes

import (
	"strings"
	"time"
)

// RetryPolicy defines whether a request may be sent again after its answer was lost.
type RetryPolicy uint8

const (
	// RetryNever is for requests that may run at most once.
	RetryNever RetryPolicy = iota
	// RetryAlways is for requests that may be run again from the beginning.
	RetryAlways
	// RetryResume is for event streams. Another target may continue such a stream after
	// the last event that the caller received.
	RetryResume
)

// Share is the weight with which a service receives a route's requests.
type Share struct {
	Service string
	Weight  uint32
}

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Retry  RetryPolicy
	// Stream is set if the answers are event streams.
	Stream bool
	// Timeout bounds how long a caller waits for an answer.
	Timeout time.Duration
	// LatencyTarget is the time within which the answer, or the first event of a
	// stream, is of full use to the caller. EventGapTarget is the same for the time
	// between two events.
	LatencyTarget  time.Duration
	EventGapTarget time.Duration
	// Priority is the priority of the requests, 0 first.
	Priority uint32
	// MaxTargets bounds how many targets one request may be sent to.
	MaxTargets int
	// Anonymous is set if requests need no workspace key.
	Anonymous bool
	Shares    []Share
}

// Pick returns the service for a request, drawn by weight. n is a random number in
// [0, 1).
func (r *Route) Pick(n float64) string {
	total := uint64(0)
	for _, s := range r.Shares {
		total += uint64(s.Weight)
	}

	offset := uint64(n * float64(total))

	for _, s := range r.Shares {
		if offset < uint64(s.Weight) {
			return s.Service
		}

		offset -= uint64(s.Weight)
	}

	return ""
}

// ExpertShape bounds how the experts of a service's groups may be placed on ranks.
type ExpertShape struct {
	Sets    int
	Experts int
	// Slots is how many experts of a set fit on a rank.
	Slots int
	// SpareSlots is how many new experts of a set one preparation may load on a rank.
	SpareSlots int
	// CopyTime is how long a rank needs to copy one expert.
	CopyTime time.Duration
}

// Service is a service that routes lead to.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one target from all entries together.
	MaxConnections int
	// ColdDuration is how long a target stays cold after it has started.
	ColdDuration time.Duration
	// ColdPerSecond is how many requests per second a cold target can handle, or 0 if
	// no bound is declared.
	ColdPerSecond float64
	// HealthPath is the path of a target's health check.
	HealthPath string
	// Slots is how many requests an engine runs at once, or 0 if the service has no
	// engines.
	Slots   int
	Experts ExpertShape
}

// Workspace is a customer, identified by the keys that its callers present.
type Workspace struct {
	Name     string
	Keys     []string
	Priority uint32
}

// Limits bound the requests of callers and the time taken to receive them.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Declaration is one version of the configuration that operators declare.
type Declaration struct {
	Number     uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// routeKey identifies a route; no two routes may share one.
type routeKey struct{ host, prefix string }

// Table indexes a valid declaration for lookups. It is immutable.
type Table struct {
	Declaration

	routes     map[routeKey]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
}

// NewTable checks d and returns a table of it.
func NewTable(d Declaration) (*Table, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}

	t := &Table{
		Declaration: d,
		routes:      make(map[routeKey]*Route, len(d.Routes)),
		services:    make(map[string]*Service, len(d.Services)),
		workspaces:  map[string]*Workspace{},
	}

	for i := range d.Routes {
		t.routes[keyOf(&d.Routes[i])] = &d.Routes[i]
	}

	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}

	for i := range d.Workspaces {
		for _, key := range d.Workspaces[i].Keys {
			t.workspaces[key] = &d.Workspaces[i]
		}
	}

	return t, nil
}

func keyOf(r *Route) routeKey { return routeKey{host: strings.ToLower(r.Host), prefix: r.Prefix} }

// Find returns the route of host with the longest prefix of path, or nil.
func (t *Table) Find(host, path string) *Route {
	host = strings.ToLower(host)

	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := t.routes[routeKey{host: host, prefix: path[:end+1]}]; r != nil {
			return r
		}
	}

	return nil
}

// Service returns the service of that name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Workspace returns the workspace that holds key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspaces[key] }

// RequiresKey reports whether callers must present a workspace key on routes that are
// not anonymous.
func (t *Table) RequiresKey() bool { return len(t.Workspaces) > 0 }
