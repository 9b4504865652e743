package membership_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/membership"
	"github.com/parsleygate/parsleygate/internal/quorum"
)

var startTime = time.Unix(1000, 0)

func member(id, addr string, role quorum.Role, active, upToDate bool) quorum.MemberStatus {
	return quorum.MemberStatus{
		Member: quorum.Member{ID: id, Addr: netip.MustParseAddrPort(addr), Role: role}, Active: active, UpToDate: upToDate,
	}
}

func voter(id string, active bool) quorum.MemberStatus {
	return member(id, "10.0.0."+id[len(id)-1:]+":1", quorum.Voter, active, active)
}

// A control VM loses its disk and returns at its address under a new ID. The new member
// is promoted once it holds the log, and the old member is removed only after that.
func TestMemberWithLostDiskIsReplaced(t *testing.T) {
	t.Parallel()

	r := &membership.Manager{Settings: membership.DefaultSettings(1)}
	lost := voter("c3", false)
	back := member("c3-new", "10.0.0.3:1", quorum.Learner, true, false)
	members := []quorum.MemberStatus{voter("c1", true), voter("c2", true), lost, back}

	require.Equal(t, membership.Change{}, r.Decide(startTime, "c1", members), "the new member does not hold the log yet")

	members[3].UpToDate = true
	require.Equal(t, membership.Change{Kind: membership.Promote, ID: "c3-new"}, r.Decide(startTime, "c1", members))

	members[3].Member.Role = quorum.Voter
	require.Equal(t, membership.Change{Kind: membership.Remove, ID: "c3"}, r.Decide(startTime, "c1", members))

	require.Equal(t, membership.Change{}, r.Decide(startTime, "c1", []quorum.MemberStatus{members[0], members[1], members[3]}))
}

// A control VM restarts within two seconds while a spare one is available. The spare
// must not replace it, else each planned restart would copy the whole log.
func TestRestartingVoterKeepsItsVote(t *testing.T) {
	t.Parallel()

	r := &membership.Manager{Settings: membership.DefaultSettings(1)}
	members := []quorum.MemberStatus{
		voter("c1", true), voter("c2", true), voter("c3", false), member("c4-x", "10.0.0.4:1", quorum.Learner, true, true),
	}

	require.Equal(t, membership.Change{}, r.Decide(startTime, "c1", members))
	require.Equal(t, membership.Change{}, r.Decide(startTime.Add(2*time.Second), "c1", members))
	require.Equal(t, membership.Change{Kind: membership.Promote, ID: "c4-x"}, r.Decide(startTime.Add(5*time.Second), "c1", members), "the voter has been inactive for longer than VoterTimeout")

	members[3].Member.Role = quorum.Voter
	require.Equal(t, membership.Change{Kind: membership.Remove, ID: "c3"}, r.Decide(startTime.Add(5*time.Second), "c1", members))
}

// A set that tolerates two failures starts with three voters. Two learners are
// promoted, and a sixth VM stays a learner.
func TestLearnersArePromotedUpToTheNumberOfVoters(t *testing.T) {
	t.Parallel()

	r := &membership.Manager{Settings: membership.DefaultSettings(2)}
	members := []quorum.MemberStatus{voter("c1", true), voter("c2", true), voter("c3", true)}

	for _, id := range []string{"d4", "d5", "d6"} {
		members = append(members, member(id, "10.0.0."+id[1:]+":1", quorum.Learner, true, true))
	}

	require.Equal(t, membership.Change{Kind: membership.Promote, ID: "d4"}, r.Decide(startTime, "c1", members))

	members[3].Member.Role = quorum.Voter
	require.Equal(t, membership.Change{Kind: membership.Promote, ID: "d5"}, r.Decide(startTime, "c1", members))

	members[4].Member.Role = quorum.Voter
	require.Equal(t, membership.Change{}, r.Decide(startTime, "c1", members))
}

// An inactive voter without a replacement keeps its vote. Removing it would not let the
// set tolerate another failure, and it may return with all acknowledged entries.
func TestInactiveVoterWithoutReplacementStays(t *testing.T) {
	t.Parallel()

	r := &membership.Manager{Settings: membership.DefaultSettings(1)}
	members := []quorum.MemberStatus{voter("c1", true), voter("c2", true), voter("c3", false)}
	r.Decide(startTime, "c1", members)
	require.Equal(t, membership.Change{}, r.Decide(startTime.Add(time.Hour), "c1", members))
}

// A control VM without a disk is never promoted, however few voters there are.
func TestVolatileMemberNeverVotes(t *testing.T) {
	t.Parallel()

	r := &membership.Manager{Settings: membership.DefaultSettings(1)}
	members := []quorum.MemberStatus{
		voter("c1", true), voter("c2", true), member("c3"+membership.VolatileIDMarker+"ab", "10.0.0.3:1", quorum.Learner, true, true),
	}
	require.Equal(t, membership.Change{}, r.Decide(startTime, "c1", members))
}

