package expertmap

// OrderKind is the kind of an Order.
type OrderKind uint8

const (
	// OrderStage asks the rank to load the map of the open switch in addition to
	// the current one.
	OrderStage OrderKind = iota + 1
	// OrderPrepare asks the rank to promise that it begins neither Step nor a
	// later step before the switch is decided.
	OrderPrepare
	// OrderInform sends the rank the latest record.
	OrderInform
	// OrderConfirm sends the current record to a rank that has no confirmed one.
	OrderConfirm
)

// Order is a message from the coordinator to one rank. Every order carries the
// record, so that a rank which missed the end of a switch receives it with the
// next order.
type Order struct {
	Kind        OrderKind
	Rank        int
	Incarnation uint64
	// Fence is the fencing number of the switch, or the index of the confirming
	// entry.
	Fence   Fence
	Version Version
	Step    Step
	Record  Record
}

// Status is a message from a rank to the coordinator. It is sent after each
// order and periodically. Each field only grows within an incarnation and a
// switch, so late and duplicate messages are harmless.
type Status struct {
	Rank        int
	Incarnation uint64
	// Confirmed reports whether the rank has a confirmed record.
	Confirmed bool
	// Joined is the last step that the engine is known to have begun.
	Joined Step
	// Staged, Promised and Refused are the fencing numbers of the latest switch
	// that the rank has staged, promised or refused.
	Staged, Promised, Refused Fence
	// AsOf is the index of the last log entry that the rank's record includes.
	AsOf Fence
	// HighestFence is the highest fencing number of an order that the rank
	// accepted.
	HighestFence Fence
}

// Outcome is the result of a proposed switch.
type Outcome uint8

const (
	// Committed means that the map is in force from its step on.
	Committed Outcome = iota + 1
	// Aborted means that the previous map stays in force.
	Aborted
	// Unknown means that this VM lost the leadership. The outcome is in the log
	// and known to the new leader.
	Unknown
)

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// ActionAppend appends Entry to the replicated log. The entry may be lost.
	ActionAppend ActionKind = iota + 1
	// ActionOrder sends Order to its rank.
	ActionOrder
	// ActionDone reports the outcome of the proposal of Version.
	ActionDone
	// ActionStatus sends Status to the leader of the control VMs.
	ActionStatus
	// ActionQueryPeers asks all other ranks of the group for their Record.
	ActionQueryPeers
	// ActionAnswerPeer answers a peer's query with Record.
	ActionAnswerPeer
	// ActionLoad makes the engine load Version; the caller then reports the
	// result with Loaded.
	ActionLoad
	// ActionDrop makes the engine free Version.
	ActionDrop
	// ActionHold makes the engine begin neither Step nor a later step; the caller
	// then reports the result with Held.
	ActionHold
	// ActionRun makes the engine lift any hold and use Activation.
	ActionRun
)

// Action is a request to the caller of a Coordinator or Participant. Kind
// determines which of the other fields are set.
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
	// Peer is the rank that receives the answer.
	Peer int
}
