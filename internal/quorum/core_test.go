package quorum_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// coreHarness is one core whose peers are played by the test.
type coreHarness struct {
	*quorum.Core
	now  time.Time
	sent []quorum.Message // by the last step
}

func (s *coreHarness) step(ev quorum.Event) {
	s.Step(s.now, ev)

	s.sent = nil
	for b := s.Take(); !b.Empty(); b = s.Take() {
		s.Synced()

		s.sent = append(append(s.sent, b.SendNow...), b.Send...)
	}
}

// becomeLeader makes the core leader of term.
func (s *coreHarness) becomeLeader(t *testing.T, term uint64) {
	s.now = s.Deadline()
	s.step(quorum.Tick{})
	s.receiveFrom("b", term, quorum.VoteAnswer{Pre: true, Granted: true})
	s.receiveFrom("b", term, quorum.VoteAnswer{Granted: true})
	require.Equal(t, "Leader", s.Status().State)
}

func (s *coreHarness) receiveFrom(id string, term uint64, body quorum.Body) {
	s.receiveFromReplica(2, id, term, body)
}

func (s *coreHarness) receiveFromReplica(creationID uint64, id string, term uint64, body quorum.Body) {
	s.step(quorum.Received{Message: quorum.Message{From: id, FromCreationID: creationID, To: "a", ToCreationID: 1, Term: term, Body: body}})
}

func minRand(int64) int64 { return 0 }

// newCoreHarness returns a core named a, with two more voters, that continues from stored.
func newCoreHarness(t *testing.T, stored quorum.StoredState, random func(int64) int64) *coreHarness {
	for _, id := range []string{"b", "c"} {
		stored.Snapshot.Members = stored.Snapshot.Members.With(quorum.Member{ID: id, Birth: 2})
	}

	stored.Snapshot.Members = stored.Snapshot.Members.With(quorum.Member{ID: "a", Birth: 1})
	now := time.Unix(1e9, 0)
	c, err := quorum.New(quorum.Config{ID: "a", CreationID: 1, Rand: random}, stored, now)
	require.NoError(t, err)

	return &coreHarness{Core: c, now: now}
}

// A leader sends an entry of a former term to a majority and dies. A replica
// with an entry of a term between may be elected next and replace it, so that
// a caller's answer would have been a lie.
func TestEntriesOfEarlierTermsCommitOnlyWithCurrentTerm(t *testing.T) {
	t.Parallel()

	s := newCoreHarness(t, quorum.StoredState{
		State:   quorum.HardState{Term: 3},
		Entries: []quorum.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}},
	}, minRand)
	s.becomeLeader(t, 4)
	s.receiveFrom("b", 4, quorum.AppendAnswer{Index: 2})
	require.Zero(t, s.Status().Commit)
	s.receiveFrom("c", 4, quorum.AppendAnswer{Index: 2})
	require.Zero(t, s.Status().Commit)
	s.receiveFrom("c", 4, quorum.AppendAnswer{Index: 3})
	require.Equal(t, uint64(3), s.Status().Commit)
}

// Two leaders, or one in a hurry, could each change the members by one. Two
// majorities of sets that differ by two need not share a voter.
func TestMembersChangeOneAtATime(t *testing.T) {
	t.Parallel()

	s := newCoreHarness(t, quorum.StoredState{State: quorum.HardState{Term: 1}}, minRand)
	s.becomeLeader(t, 2)

	add := func(id string) []quorum.Answer {
		s.Step(s.now, quorum.ChangeRequested{ID: 1, Kind: quorum.AddLearner, Member: quorum.Member{ID: id, Addr: address()}})
		b := s.Take()
		s.Synced()

		return b.Answers
	}
	busy := []quorum.Answer{{ID: 1, Verdict: verdict.NotRun, Reason: quorum.ReasonMembersChanging}}

	require.Equal(t, busy, add("d"), "before the term has committed")
	s.receiveFrom("b", 2, quorum.AppendAnswer{Index: 1})
	require.Empty(t, add("d"))
	require.Equal(t, busy, add("e"), "before the first change is committed")
	s.receiveFrom("b", 2, quorum.AppendAnswer{Index: 2})
	require.Empty(t, add("e"))
}

