package quorum_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// coreHarness runs one core. The test sends the messages of its peers.
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

// becomeLeader makes the core the leader of the given term.
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

// newCoreHarness returns a core with the ID a and two more voters, b and c, that continues
// from the stored state.
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

// A leader replicates an entry of an earlier term to a majority and fails. A replica with
// an entry of a term in between may be elected next and replace it. The entry must not be
// reported as committed before an entry of the leader's own term is.
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

// Two leaders, or one leader that does not wait for the commit, each change the members by
// one. Majorities of member sets that differ by two members need not share a voter.
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

// A VM was replaced under the same ID, and a vote or acknowledgement of the previous
// replica arrives late. It must not count for the replacement.
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

// One VM can't receive messages from the leader and still gets enough pre-votes, for
// example delayed ones. Each election that it starts would block claims for seconds.
func TestVotesAreRejectedWithinLeaderLease(t *testing.T) {
	t.Parallel()

	s := newCoreHarness(t, quorum.StoredState{State: quorum.HardState{Term: 1}}, minRand)
	s.receiveFrom("b", 1, quorum.Append{})
	s.receiveFrom("c", 7, quorum.Vote{LastIndex: 9, LastTerm: 1})
	require.Equal(t, uint64(1), s.Status().Term)

	s.receiveFrom("c", 7, quorum.Vote{Transfer: true, LastIndex: 9, LastTerm: 1})
	require.Equal(t, uint64(7), s.Status().Term)
}

// A leader was replaced while it received no messages. Unless it is sent the current term,
// its callers wait until it steps down for lack of answers from a majority.
func TestDeposedLeaderIsSentCurrentTerm(t *testing.T) {
	t.Parallel()

	s := newCoreHarness(t, quorum.StoredState{State: quorum.HardState{Term: 5}}, minRand)
	s.receiveFrom("b", 3, quorum.Append{})
	require.Len(t, s.sent, 1)
	require.Equal(t, uint64(5), s.sent[0].Term)
}

// A leader is deposed before its membership change is committed. Replicas that received
// the change must return to the previous members.
func TestTruncatedMembershipChangeIsReverted(t *testing.T) {
	t.Parallel()

	s := newCoreHarness(t, quorum.StoredState{State: quorum.HardState{Term: 1}}, minRand)
	changed := s.Members().With(quorum.Member{ID: "d", Birth: 4})
	s.receiveFrom("b", 1, quorum.Append{Entries: []quorum.Entry{{Index: 1, Term: 1, Kind: quorum.EntryMembers, Members: changed}}})
	require.Len(t, s.Members(), 4)

	s.receiveFrom("c", 2, quorum.Append{Entries: []quorum.Entry{{Index: 1, Term: 2}}})
	require.Len(t, s.Members(), 3)
}

// A learner loses its disk before its promotion. Entries on the lost disk must not count,
// or a replica with an empty disk becomes a voter.
func TestLearnerThatLostItsDiskIsNotPromoted(t *testing.T) {
	t.Parallel()

	s := newCoreHarness(t, quorum.StoredState{State: quorum.HardState{Term: 1}}, minRand)
	s.becomeLeader(t, 2)
	s.receiveFrom("b", 2, quorum.AppendAnswer{Index: 1})
	s.step(quorum.ChangeRequested{ID: 1, Kind: quorum.AddLearner, Member: quorum.Member{ID: "d", Addr: address()}})
	s.receiveFrom("b", 2, quorum.AppendAnswer{Index: 2})
	s.receiveFromReplica(5, "d", 2, quorum.AppendAnswer{Index: 2})
	s.step(quorum.ChangeRequested{ID: 2, Kind: quorum.Promote, Member: quorum.Member{ID: "d"}})

	const rounds = 9 // more rounds than the leader begins in this test

	for n := range uint64(rounds) {
		s.receiveFrom("b", 2, quorum.AppendAnswer{Index: 2, Round: n})
		s.receiveFromReplica(6, "d", 2, quorum.AppendAnswer{Rejected: true, PrevIndex: 2, Round: n})
	}

	d, _ := s.Members().Find("d")
	require.Equal(t, quorum.Learner, d.Role)
}

