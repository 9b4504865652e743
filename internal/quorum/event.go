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

// Changed asks for one change of the members. Its answer carries ID.
type Changed struct {
	ID   uint64
	Kind ChangeKind
	// Member needs an Addr for AddLearner; else only its ID is read.
	Member Member
}

// TransferAsked asks the leader to hand over to the voter To, or to the most
// up to date one if To is empty. Its answer carries ID.
type TransferAsked struct {
	ID uint64
	To string
}

// ReadAsked asks for an index that is current as of now. Its answer carries ID.
type ReadAsked struct {
	ID uint64
	// Until is when the asker gives up.
	Until time.Time
}

// Compacted hands in the state machine's state after the entry Index.
type Compacted struct {
	Index uint64
	Data  []byte
}

func (Tick) event()          {}
func (Received) event()      {}
func (Proposed) event()      {}
func (Changed) event()       {}
func (TransferAsked) event() {}
func (ReadAsked) event()     {}
func (Compacted) event()     {}
