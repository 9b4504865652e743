// Package orders decides which orders of the control plane an agent forwards to its
// engine. It performs no I/O: each method handles one event, with the time at which
// it happened as an argument. The caller serializes the calls.
//
// Orders carry fencing numbers, which only increase. Some engines reject an old
// number and others ignore the number, so it is checked here for all engines.
package orders

import "time"

// Kind says what an order changes.
type Kind uint8

// The kinds of orders.
const (
	KindNone Kind = iota
	KindLoadModel
	KindLoadAdapter
	KindChangeRole
	KindStageMap
	KindSwitchMap
)

// Order is a command to the engine to change its state. Two orders are the same if all
// fields are equal.
type Order struct {
	AgentID       string
	Incarnation   uint64
	FencingNumber uint64
	Kind          Kind
	// Subject is the name of the model, adapter or role, and Version its version.
	Subject string
	Version string
	// MapVersion and Step are set for expert maps, and Payload holds the placement.
	MapVersion uint64
	Step       uint64
	Payload    string
}

// Cause is the reason why an order was not carried out.
type Cause string

// The causes of rejected and failed orders.
const (
	CauseNone Cause = ""
	// CauseIncarnation: the order names another agent or another incarnation of this one.
	CauseIncarnation Cause = "EarlierIncarnation"
	// CauseHighestUnknown: the agent has restarted and has not received the highest
	// fencing number yet.
	CauseHighestUnknown Cause = "HighestNumberUnknown"
	// CauseFenced: an order with a higher fencing number has been seen.
	CauseFenced Cause = "FencedOff"
	// CauseConflict: an order with the same number and different content has been seen.
	CauseConflict Cause = "FencingConflict"
	// CauseAnswerLost: the number was used before the agent restarted, and the result of
	// that order is unknown. Submitting the order with a new number resolves it.
	CauseAnswerLost Cause = "AnswerLost"
	// CauseBusy: the engine is carrying out an earlier order.
	CauseBusy Cause = "Busy"
	// CauseUnsettled: the engine ignores fencing numbers and may still be working on an
	// earlier order.
	CauseUnsettled Cause = "EarlierOrderUnsettled"
	// CauseMalformed: the order has no fencing number or an unknown kind.
	CauseMalformed Cause = "Malformed"
	// CauseLeaving: the agent is draining.
	CauseLeaving Cause = "Leaving"
	// CauseEngineRestarted: the engine restarted while it was carrying out the order.
	CauseEngineRestarted Cause = "EngineRestarted"
	// CauseUnanswered: the engine did not answer. It may still carry out the order.
	CauseUnanswered Cause = "EngineSilent"
)

// Result is the outcome of an order.
type Result struct {
	Done  bool
	Cause Cause
	// Detail is the engine's description of a failure.
	Detail string
}

// Action is what the caller of Submit must do with the order.
type Action uint8

const (
	// ActionReject means: answer with Result. The order is not sent.
	ActionReject Action = iota
	// ActionAnswer means: answer with Result, which was recorded when the order ended.
	ActionAnswer
	// ActionSend means: send the order to the engine, then call Completed or Unanswered.
	ActionSend
	// ActionJoin means: wait for the result of the same order, which is being carried out.
	ActionJoin
)

// Decision is the result of Submit.
type Decision struct {
	Action  Action
	Result  Result
	Highest uint64
}

// Report is a status report of the engine.
type Report struct {
	BootID string
	// Highest is the highest fencing number that the engine has seen. It is valid only
	// if HasHighest is set.
	Highest    uint64
	HasHighest bool
	// EnforcesFencing says that the engine itself rejects old fencing numbers.
	EnforcesFencing bool
	// Idle says that the engine is working on no order. False means unknown.
	Idle bool
}

// DefaultUnsettledTimeout is the default of Core.UnsettledTimeout.
const DefaultUnsettledTimeout = 10 * time.Minute

// orderState is the progress of the order with the highest number.
type orderState uint8

const (
	// stateUnknown: only the number was observed, its order is unknown.
	stateUnknown orderState = iota
	// stateNotSent: the order was received but rejected as busy or unsettled.
	stateNotSent
	stateRunning
	stateEnded
)
