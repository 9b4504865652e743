package quorum

import "github.com/parsleygate/parsleygate/pkg/verdict"

// HardState is what a replica must never forget: its term, and whom it voted for in it.
type HardState struct {
	Term uint64
	// Vote and VoteBirth name the candidate; Vote is empty if there is none.
	Vote           string
	VoteCreationID uint64
}

// EntryKind tells commands from changes of the members.
type EntryKind uint8

const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryMembers holds the members from this entry on.
	EntryMembers
)

// Entry is one entry of the log.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Command []byte
	Members Members
}

// Snapshot is the state after the entry Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	// MembersIndex is the entry that set Members.
	MembersIndex uint64
	Members      Members
	Data         []byte
}

// StoredState is what a replica found in its data folder.
type StoredState struct {
	State    HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Persist is what must be written and synced.
type Persist struct {
	// State is nil if it has not changed. It is always set with Snapshot.
	State *HardState
	// Entries replace all stored entries from the first one's index on; with
	// Snapshot they are the whole log.
	Entries []Entry
	// Snapshot replaces the stored one, before Entries are written.
	Snapshot *Snapshot
}

// Empty reports whether there is nothing to write.
func (p Persist) Empty() bool {
	return p.State == nil && len(p.Entries) == 0 && p.Snapshot == nil
}

// Committed is an entry that may be applied.
type Committed struct {
	Entry Entry
	// ProposalID is set if the entry was proposed here.
	ProposalID uint64
}

// Answer ends a proposal, change or transfer without a committed entry, or
// with Verdict Ran a transfer that has succeeded.
type Answer struct {
	ID      uint64
	Verdict verdict.Verdict
	Reason  Reason
}

// Reason says why an event was refused.
type Reason string

// The reasons of refusals.
const (
	ReasonNone                    Reason = ""
	ReasonNotLeader               Reason = "NotLeader"
	ReasonLeadershipLost          Reason = "LeadershipLost"
	ReasonTransferring            Reason = "Transferring"
	ReasonTooManyInFlight         Reason = "TooManyInFlight"
	ReasonTooLarge                Reason = "TooLarge"
	ReasonMembersChanging         Reason = "MembersChanging"
	ReasonMemberExists            Reason = "MemberExists"
	ReasonMemberUnknown           Reason = "MemberUnknown"
	ReasonMemberBehind            Reason = "MemberBehind"
	ReasonLeaderMustTransferFirst Reason = "LeaderMustTransferFirst"
	ReasonTooFewCurrentVoters     Reason = "TooFewCurrentVoters"
	ReasonBadAddress              Reason = "BadAddress"
	ReasonTimeout                 Reason = "Timeout"
	ReasonFaulty                  Reason = "Faulty"
)

// ReadDone answers a ReadAsked: state applied up to Index, which the same
// batch completes, was current when it was asked. Failed if it could not be shown in time.
type ReadDone struct {
	ID     uint64
	Index  uint64
	Failed bool
}

// Batch is what a series of events led to. The shell does its parts in this
// order, and calls Core.Synced after Persist, before it steps the next event.
type Batch struct {
	// SendNow may leave before Persist: entries of a leader, whose own copy does
	// not count before it is synced.
	SendNow []Message
	Persist Persist
	// Send depends on Persist and must not leave before it is synced.
	Send []Message
	// Restore replaces the state machine's state, before Apply.
	Restore *Snapshot
	Apply   []Committed
	Answers []Answer
	Reads   []ReadDone
}

// Empty reports whether there is nothing to do.
func (b *Batch) Empty() bool {
	return len(b.SendNow) == 0 && b.Persist.Empty() && len(b.Send) == 0 && b.Restore == nil &&
		len(b.Apply) == 0 && len(b.Answers) == 0 && len(b.Reads) == 0
}
