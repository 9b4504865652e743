// Package admission decides which requests one agent lets through to its target.
// It is a core without I/O: each method takes one event and the time at which it
// happened, and returns a decision. The caller serialises the calls.
package admission

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// View is what the control configuration says about this agent's target.
type View struct {
	Version uint64
	// FreshUntil is when the freshness lease of the view ends.
	FreshUntil time.Time
	// ZoneOut says that the operators have taken the availability zone out.
	ZoneOut bool
	// Retired says that the operators have retired the target.
	Retired bool
	// ColdLimit and WarmLimit bound the requests in flight on a cold and on a warm target.
	ColdLimit uint32
	WarmLimit uint32
}

// excluded reports whether the operators let no work go to the target.
func (v View) excluded() bool { return v.ZoneOut || v.Retired }

// Announcement is the target's word on itself, repeated about once a second.
type Announcement struct {
	// BootID is fresh at each start of the target.
	BootID string
	// Service is what the target carries.
	Service string
	// Capacity is how many requests the warm target bears at once; 0 leaves it to the view.
	Capacity uint32
	// Cold is the engine's own word that it is cold.
	Cold bool
	// InFlight is how many requests the target holds, where Counted says that it reports this.
	InFlight      uint32
	InFlightKnown bool
}

// Credit is the permission of one entry to send work, dated by the agent's own clock.
type Credit struct {
	AgentID     string
	Incarnation uint64
	EntryID     string
	Serial      uint64
	// ExpiresAtTick is in milliseconds since the agent's incarnation began.
	ExpiresAtTick uint64
	Slots         uint32
}

// Request is a request that asks to be let in.
type Request struct {
	AttemptID   string
	Credit      Credit
	Service     string
	ViewVersion uint64
	ViewFresh   bool
}

// Decision is the answer to an Arrival. Verdict, Cause and RetryAt are set for a refusal.
type Decision struct {
	Admitted bool
	Verdict  verdict.Verdict
	Cause    verdict.Cause
	RetryAt  time.Time
}

// GrantRequest is an entry's request for a credit.
type GrantRequest struct {
	EntryID string
	// Wanted is how many requests the entry would like to have in flight.
	Wanted uint32
	// renewal marks a credit that rides on an answer: the entry didn't ask.
	renewal bool
}

// Grant is a credit and the time until which it holds.
type Grant struct {
	Credit    Credit
	ExpiresAt time.Time
	// RetryAt is when an entry that got no slots should ask again to keep its turn;
	// zero where waiting is of no use.
	RetryAt time.Time
}

// AttemptQuery asks what became of an attempt.
type AttemptQuery struct {
	AttemptID           string
	Incarnation         uint64
	CreditExpiresAtTick uint64
	// Close marks an attempt that was never seen as closed.
	Close bool
}

// AttemptStatus is the answer to a Question.
type AttemptStatus struct {
	State wire.AskState
	// Answer is set for a recorded answer that is still held whole.
	Answer *wire.Answer
}

// Outcome is how an admitted attempt ended.
type Outcome struct {
	// Verdict is Ran for a whole answer, NotRun where the target never got the
	// request, and MayHaveRun for all else.
	Verdict verdict.Verdict
	// Answer is the whole answer of a request that must not be repeated, or nil.
	Answer *wire.Answer
	// Abandoned says that the target may still work on the request.
	Abandoned bool
}

// Load is what the agent reports about its target.
type Load struct {
	InFlight uint32
	Limit    uint32
	Cold     bool
	Leaving  bool
	// Unknown is how many requests the target may hold that the agent can't account for.
	Unknown uint32
}

// MemoryUse is what the core remembers.
type MemoryUse struct {
	Attempts    int
	AnswerBytes int
	// Entries have a credit or wait for one; Waiting counts the latter.
	Entries int
	Waiting int
}
