// Package admission decides which requests one agent forwards to its target. It
// performs no I/O: each method handles one event, with the time at which it happened
// as an argument, and returns a decision. The caller serializes the calls.
package admission

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// View is the part of the control configuration that concerns this agent's target.
type View struct {
	Version uint64
	// FreshUntil is when the lease of the view ends. After that the configuration may
	// have changed.
	FreshUntil time.Time
	// ZoneOut says that the operators have taken the availability zone out of service.
	ZoneOut bool
	// Retired says that the operators have retired the target.
	Retired bool
	// ColdLimit and WarmLimit bound the requests in flight at a cold and at a warm target.
	ColdLimit uint32
	WarmLimit uint32
}

// excluded reports whether the operators have excluded the target from new work.
func (v View) excluded() bool { return v.ZoneOut || v.Retired }

// Announcement is the target's status, which it sends about once a second.
type Announcement struct {
	// BootID is different after each start of the target.
	BootID string
	// Service is the service that the target provides.
	Service string
	// Capacity is how many concurrent requests the warm target can handle. If it is 0,
	// only the view limits them.
	Capacity uint32
	// Cold says that the engine reports itself as cold.
	Cold bool
	// InFlight is how many requests the target holds. It is valid only if InFlightKnown
	// is set.
	InFlight      uint32
	InFlightKnown bool
}

// Credit permits one entry to send requests until it expires by the agent's clock.
type Credit struct {
	AgentID     string
	Incarnation uint64
	EntryID     string
	Serial      uint64
	// ExpiresAtTick is the expiry in milliseconds since the start of the agent's
	// incarnation.
	ExpiresAtTick uint64
	Slots         uint32
}

// Request is a request that arrived for admission.
type Request struct {
	AttemptID   string
	Credit      Credit
	Service     string
	ViewVersion uint64
	ViewFresh   bool
}

// Decision is the result of Admit or Reject. Verdict, Cause and RetryAt apply only to a
// rejection.
type Decision struct {
	Admitted bool
	Verdict  verdict.Verdict
	Cause    verdict.Cause
	RetryAt  time.Time
}

// GrantRequest is an entry's request for a credit.
type GrantRequest struct {
	EntryID string
	// Wanted is how many requests the entry would like to have in flight at once.
	Wanted uint32
	// renewal marks a credit that is sent along with an answer, without a request for it.
	renewal bool
}

// Grant is a credit and its expiry.
type Grant struct {
	Credit    Credit
	ExpiresAt time.Time
	// RetryAt is when an entry that got no slots should repeat its request to keep its
	// position in the queue. It is zero if waiting is of no use.
	RetryAt time.Time
}

// AttemptQuery asks for the outcome of an attempt.
type AttemptQuery struct {
	AttemptID           string
	Incarnation         uint64
	CreditExpiresAtTick uint64
	// Close says to mark an attempt that never arrived as closed.
	Close bool
}

// AttemptStatus is the reply to an AttemptQuery.
type AttemptStatus struct {
	State wire.AskState
	// Answer is the recorded answer, or nil if none is stored.
	Answer *wire.Answer
}

// Outcome is the outcome of an admitted attempt.
type Outcome struct {
	// Verdict is Ran for a complete answer, NotRun if the target never received the
	// request, and MayHaveRun otherwise.
	Verdict verdict.Verdict
	// Answer is the complete answer of a request that must not run twice, or nil.
	Answer *wire.Answer
	// Abandoned says that the target may still be working on the request.
	Abandoned bool
}

// Load is the load of the target as the agent reports it.
type Load struct {
	InFlight uint32
	Limit    uint32
	Cold     bool
	Leaving  bool
	// Unknown is how many further requests the target may hold that the agent does not
	// track.
	Unknown uint32
}

// MemoryUse is the amount of state that the core holds.
type MemoryUse struct {
	Attempts    int
	AnswerBytes int
	// Entries counts the entries that have used or requested a credit lately, Waiting
	// those of them that wait for a slot.
	Entries int
	Waiting int
}
