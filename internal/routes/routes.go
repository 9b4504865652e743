// Package routes is the aggregate of what operators declare about callers'
// requests: which host and path prefix lead to which services, for how long, how
// often, and for which workspaces.
package routes

import (
	"strings"
	"time"
)

// RetryPolicy says what may be done with a request whose answer was lost.
type RetryPolicy uint8

const (
	// RetryNever means that the request may run once at most.
	RetryNever RetryPolicy = iota
	// RetryAlways means that the request may run again from its beginning.
	RetryAlways
	// RetryResume means that the request is an event stream that another target may continue
	// after the last event that reached the caller.
	RetryResume
)

// Share is the part of a route's requests that a service gets.
type Share struct {
	Service string
	Weight  uint32
}

// Route carries the requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Retry  RetryPolicy
	// Stream says that answers are event streams.
	Stream bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time within which the answer, or the first event of a stream, is
	// of full use to the caller. Gap is the same for the pause between two events.
	LatencyTarget  time.Duration
	EventGapTarget time.Duration
	// Priority is the rank of the requests, 0 first.
	Priority uint32
	// MaxTargets is how many targets one request may be sent to.
	MaxTargets int
	// Anonymous requests need no key.
	Anonymous bool
	Shares    []Share
}

// Pick returns the service for a request, by n, a random number in [0, 1).
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

// ExpertShape is how the experts of a service's groups may be placed.
type ExpertShape struct {
	Sets    int
	Experts int
	// Slots is how many experts of a set fit on a rank.
	Slots int
	// SpareSlots is how many experts of a set one preparation may bring to a rank.
	SpareSlots int
	// CopyTime is how long a rank copies one expert.
	CopyTime time.Duration
}

// Service is one service that routes lead to.
type Service struct {
	Name string
	// MaxConnections is how many connections a target takes from all callers together.
	MaxConnections int
	// ColdDuration is how long a target that has started stays cold.
	ColdDuration time.Duration
	// ColdPerSecond is how many requests a cold target bears in a second; zero
	// where no bound is declared.
	ColdPerSecond float64
	// HealthPath answers whether a target is well.
	HealthPath string
	// Slots is how many requests an engine runs at once; zero for a plain service.
	Slots   int
	Experts ExpertShape
}

// Workspace is a customer with the keys that its callers show.
type Workspace struct {
	Name     string
	Keys     []string
	Priority uint32
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Declaration is everything that operators declare under one number.
type Declaration struct {
	Number     uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// routeKey is where a route stands; no two routes share one.
type routeKey struct{ host, prefix string }

// Table answers questions about a valid declaration. It never changes.
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

// Find returns the route with the longest prefix that begins path, or nil.
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

// RequiresKey reports whether callers must show a key on routes that are not anonymous.
func (t *Table) RequiresKey() bool { return len(t.Workspaces) > 0 }
