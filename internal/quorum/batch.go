package quorum

import "github.com/parsleygate/parsleygate/pkg/verdict"

// HardState is the Raft state that must survive a restart: the current term and the vote
// cast in it.
type HardState struct {
	Term uint64
	// Vote and VoteCreationID identify the candidate. Vote is empty if no vote was cast.
	Vote           string
	VoteCreationID uint64
}

// EntryKind distinguishes commands from membership changes.
type EntryKind uint8

const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryMembers holds the members that are in effect from this entry on.
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

// Snapshot is the state of the state machine after it has applied the entry Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	// MembersIndex is the index of the entry that set Members.
	MembersIndex uint64
	Members      Members
	Data         []byte
}

// StoredState is the state that a replica recovers from its data folder.
type StoredState struct {
	State    HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Persist is the state that must be written and synced.
type Persist struct {
	// State is nil if the hard state has not changed. It is always set together with
	// Snapshot.
	State *HardState
	// Entries replace all stored entries from the index of the first one on. Together with
	// Snapshot they are the entire log.
	Entries []Entry
	// Snapshot replaces the stored snapshot before Entries are written.
	Snapshot *Snapshot
}

// Empty reports whether there is nothing to write.
func (p Persist) Empty() bool {
	return p.State == nil && len(p.Entries) == 0 && p.Snapshot == nil
}

// Committed is a committed entry that the state machine may apply.
type Committed struct {
	Entry Entry
	// ProposalID is set if the entry was proposed on this replica.
	ProposalID uint64
}

// Answer completes a proposal, membership change or leadership transfer that did not end
// with a committed entry. A successful transfer has the verdict Ran.
type Answer struct {
	ID      uint64
	Verdict verdict.Verdict
	Reason  Reason
}

// Reason is the cause of a rejected request.
type Reason string

// Reasons of rejections.
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
	// ReasonSuperseded: a conflicting command was proposed after the index that the proposer had
	// read.
	ReasonSuperseded Reason = "Superseded"
)

// ReadDone answers a ReadRequested. The state applied up to Index, which the same batch
// completes, includes everything that was committed when the read was requested. Failed is
// set if the read index could not be confirmed in time.
type ReadDone struct {
	ID     uint64
	Index  uint64
	Failed bool
}

// Batch holds the actions that result from a series of events. The caller carries them out
// in the order of the fields and calls Core.Synced after Persist, before it passes on the
// next event.
type Batch struct {
	// SendNow may be sent before Persist is synced. It includes the leader's new entries:
	// the leader counts its own copy only after the sync.
	SendNow []Message
	Persist Persist
	// Send depends on Persist and must not be sent before Persist is synced.
	Send []Message
	// Restore replaces the state of the state machine, before Apply.
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
