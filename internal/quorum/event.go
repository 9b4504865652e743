package quorum

import "time"

// Event is an input of the core: one of the types below.
type Event interface{ event() }

// Tick processes expired timeouts. It is due at Core.Deadline.
type Tick struct{}

// Received holds a message from another replica.
type Received struct{ Message Message }

// Proposed requests that a command be committed. The answer carries ID.
type Proposed struct {
	ID      uint64
	Command []byte
	// AsOf, unless it is 0, is the log index that the proposer had read when it knew that the command
	// was still wanted. The leader refuses the command if its log holds a conflicting one after
	// that index, see Config.Conflicts.
	AsOf uint64
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	AddLearner ChangeKind = iota
	Promote
	Remove
	// CheckStop changes nothing. The answer has the verdict Ran if the group keeps a
	// quorum without the member, as confirmed by a round that began after the request.
	CheckStop
)

// ChangeRequested requests one membership change. The answer carries ID.
type ChangeRequested struct {
	ID   uint64
	Kind ChangeKind
	// Member needs an Addr for AddLearner. For the other kinds only its ID is used.
	Member Member
}

// TransferRequested requests that the leader transfer its leadership to the voter To, or
// to the most up-to-date voter if To is empty. The answer carries ID.
type TransferRequested struct {
	ID uint64
	To string
}

// ReadRequested requests a read index for a linearizable read. The answer carries ID.
type ReadRequested struct {
	ID uint64
	// Deadline is the time until which the caller waits.
	Deadline time.Time
}

// SnapshotTaken passes in the state of the state machine after the entry Index. The core
// replaces its snapshot and compacts the log.
type SnapshotTaken struct {
	Index uint64
	Data  []byte
}

func (Tick) event()              {}
func (Received) event()          {}
func (Proposed) event()          {}
func (ChangeRequested) event()   {}
func (TransferRequested) event() {}
func (ReadRequested) event()     {}
func (SnapshotTaken) event()     {}