// A VM was replaced under its old name, and a vote or an acknowledgement of the
// lost one arrives late. The replacement has not given it.
func TestAnswersWithOtherCreationIDAreIgnored(t *testing.T) {
	t.Parallel()

	s := newCoreHarness(t, quorum.StoredState{State: quorum.HardState{Term: 1}}, minRand)
	s.now = s.Deadline()
	s.step(quorum.Tick{})
	s.receiveFrom("b", 2, quorum.VoteAnswer{Pre: true, Granted: true})
	s.receiveFromReplica(9, "b", 2, quorum.VoteAnswer{Granted: true})
	require.Equal(t, "Candidate", s.Status().State)

	s.receiveFrom("b", 2, quorum.VoteAnswer{Granted: true})
	require.Equal(t, "Leader", s.Status().State)

	s.receiveFromReplica(9, "b", 2, quorum.AppendAnswer{Index: 1})
	require.Zero(t, s.Status().Commit)
}

// One VM cannot hear the leader and still gets enough pre-votes, late ones
// among them. Each election that it starts would stop claims for seconds.
func TestVotesAreRejectedWithinLeaderLease(t *testing.T) {
	t.Parallel()

	s := newCoreHarness(t, quorum.StoredState{State: quorum.HardState{Term: 1}}, minRand)
	s.receiveFrom("b", 1, quorum.Append{})
	s.receiveFrom("c", 7, quorum.Vote{LastIndex: 9, LastTerm: 1})
	require.Equal(t, uint64(1), s.Status().Term)

	s.receiveFrom("c", 7, quorum.Vote{Transfer: true, LastIndex: 9, LastTerm: 1})
	require.Equal(t, uint64(7), s.Status().Term)
}

// A leader was replaced while it could not hear. Unless it is told, it keeps
// its callers waiting until a majority's silence deposes it.
func TestDeposedLeaderIsSentCurrentTerm(t *testing.T) {
	t.Parallel()

	s := newCoreHarness(t, quorum.StoredState{State: quorum.HardState{Term: 5}}, minRand)
	s.receiveFrom("b", 3, quorum.Append{})
	require.Len(t, s.sent, 1)
	require.Equal(t, uint64(5), s.sent[0].Term)
}

// A leader is deposed before its change of the members is committed. Whoever
// received the change must go back to the members before it.
func TestTruncatedMembershipChangeIsReverted(t *testing.T) {
	t.Parallel()

	s := newCoreHarness(t, quorum.StoredState{State: quorum.HardState{Term: 1}}, minRand)
	changed := s.Members().With(quorum.Member{ID: "d", Birth: 4})
	s.receiveFrom("b", 1, quorum.Append{Entries: []quorum.Entry{{Index: 1, Term: 1, Kind: quorum.EntryMembers, Members: changed}}})
	require.Len(t, s.Members(), 4)

	s.receiveFrom("c", 2, quorum.Append{Entries: []quorum.Entry{{Index: 1, Term: 2}}})
	require.Len(t, s.Members(), 3)
}

// A learner loses its disk before it is promoted. What its former disk held
// must not make an empty one a voter.
func TestLearnerThatLostItsDiskIsNotPromoted(t *testing.T) {
	t.Parallel()

	s := newCoreHarness(t, quorum.StoredState{State: quorum.HardState{Term: 1}}, minRand)
	s.becomeLeader(t, 2)
	s.receiveFrom("b", 2, quorum.AppendAnswer{Index: 1})
	s.step(quorum.ChangeRequested{ID: 1, Kind: quorum.AddLearner, Member: quorum.Member{ID: "d", Addr: address()}})
	s.receiveFrom("b", 2, quorum.AppendAnswer{Index: 2})
	s.receiveFromReplica(5, "d", 2, quorum.AppendAnswer{Index: 2})
	s.step(quorum.ChangeRequested{ID: 2, Kind: quorum.Promote, Member: quorum.Member{ID: "d"}})

	const rounds = 9 // no round is later in this test

	for n := range uint64(rounds) {
		s.receiveFrom("b", 2, quorum.AppendAnswer{Index: 2, Round: n})
		s.receiveFromReplica(6, "d", 2, quorum.AppendAnswer{Rejected: true, PrevIndex: 2, Round: n})
	}

	d, _ := s.Members().Find("d")
	require.Equal(t, quorum.Learner, d.Role)
}

