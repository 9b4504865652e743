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
	Engine  EngineFigures
	// PrioritizedGap is the shortest gap between two events that a route to the service accepts;
	// zero unless its routes have different priorities. It is set in tables that control VMs
	// publish, for processes that receive no routes.
	PrioritizedGap time.Duration
}

// EngineFigures are the published figures of the speed of a service's engines. All are zero if
// none are published.
type EngineFigures struct {
	// Stride is the number of steps in a pass. A stream has an event in each pass.
	Stride int
	// StepTime is the fixed part of a step. SequenceTime is what each running sequence adds to
	// it, and ContextTime what each 1,000 tokens of its context add.
	StepTime     time.Duration
	SequenceTime time.Duration
	ContextTime  time.Duration
	// PromptTokensPerSecond is how fast prompts are read, in pieces of at most ChunkTokens per
	// step. PairTime is what each million pairs of a token and an earlier one add.
	PromptTokensPerSecond float64
	ChunkTokens           int
	PairTime              time.Duration
	// ExpertShare is the part of the work for tokens that is done by experts, 0 to 1.
	ExpertShare float64
	// UsualPromptTokens and UsualAnswerTokens are the mean sizes of a request.
	UsualPromptTokens float64
	UsualAnswerTokens float64
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
	summaries  map[string]routeSummary
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
		summaries:   summarize(d.Routes),
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

// routeSummary describes the routes that lead to a service.
type routeSummary struct {
	priority uint32
	// hasPriorities is set if the routes have different priorities.
	hasPriorities     bool
	eventGap, timeout time.Duration
}

// HasPriorities reports whether the routes that lead to a service declare different priorities.
func (t *Table) HasPriorities(service string) bool { return t.summaries[service].hasPriorities }

// StreamTimes returns the shortest accepted gap between two events, zero if none is declared, and
// the longest timeout of the routes that lead to a service.
func (t *Table) StreamTimes(service string) (eventGap, timeout time.Duration) {
	s := t.summaries[service]

	return s.eventGap, s.timeout
}

func (s routeSummary) prioritizedGap() time.Duration {
	if !s.hasPriorities {
		return 0
	}

	return s.eventGap
}

// summarize returns a summary of the routes to each service.
func summarize(all []Route) map[string]routeSummary {
	out := make(map[string]routeSummary)

	for i := range all {
		r := &all[i]

		for _, share := range r.Shares {
			s, known := out[share.Service]
			s.hasPriorities = s.hasPriorities || known && s.priority != r.Priority
			s.priority = r.Priority
			s.timeout = max(s.timeout, r.Timeout)

			if r.EventGapTarget > 0 && (s.eventGap == 0 || r.EventGapTarget < s.eventGap) {
				s.eventGap = r.EventGapTarget
			}

			out[share.Service] = s
		}
	}

	return out
}