// A leader's log conflicts with an entry that this replica knows to be committed: some
// replica has lost entries that it had acknowledged. This replica must stop, because
// continuing could only spread the damage.
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

// A replica requests a read index and restarts, and the answer to the request of its
// previous run arrives late. That answer was confirmed before the new read was requested.
// The sequence numbers of two runs must therefore differ.
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

// A VM is removed from the group while it is disconnected. Unless it is notified of its
// removal, it requests votes indefinitely after it reconnects, and operators see a replica
// without a leader.
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

// Guards against a removed replica that stays a candidate, because the replicas that it knows have a later term, or have
// lost their disks and joined again under other IDs.
func TestRemovedCandidateIsNotified(t *testing.T) {
	t.Parallel()

	for name, m := range map[string]quorum.Message{
		"earlier term":    {To: "a", ToCreationID: 1, Term: 2},
		"earlier replica": {To: "lost", ToCreationID: 4, Term: 9},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			s := newCoreHarness(t, quorum.StoredState{State: quorum.HardState{Term: 5}}, minRand)
			m.From, m.FromCreationID, m.Body = "removed", 3, quorum.Vote{Pre: true}
			s.step(quorum.Received{Message: m})

			require.Condition(t, func() bool {
				return slices.ContainsFunc(s.sent, func(sent quorum.Message) bool {
					answer, ok := sent.Body.(quorum.HelloAnswer)

					return ok && sent.To == "removed" && len(answer.Members) == 3
				})
			}, "%+v", s.sent)
		})
	}
}

// Guards against a transfer that leaves the group without a leader: a change of members was carried out meanwhile, and the
// successor lacked its entry.
func TestChangeIsNotCarriedOutDuringTransfer(t *testing.T) {
	t.Parallel()

	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()

			w := newSimulation(seed, 3)
			w.run(5 * time.Second)
			w.addHost("vm3", nil)
			w.requireChange(t, quorum.AddLearner, "vm3")

			change := w.change(quorum.Promote, "vm3")
			transfer := w.transfer(w.leader())
			w.run(quorum.DefaultElectionTimeout / 2)

			require.Equal(t, verdict.Ran, transfer.answer)
			require.Equal(t, verdict.NotRun, change.answer)
			w.requirePropose(t, "next")
			require.Empty(t, w.violations)
		})
	}
}

// Large commands exhaust the memory of a control VM if only the number of kept entries is
// limited.
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

// An entry in the middle of the log on disk is missing.
func TestGapInStoredLogIsRejected(t *testing.T) {
	t.Parallel()

	var gap *quorum.GapError

	_, err := quorum.New(quorum.Config{ID: "a", CreationID: 1, Rand: minRand}, quorum.StoredState{
		Entries: []quorum.Entry{{Index: 1, Term: 1}, {Index: 3, Term: 1}},
	}, time.Unix(1e9, 0))
	require.ErrorAs(t, err, &gap)
}

// A new group with a single founder, which commits without other replicas.
func ExampleCore() {
	now := time.Unix(1e9, 0)
	c, err := quorum.New(quorum.Config{
		ID: "vm0", CreationID: 1, Rand: func(int64) int64 { return 0 }, Founders: []quorum.Member{{ID: "vm0"}},
	}, quorum.StoredState{}, now)
	if err != nil {
		fmt.Println(err)

		return
	}

	// The founder first waits for messages of an existing group of this name.
	now = c.Deadline()
	c.Step(now, quorum.Tick{})
	c.Step(now, quorum.Tick{})

	for b := c.Take(); !b.Empty(); b = c.Take() {
		c.Synced() // call after b.Persist has been written and synced
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
