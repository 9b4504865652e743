package routing

import (
	"net/netip"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Target describes one target, as in the current configuration.
type Target struct {
	AgentID string
	Service string
	Address netip.AddrPort
	Zone    string
	Region  string
	// Capacity is how many requests the target can handle at once when warm.
	Capacity int
	Cold     bool
	// Draining targets, and targets with ZoneOut set, get no new requests.
	Draining bool
	ZoneOut  bool
	// Incarnation is that of the agent. A new incarnation starts without recorded
	// state.
	Incarnation uint64
}

// TargetsChanged replaces the list of targets.
type TargetsChanged struct {
	Targets []Target
}

// ReportReceived is a load report of a target's agent.
type ReportReceived struct {
	AgentID     string
	Incarnation uint64
	// TakenAt is the earliest local time at which the report may have been taken.
	TakenAt  time.Time
	InFlight int
	Limit    int
	Queued   int
	Cold     bool
	Draining bool
}

// CreditChanged is a credit that an agent granted to this entry.
type CreditChanged struct {
	AgentID     string
	Incarnation uint64
	// Slots is how many requests this entry may have in flight at the target.
	Slots     int
	ExpiresAt time.Time
	// RetryAt is when an entry that got too few slots should request again to keep its
	// turn; zero if the agent did not set it.
	RetryAt time.Time
}

// FirstByte reports the first byte of an answer.
type FirstByte struct {
	AgentID     string
	Incarnation uint64
	// Wait is the time from sending the request to the first byte.
	Wait time.Duration
}

// Finished ends a Choice, whether or not the request was sent.
type Finished struct {
	AgentID     string
	Incarnation uint64
	Verdict     verdict.Verdict
	// Cause is empty for a complete answer.
	Cause    verdict.Cause
	Duration time.Duration
	// RetryAt is when an agent that refused the request expects free capacity; zero if
	// it did not set it.
	RetryAt time.Time
	// ServerError is true if the answer is complete but has a 5xx status.
	ServerError bool
}

// ConnectionUnresponsive reports that one connection to the target stopped responding.
// Other connections to the target may still work.
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
	// Excluded lists the agents that this request has already tried.
	Excluded   []string
	Idempotent bool
}

// Choice is the target of one request. It counts as in flight until Finish.
type Choice struct {
	AgentID     string
	Address     netip.AddrPort
	Incarnation uint64
	Cold        bool
	// NeedsCredit is true if a credit must be requested before sending.
	NeedsCredit bool
	// Probe is true if the target is ejected and this request probes it.
	Probe bool
	// MatchedPrefixes is how many of the request's prefixes the target is expected to
	// hold.
	MatchedPrefixes int
}

// NoTarget is the error of a request for which there is no usable target. It holds the
// cause and when to retry.
type NoTarget struct {
	Cause   verdict.Cause
	RetryAt time.Time
}

// Error implements error.
func (e *NoTarget) Error() string { return "no target: " + string(e.Cause) }

// Refusal returns e as the error for the caller. The request was not sent.
func (e *NoTarget) Refusal() *verdict.Error { return verdict.Refuse(e.Cause, e.RetryAt) }

// CreditRequest is a request for a credit that the entry should send to an agent.
type CreditRequest struct {
	Service     string
	AgentID     string
	Address     netip.AddrPort
	Incarnation uint64
	Wanted      int
	Using       int
}

// Capacity is how many requests this entry may have in flight at a service's targets.
type Capacity struct {
	// Slots is InFlight plus the number of further requests that may be sent to targets
	// that accept new ones. A warm target needs no credit to count.
	Slots    int
	InFlight int
	Targets  int
}