// A leader contradicts what this replica knows as committed: some replica has
// forgotten what it acknowledged. Going on could only spread the damage.
func TestConflictWithCommittedEntryStopsReplica(t *testing.T) {
	t.Parallel()

	s := newCoreHarness(t, quorum.StoredState{State: quorum.HardState{Term: 1}}, minRand)
	first := quorum.Append{Commit: 2, Entries: []quorum.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}}
	s.receiveFrom("b", 1, first)
	require.Equal(t, uint64(2), s.Status().Commit)

	s.receiveFrom("c", 5, quorum.Append{PrevIndex: 2, PrevTerm: 5, Entries: []quorum.Entry{{Index: 3, Term: 5}}})
	require.Equal(t, uint64(2), s.Status().Last)

	var conflict *quorum.ConflictError

	require.ErrorAs(t, s.Err(), &conflict)

	s.Step(s.now, quorum.Proposed{ID: 1})
	require.Equal(t, []quorum.Answer{{ID: 1, Verdict: verdict.NotRun, Reason: quorum.ReasonFaulty}}, s.Take().Answers)
}

// A replica asks for a read, dies and starts again, and the answer to its former
// self arrives late. It was confirmed before the new read was asked.
func TestReadSequenceNumbersDifferBetweenRuns(t *testing.T) {
	t.Parallel()

	seqs := map[uint64]bool{}

	for run := range int64(2) {
		s := newCoreHarness(t, quorum.StoredState{State: quorum.HardState{Term: 1}}, func(n int64) int64 { return n/2 + run })
		s.receiveFrom("b", 1, quorum.Append{})
		s.Step(s.now, quorum.ReadRequested{ID: 1})

		for _, m := range s.Take().SendNow {
			seq := m.Body.(quorum.ReadIndex).Seq
			require.False(t, seqs[seq])
			require.Greater(t, seq, uint64(1)<<32)

			seqs[seq] = true
		}
	}

	require.Len(t, seqs, 2)
}

// A VM is taken out while it is cut off. When it is back it would ask for votes
// for ever without an answer, and operators would see a replica without leader.
func TestRemovedReplicaIsNotified(t *testing.T) {
	t.Parallel()

	w := newSimulation(1, 3)
	w.run(5 * time.Second)

	isolated := w.hosts[2]
	require.NotEqual(t, isolated, w.leader())
	w.isolate(isolated.id, true)
	w.change(quorum.Remove, isolated.id)
	w.run(10 * time.Second)
	w.isolate(isolated.id, false)
	w.run(10 * time.Second)
	require.NotZero(t, w.removedCount)
	require.Empty(t, w.violations)
}

// Large commands fill the memory of a control VM if only their number is bounded.
func TestCatchUpEntriesAreBoundedByBytes(t *testing.T) {
	t.Parallel()

	const size, n = 1 << 20, 20

	s := newCoreHarness(t, quorum.StoredState{State: quorum.HardState{Term: 1}}, minRand)

	for i := range uint64(n) {
		e := quorum.Entry{Index: i + 1, Term: 1, Command: make([]byte, size)}
		s.receiveFrom("b", 1, quorum.Append{PrevIndex: i, PrevTerm: min(i, 1), Commit: i + 1, Entries: []quorum.Entry{e}})
	}

	s.Step(s.now, quorum.SnapshotTaken{Index: n})
	require.Len(t, s.Take().Persist.Entries, 8)
}

// The log on disk lacks an entry in the middle.
func TestGapInStoredLogIsRejected(t *testing.T) {
	t.Parallel()

	var gap *quorum.GapError

	_, err := quorum.New(quorum.Config{ID: "a", CreationID: 1, Rand: minRand}, quorum.StoredState{
		Entries: []quorum.Entry{{Index: 1, Term: 1}, {Index: 3, Term: 1}},
	}, time.Unix(1e9, 0))
	require.ErrorAs(t, err, &gap)
}

// A newcomer's first group: one founder decides at once.
func ExampleCore() {
	now := time.Unix(1e9, 0)
	c, err := quorum.New(quorum.Config{
		ID: "vm0", CreationID: 1, Rand: func(int64) int64 { return 0 }, Founders: []quorum.Member{{ID: "vm0"}},
	}, quorum.StoredState{}, now)
	if err != nil {
		fmt.Println(err)

		return
	}

	// It first listens whether a group of this name is there already.
	now = c.Deadline()
	c.Step(now, quorum.Tick{})
	c.Step(now, quorum.Tick{})

	for b := c.Take(); !b.Empty(); b = c.Take() {
		c.Synced() // after b.Persist was written and synced
	}

	c.Step(now, quorum.Proposed{ID: 1, Command: []byte("take zone muscat-a out")})

	for b := c.Take(); !b.Empty(); b = c.Take() {
		c.Synced()

		for _, done := range b.Apply {
			fmt.Println(done.Entry.Index, string(done.Entry.Command))
		}
	}
	// Output: 2 take zone muscat-a out
}
