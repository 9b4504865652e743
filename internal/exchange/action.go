package exchange

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Kind is the kind of an Action.
type Kind uint8

// The kinds of Action.
const (
	// Choose chooses a target, not before At, and obtains a credit from its agent.
	Choose Kind = iota + 1
	// Claim commits a claim of the idempotency key for the chosen attempt. Replaces is
	// the ID of the attempt whose claim it replaces, if any.
	Claim
	// Send sends the request as the chosen attempt.
	Send
	// QueryAttempt asks the agent of Holder, not before At and over a new connection, for the
	// state of the holder's attempt. An attempt that has not arrived is closed: the
	// agent will not run it later.
	QueryAttempt
	// LookUp asks the control VMs for the claim of the idempotency key without claiming
	// it.
	LookUp
	// Settle records Verdict for the claim, and Answer if the verdict is Ran. Then
	// follows whether or not this succeeds.
	Settle
	// Deliver writes Answer to the caller.
	Deliver
	// Finish ends the exchange, with Err or, if Err is nil, with a complete answer.
	Finish
)

// Action is what the caller of an Exchange has to do next.
type Action struct {
	Kind     Kind
	Replaces string
	Resume   bool
	Holder   *wire.ClaimHolder
	At       time.Time
	Verdict  verdict.Verdict
	Attempt  string
	Answer   *wire.Answer
	Err      *verdict.Error
	Then     *Action
}

// Outcome describes how an attempt that was sent ended.
type Outcome struct {
	// Complete is set if the answer arrived with its end frame and with the right
	// length and digest.
	Complete bool
	// Answer is the complete answer of a keyed request. It is recorded before the
	// caller receives it.
	Answer *wire.Answer
	// Relayed is set if the caller has received a part of the answer.
	Relayed bool
	// CallerDisconnected is set if the caller has disconnected.
	CallerDisconnected bool
	// Err is set if Complete is not.
	Err *verdict.Error
}
