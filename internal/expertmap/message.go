package expertmap

// OrderKind names what an order asks of a rank.
type OrderKind uint8

const (
	// OrderStage asks the rank to load the map of the open switch beside the present one.
	OrderStage OrderKind = iota + 1
	// OrderPrepare asks the rank to promise that it begins no step from Step on until told.
	OrderPrepare
	// OrderInform tells the rank what the log says.
	OrderInform
	// OrderConfirm tells a rank that does not know which map rules.
	OrderConfirm
)

// Order goes from the coordinator to one rank. Every order carries what the
// log says, so each also settles switches of which the rank missed the end.
type Order struct {
	Kind        OrderKind
	Rank        int
	Incarnation uint64
	// Fence is the number of the switch, or the index of the confirming entry.
	Fence   Fence
	Version Version
	Step    Step
	Record  Record
}

// Status goes from a rank to the coordinator: after each order, and again and
// again. Each field only grows within an incarnation and a switch, so late and
// doubled messages do no harm.
type Status struct {
	Rank        int
	Incarnation uint64
	// Confirmed says that the rank knows which map rules.
	Confirmed bool
	// Joined is the last step that the engine is known to have begun.
	Joined Step
	// Staged, Promised and Refused name the latest switch for which the rank did so.
	Staged, Promised, Refused Fence
	// AsOf is how far the rank knows the log.
	AsOf Fence
	// HighestFence is the highest fencing number of an order that the rank accepted.
	HighestFence Fence
}

// Outcome says how a proposed switch ended.
type Outcome uint8

const (
	// Committed means that the map rules from its step on.
	Committed Outcome = iota + 1
	// Aborted means that the former map rules on.
	Aborted
	// Unknown means that this VM lost the lead; the log and the new leader know.
	Unknown
)

// ActionKind names what a core asks its shell to do.
type ActionKind uint8

const (
	// ActionAppend appends Entry to the replicated log; it may be lost.
	ActionAppend ActionKind = iota + 1
	// ActionOrder sends Order to its rank.
	ActionOrder
	// ActionDone reports how the proposal of Version ended.
	ActionDone
	// ActionStatus sends Status to the control leader.
	ActionStatus
	// ActionQueryPeers asks all other ranks of the group for their Record.
	ActionQueryPeers
	// ActionAnswerPeer answers a peer's question with Record.
	ActionAnswerPeer
	// ActionLoad has the engine fetch Version; the shell then calls Loaded.
	ActionLoad
	// ActionDrop has the engine free Version.
	ActionDrop
	// ActionHold has the engine begin no step from Step on; the shell then calls Held.
	ActionHold
	// ActionRun has the engine lift any hold and use Ruling.
	ActionRun
)

// Action is one thing to do. Which fields are set follows from Kind.
type Action struct {
	Kind       ActionKind
	Entry      Entry
	Order      Order
	Status     Status
	Record     Record
	Activation Activation
	Version    Version
	Step       Step
	Fence      Fence
	Outcome    Outcome
	// Peer is the rank to tell.
	Peer int
}