// The leader never removes itself, and an inactive learner is removed after
// LearnerTimeout. After Reset, inactivity is measured from the start again.
func TestLeaderStaysAndInactiveLearnersAreRemoved(t *testing.T) {
	t.Parallel()

	r := &membership.Manager{Settings: membership.DefaultSettings(1)}
	members := []quorum.MemberStatus{
		voter("c1", false), voter("c2", true), voter("c3", true), voter("c4", true),
		member("c5-x", "10.0.0.5:1", quorum.Learner, false, false),
	}
	require.Equal(t, membership.Change{}, r.Decide(startTime, "c1", members))
	require.Equal(t, membership.Change{}, r.Decide(startTime.Add(20*time.Second), "c1", members))
	require.Equal(t, membership.Change{Kind: membership.Remove, ID: "c5-x"}, r.Decide(startTime.Add(31*time.Second), "c1", members))

	r.Reset()
	require.Equal(t, membership.Change{}, r.Decide(startTime.Add(32*time.Second), "c2", members), "a new leader measures inactivity from the start")
}

func leaving(ids ...string) func(string) time.Time {
	return func(id string) time.Time {
		if slices.Contains(ids, id) {
			return startTime
		}

		return time.Time{}
	}
}

// Guards against a vote that a voter leaves behind when it stops as planned, until it has been silent for long.
func TestLeavingVoterIsReplacedBeforeItStops(t *testing.T) {
	t.Parallel()

	r := &membership.Manager{Settings: membership.DefaultSettings(1), LeavingSince: leaving("c3")}
	members := []quorum.MemberStatus{
		voter("c1", true), voter("c2", true), voter("c3", true), member("c4-x", "10.0.0.4:1", quorum.Learner, true, false),
	}

	require.True(t, r.CanReplace(members))
	require.Equal(t, membership.Change{}, r.Decide(startTime, "c1", members), "the learner does not hold the log yet")

	members[3].UpToDate = true
	require.Equal(t, membership.Change{Kind: membership.Promote, ID: "c4-x"}, r.Decide(startTime, "c1", members))

	members[3].Member.Role = quorum.Voter
	require.Equal(t, membership.Change{Kind: membership.Remove, ID: "c3"}, r.Decide(startTime, "c1", members))
}

// Guards against a set that loses a voter for one that leaves without a successor, and against a successor that
// leaves too.
func TestLeavingVoterWithoutSuccessorKeepsItsVote(t *testing.T) {
	t.Parallel()

	for name, learner := range map[string]quorum.MemberStatus{
		"leaving": member("c4-x", "10.0.0.4:1", quorum.Learner, true, true),
		"silent":  member("c5-x", "10.0.0.5:1", quorum.Learner, false, false),
		"no disk": member("c6"+membership.VolatileIDMarker+"x", "10.0.0.6:1", quorum.Learner, true, true),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			r := &membership.Manager{Settings: membership.DefaultSettings(1), LeavingSince: leaving("c3", "c4-x")}
			members := []quorum.MemberStatus{voter("c1", true), voter("c2", true), voter("c3", true), learner}

			require.False(t, r.CanReplace(members))
			require.Equal(t, membership.Change{}, r.Decide(startTime, "c1", members))
		})
	}
}

// Guards against a voter that stops while the replacement of a lost one is half done: two of four voters are left.
func TestLeavingVoterWaitsForAnotherReplacement(t *testing.T) {
	t.Parallel()

	r := &membership.Manager{Settings: membership.DefaultSettings(1), LeavingSince: leaving("c2")}
	members := []quorum.MemberStatus{voter("c1", false), voter("c2", true), voter("c3", true), voter("c4", true)}

	require.True(t, r.CanReplace(members))
	require.False(t, r.CanReplace(members[1:]), "the lost one is removed")
}

// Guards against a lost voter that stays while the one that leaves gives its place to the only learner.
func TestLostVoterIsRemovedBeforeLeavingOne(t *testing.T) {
	t.Parallel()

	r := &membership.Manager{Settings: membership.DefaultSettings(1), LeavingSince: leaving("c2")}
	members := []quorum.MemberStatus{
		voter("c1", true), voter("c2", true), voter("c3", false), member("c3-new", "10.0.0.3:1", quorum.Voter, true, true),
	}

	require.Equal(t, membership.Change{Kind: membership.Remove, ID: "c3"}, r.Decide(startTime, "c1", members))
}

