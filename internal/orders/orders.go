// Package orders decides which orders of the control plane an agent passes on to
// its engine. It is a core without I/O: each method takes one event and the time
// at which it happened. The caller serialises the calls.
//
// Orders carry fencing numbers, which only grow. Some engines refuse an old
// number, others ignore it; so the number is checked here for all of them.
package orders

import "time"

// Kind is what an order changes.
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

// Order tells the engine to change. Two orders are the same if all fields are equal.
type Order struct {
	AgentID       string
	Incarnation   uint64
	FencingNumber uint64
	Kind          Kind
	// Subject names the model, adapter or role; Version its version.
	Subject string
	Version string
	// MapVersion and Step are set for expert maps; Payload holds the placement.
	MapVersion uint64
	Step       uint64
	Payload    string
}

// Cause says why an order was not carried out.
type Cause string

// The causes of refused and failed orders.
const (
	CauseNone Cause = ""
	// CauseIncarnation: the order was meant for another agent or an earlier incarnation.
	CauseIncarnation Cause = "EarlierIncarnation"
	// CauseHighestUnknown: after a restart the agent doesn't know the highest number yet.
	CauseHighestUnknown Cause = "HighestNumberUnknown"
	// CauseFenced: a higher number has been seen.
	CauseFenced Cause = "FencedOff"
	// CauseConflict: the same number came with other content.
	CauseConflict Cause = "FencingConflict"
	// CauseAnswerLost: the number was used before the agent restarted; what became of
	// it isn't known here. A new number settles it.
	CauseAnswerLost Cause = "AnswerLost"
	// CauseBusy: an earlier order is being carried out.
	CauseBusy Cause = "Busy"
	// CauseUnsettled: an earlier order may still be worked on by an engine that ignores
	// fencing numbers.
	CauseUnsettled Cause = "EarlierOrderUnsettled"
	// CauseMalformed: the order has no number or an unknown kind.
	CauseMalformed Cause = "Malformed"
	// CauseLeaving: the agent is leaving.
	CauseLeaving Cause = "Leaving"
	// CauseEngineRestarted: the engine restarted while it carried the order out.
	CauseEngineRestarted Cause = "EngineRestarted"
	// CauseUnanswered: the engine didn't answer; it may still carry the order out.
	CauseUnanswered Cause = "EngineSilent"
)

// Result is what became of an order.
type Result struct {
	Done  bool
	Cause Cause
	// Detail is the engine's own word on a failure.
	Detail string
}

// Action is what the caller does with an order.
type Action uint8

const (
	// ActionRefuse says: answer with Result; the order wasn't sent.
	ActionRefuse Action = iota
	// ActionAnswer says: answer with Result, the first answer to this order.
	ActionAnswer
	// ActionSend says: send the order to the engine, then call Completed or Lost.
	ActionSend
	// ActionJoin says: the same order is being carried out, wait for its result.
	ActionJoin
)

// Decision is the answer to Give.
type Decision struct {
	Action  Action
	Result  Result
	Highest uint64
}

// Report is what the engine says of itself.
type Report struct {
	BootID string
	// Highest is the highest number that the engine has seen, where Counts says that it keeps one.
	Highest    uint64
	HasHighest bool
	// EnforcesFencing says that the engine itself refuses an old number.
	EnforcesFencing bool
	// Idle says that the engine works on no order; false says nothing.
	Idle bool
}

// DefaultUnsettledTimeout is how long an order without an answer bars later ones.
const DefaultUnsettledTimeout = 10 * time.Minute

// orderState is how far the order with the highest number has come.
type orderState uint8

const (
	// stateUnknown: the number was learnt, its order isn't known here.
	stateUnknown orderState = iota
	// stateNotSent: it came while another was running and wasn't sent.
	stateNotSent
	stateRunning
	stateEnded
)
