package quorum

import "time"

// Event is what happened outside of the core: one of the types below.
type Event interface{ event() }

// Tick lets deadlines take effect. It is due at Core.Deadline.
type Tick struct{}

// Received is a message from another replica.
type Received struct{ Message Message }

// Proposed asks for a command to be committed. Its answer carries ID.
type Proposed struct {
	ID      uint64
	Command []byte
}

// ChangeKind names a change of the members.
type ChangeKind uint8

// The changes of the members.
const (
	AddLearner ChangeKind = iota
	Promote
	Remove
	// CheckStop changes nothing. It is answered with verdict Ran if the group can
	// go on without the member, by answers to a round begun after it was asked.
	CheckStop
)

// ChangeRequested asks for one change of the members. Its answer carries ID.
type ChangeRequested struct {
	ID   uint64
	Kind ChangeKind
	// Member needs an Addr for AddLearner; else only its ID is read.
	Member Member
}

// TransferRequested asks the leader to hand over to the voter To, or to the most
// up to date one if To is empty. Its answer carries ID.
type TransferRequested struct {
	ID uint64
	To string
}

// ReadRequested asks for an index that is current as of now. Its answer carries ID.
type ReadRequested struct {
	ID uint64
	// Deadline is when the asker gives up.
	Deadline time.Time
}

// SnapshotTaken hands in the state machine's state after the entry Index.
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
