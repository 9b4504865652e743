package exchange

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Kind names what the shell does next.
type Kind uint8

// The kinds of Action.
const (
	// Choose picks a target, not before At, and gets a credit from its agent.
	Choose Kind = iota + 1
	// Claim commits a claim for the chosen attempt, replacing Replaces.
	Claim
	// Send sends the chosen attempt.
	Send
	// Ask asks Holder's agent, over a new connection, what became of its attempt,
	// not before At, and closes it.
	Ask
	// LookUp asks the control VMs what the key stands for, without claiming it.
	LookUp
	// Settle records Verdict, and with Ran the Answer, for the claim; Then follows whatever comes of it.
	Settle
	// Deliver gives Answer to the caller, less what has been relayed already.
	Deliver
	// Finish ends the exchange: with Err, or whole where Err is nil.
	Finish
)

// Action is one step for the shell.
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

// Outcome tells how an attempt that was sent ended.
type Outcome struct {
	// Complete: the answer arrived with its closing frame, length and digest right.
	Complete bool
	// Answer is the whole answer of a keyed request, which is recorded before it is relayed.
	Answer *wire.Answer
	// Relayed: some of the answer has reached the caller.
	Relayed bool
	// CallerDisconnected: the caller has disconnected.
	CallerDisconnected bool
	// Err is set where Whole is not.
	Err *verdict.Error
}