// Guards against a learner that a leaving voter awaits, and that replaces one which falls silent meanwhile: neither of
// the two may be there afterwards.
func TestLearnerReplacesWhatNeededItFirst(t *testing.T) {
	t.Parallel()

	for name, c := range map[string]struct {
		leavingAt time.Duration // after the other voter has fallen silent
		want      string
	}{
		"leaving first": {leavingAt: 2 * time.Second, want: "c3"},
		"silent first":  {leavingAt: 4 * time.Second, want: "c2"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			r := &membership.Manager{Settings: membership.DefaultSettings(1), LeavingSince: func(id string) time.Time {
				if id == "c3" {
					return startTime.Add(c.leavingAt)
				}

				return time.Time{}
			}}
			members := []quorum.MemberStatus{
				voter("c1", true), voter("c2", false), voter("c3", true), member("c4-x", "10.0.0.4:1", quorum.Voter, true, true),
			}
			members[1].AnsweredAt = startTime

			require.Equal(t, membership.Change{Kind: membership.Remove, ID: c.want}, r.Decide(startTime.Add(5*time.Second), "c1", members))
		})
	}
}

// Guards against a voter that stops while the others are no majority, and against stops that wait where none is silent.
func TestMajorityNeedsVoter(t *testing.T) {
	t.Parallel()

	answered := func(m quorum.MemberStatus) quorum.MemberStatus {
		m.Answered = true

		return m
	}
	silent, unheard := voter("c2", false), voter("c2", true)
	c1, c2, c3 := answered(voter("c1", true)), answered(voter("c2", true)), answered(voter("c3", true))
	c4, c5 := answered(voter("c4", true)), answered(voter("c5", true))

	r := &membership.Manager{Settings: membership.DefaultSettings(1)}
	require.True(t, r.MajorityNeeds("c3", []quorum.MemberStatus{c1, answered(silent), c3}))
	require.True(t, r.MajorityNeeds("c3", []quorum.MemberStatus{c1, unheard, c3}), "a new leader has not heard of it")
	require.False(t, r.MajorityNeeds("c3", []quorum.MemberStatus{c1, c2, c3}))
	require.False(t, r.MajorityNeeds("c3", []quorum.MemberStatus{c1, c3}))
	require.False(t, r.MajorityNeeds("c3", []quorum.MemberStatus{c1, silent, c3, c4, c5}))

	r.LeavingSince = leaving("c2")
	require.False(t, r.MajorityNeeds("c3", []quorum.MemberStatus{c1, silent, c3}), "all of them stop")
}

// Guards against a new leader that waits anew for the one whose silence made it a candidate.
func TestSilenceBeforeTheElectionCounts(t *testing.T) {
	t.Parallel()

	r := &membership.Manager{Settings: membership.DefaultSettings(1)}
	members := []quorum.MemberStatus{
		voter("c1", true), voter("c2", true), voter("c3", false), member("c4-x", "10.0.0.4:1", quorum.Learner, true, true),
	}
	members[2].AnsweredAt = startTime.Add(-2 * time.Second)

	require.Equal(t, membership.Change{}, r.Decide(startTime, "c1", members))
	require.Equal(t, membership.Change{Kind: membership.Promote, ID: "c4-x"}, r.Decide(startTime.Add(1001*time.Millisecond), "c1", members))
}

// Guards against two voters on one VM, whose next lost disk ends the quorum: a voter whose disk was lost a moment ago still
// counted as active, so that the new member at its address took the place of a leaving one.
func TestLostVoterThatCountsAsActiveIsRemovedBeforeLeavingOne(t *testing.T) {
	t.Parallel()

	r := &membership.Manager{Settings: membership.DefaultSettings(1), LeavingSince: leaving("c4")}
	lost, back := voter("c1", true), member("c1-new", "10.0.0.1:1", quorum.Learner, true, true)
	lost.AnsweredAt, back.AnsweredAt = startTime.Add(-time.Second), startTime
	members := []quorum.MemberStatus{lost, voter("c3", true), voter("c4", true), back, member("c2-new", "10.0.0.2:1", quorum.Learner, true, true)}

	require.Equal(t, membership.Change{Kind: membership.Promote, ID: "c1-new"}, r.Decide(startTime, "c3", members))

	members[3].Member.Role = quorum.Voter
	require.Equal(t, membership.Change{Kind: membership.Remove, ID: "c1"}, r.Decide(startTime, "c3", members))

	members = members[1:]
	require.Equal(t, membership.Change{Kind: membership.Promote, ID: "c2-new"}, r.Decide(startTime, "c3", members))

	members[3].Member.Role = quorum.Voter
	require.Equal(t, membership.Change{Kind: membership.Remove, ID: "c4"}, r.Decide(startTime, "c3", members))
}
