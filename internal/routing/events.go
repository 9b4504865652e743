package routing

import (
	"net/netip"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Target is one target as the configuration in force describes it.
type Target struct {
	AgentID string
	Service string
	Addr    netip.AddrPort
	Zone    string
	Region  string
	// Capacity is how many requests the warm target bears at once.
	Capacity int
	Cold     bool
	// Leaving targets and those in a zone that is out get no new work.
	Leaving bool
	ZoneOut bool
	// Incarnation is the agent's. Another one starts with no knowledge.
	Incarnation uint64
}

// TargetsChanged replaces the whole list of targets.
type TargetsChanged struct {
	Targets []Target
}

// ReportReceived is an agent's word on its target's load.
type ReportReceived struct {
	AgentID     string
	Incarnation uint64
	// TakenAt is the earliest local time at which the report may have been taken.
	TakenAt  time.Time
	InFlight int
	Limit    int
	Queued   int
	Cold     bool
	Leaving  bool
}

// CreditChanged is a credit that an agent granted to this entry.
type CreditChanged struct {
	AgentID     string
	Incarnation uint64
	// Slots is how many requests this entry may have in flight at the target.
	Slots     int
	ExpiresAt time.Time
	// RetryAt is when an entry that got too few slots should ask again to keep
	// its turn; zero where the agent did not say.
	RetryAt time.Time
}

// FirstByte says that an answer has begun.
type FirstByte struct {
	AgentID     string
	Incarnation uint64
	// Wait is the time from sending to the first byte.
	Wait time.Duration
}

// Finished ends what Choose began, whether or not the request was sent.
type Finished struct {
	AgentID     string
	Incarnation uint64
	Verdict     verdict.Verdict
	// Cause is empty for a whole answer.
	Cause    verdict.Cause
	Duration time.Duration
	// RetryAt is when a refusing agent expects room; zero when it did not say.
	RetryAt time.Time
	// ServerError says that the target answered whole, but with a fault of its own (5xx).
	ServerError bool
}

// ConnectionUnresponsive says that one connection to the target went silent. The target
// may be well: other connections to it may work.
type ConnectionUnresponsive struct {
	AgentID     string
	Incarnation uint64
}

// Request is one request that needs a target.
type Request struct {
	Service string
	Zone    string
	Region  string
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Excluded are agents that this request has already tried.
	Excluded   []string
	Idempotent bool
}

// Choice is the target for one request, counted as in flight until Finished.
type Choice struct {
	AgentID     string
	Addr        netip.AddrPort
	Incarnation uint64
	Cold        bool
	// NeedsCredit says that a credit must be asked for before sending.
	NeedsCredit bool
	// Probe says that the target was set aside and is being tried.
	Probe bool
	// MatchedPrefixes is how many of the ask's prefixes the target is thought to hold.
	MatchedPrefixes int
}

// NoTarget says why there is no target and when asking again makes sense.
type NoTarget struct {
	Cause   verdict.Cause
	RetryAt time.Time
}

// Error implements error.
func (e *NoTarget) Error() string { return "no target: " + string(e.Cause) }

// Refusal returns e as the caller's refusal: nothing was sent.
func (e *NoTarget) Refusal() *verdict.Error { return verdict.Refuse(e.Cause, e.RetryAt) }

// CreditRequest says that the entry should ask an agent for a credit.
type CreditRequest struct {
	Service     string
	AgentID     string
	Addr        netip.AddrPort
	Incarnation uint64
	Wanted      int
	Using       int
}

// Capacity is what this entry may have in flight at a service's targets.
type Capacity struct {
	// Slots is the sum of the credits in force at targets that take new work,
	// with what a warm target without one is trusted with.
	Slots    int
	InFlight int
	Targets  int
}
