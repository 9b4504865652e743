package control_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/wire"
)

func wireEnd(target string, parts ...uint64) *wire.TargetEnd {
	end := &wire.TargetEnd{Target: target, StartTime: 1}
	for i, p := range parts {
		end.Candidates = append(end.Candidates, &wire.EndCandidate{Part: p, Depth: uint32(i), LeadMicros: 100_000})
	}

	return end
}

// evidenceClient is an entry that polls one control VM.
type evidenceClient struct {
	t      *testing.T
	server *control.Server
	next   *wire.FollowRequest
}

// newEvidenceClient returns an entry that has received all that the control VM knows.
func newEvidenceClient(t *testing.T, s *control.Server, id string) *evidenceClient {
	t.Helper()

	c := &evidenceClient{t: t, server: s, next: &wire.FollowRequest{Cluster: "trust", ID: id, WithEvidence: true, RosterChanges: true}}
	c.poll(0)

	return c
}

// poll sends one poll. The next one states what the answer brought.
func (c *evidenceClient) poll(wait time.Duration, ends ...*wire.TargetEnd) *wire.FollowResponse {
	c.t.Helper()

	r := c.next
	r.WaitMillis, r.Ends = uint64(wait.Milliseconds()), ends

	out, err := c.server.Follow(c.t.Context(), r)
	require.NoError(c.t, err)

	c.next = &wire.FollowRequest{
		Cluster: r.GetCluster(), ID: r.GetID(), WithEvidence: r.GetWithEvidence(), ServicesOnly: r.GetServicesOnly(), RosterChanges: true,
		KnownIndex: out.GetIndex(), KnownNumber: out.GetNumber(), RosterHash: out.GetRosterHash(),
		DirectoryBoot: out.GetDirectoryBoot(), DirectoryRevision: out.GetDirectoryRevision(), EvidenceRevision: out.GetEvidenceRevision(),
	}

	return out
}

// Guards against news of an end that waits until held polls end.
func TestHeldPollIsAnsweredWithAnEndAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, _ := startDocumentServer(t)
		a, b := newEvidenceClient(t, s, "a"), newEvidenceClient(t, s, "b")

		time.Sleep(time.Second)

		var sending sync.WaitGroup
		defer sending.Wait()

		sending.Go(func() {
			time.Sleep(100 * time.Millisecond)
			a.poll(0, wireEnd("t1", 7))
		})

		begin := time.Now()
		out := b.poll(600 * time.Millisecond)

		require.Equal(t, 100*time.Millisecond, time.Since(begin))
		require.Len(t, out.GetEnds(), 1)
		require.Equal(t, uint64(7), out.GetEnds()[0].GetCandidates()[0].GetPart())
		require.Equal(t, uint64(100_000), out.GetEnds()[0].GetCandidates()[0].GetLeadMicros())

		require.Empty(t, b.poll(0).GetEnds(), "sent an end twice")
		require.Empty(t, b.poll(0, wireEnd("t1", 7)).GetEnds(), "known ends were taken for news")
	})
}

// Guards against entries of the release before and agents, which cannot say what they know, and so
// would be answered at once for ever.
func TestFollowersWithoutEvidenceGetNoEnds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, _ := startDocumentServer(t)
		a, old, agent := newEvidenceClient(t, s, "a"), newEvidenceClient(t, s, "old"), newEvidenceClient(t, s, "agent")
		old.next.WithEvidence, old.next.EvidenceRevision = false, 0
		agent.next.ServicesOnly = true

		time.Sleep(time.Second)
		a.poll(0, wireEnd("t1", 7))

		for _, c := range []*evidenceClient{old, agent} {
			begin := time.Now()
			out := c.poll(600*time.Millisecond, wireEnd("t2", 8))
			require.Equal(t, 600*time.Millisecond, time.Since(begin), c.next.GetID())
			require.Empty(t, out.GetEnds())
			require.Zero(t, out.GetEvidenceRevision())
		}

		require.Empty(t, a.poll(0).GetEnds(), "an agent's ends were merged")
	})
}

// Guards against ends that are sent again with each poll.
func TestIdlePollDoesNotGrowWithKnownEnds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, _ := startDocumentServer(t)
		c := newEvidenceClient(t, s, "a")
		idle := func() int { return proto.Size(c.next) + proto.Size(c.poll(600*time.Millisecond)) }
		before := idle()

		for i := range 50 {
			c.poll(0, wireEnd(fmt.Sprint("t", i), 1, 2, 3, 4))
		}

		time.Sleep(time.Second)
		c.poll(0)
		require.LessOrEqual(t, idle(), before+4, "revisions may be two bytes longer")
	})
}

// Guards against a storm of crashes that has a control VM answer all entries of a large deployment
// at each end.
func TestNewsOfEndsIsSpacedInLargeFleets(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, _ := startDocumentServer(t)

		for i := range 289 {
			newEvidenceClient(t, s, fmt.Sprint("e", i))
		}

		a, b := newEvidenceClient(t, s, "a"), newEvidenceClient(t, s, "b")
		answers, ends := 0, 0

		var sending sync.WaitGroup
		defer sending.Wait()

		sending.Go(func() {
			for i := range 100 {
				time.Sleep(20 * time.Millisecond)
				a.poll(0, wireEnd(fmt.Sprint("t", i), 7))
			}
		})

		for begin := time.Now(); time.Since(begin) < 3*time.Second; answers++ {
			ends += len(b.poll(600 * time.Millisecond).GetEnds())
		}

		require.Equal(t, 100, ends)
		require.LessOrEqual(t, answers, 14)
	})
}

// Guards against an entry that keeps the revision of the incarnation before and misses its ends.
func TestRestartedControlVMSendsAllEnds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		first, _ := startDocumentServer(t)
		second, _ := startDocumentServer(t)
		a, b := newEvidenceClient(t, first, "a"), newEvidenceClient(t, second, "b")

		a.poll(0, wireEnd("t1", 7), wireEnd("t2", 8))
		a.poll(0, wireEnd("t3", 9))
		a.poll(0)
		b.poll(0, wireEnd("t4", 10))

		a.server = second
		out := a.poll(0)
		require.Len(t, out.GetEnds(), 1)
		require.Equal(t, "t4", out.GetEnds()[0].GetTarget())
	})
}

// Guards against a loss of power of all VMs that releases a held part, also if the clock of a control
// VM was set in between.
func TestEndsSurviveRestart(t *testing.T) {
	t.Parallel()

	const outage = time.Minute

	for name, c := range map[string]struct {
		// clockStep is added to the time of day during the outage, age is what the ends are older
		// by than when they were saved.
		clockStep, age time.Duration
	}{
		"clock unchanged":     {age: outage},
		"clock set back":      {clockStep: -time.Hour},
		"clock set by a year": {clockStep: 365 * 24 * time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				var data atomic.Pointer[[]byte]

				data.Store(&[]byte{})

				first := newDocumentServer()
				first.SaveTargets = func(saved []byte) error { data.Store(&saved); return nil }
				runDocumentServer(t, first)
				newEvidenceClient(t, first, "a").poll(0, wireEnd("t1", 7, 8), wireEnd("t2", 7))
				time.Sleep(time.Second)

				saved := &wire.FollowResponse{}
				require.NoError(t, proto.Unmarshal(*data.Load(), saved))
				require.Len(t, saved.GetEnds(), 2)

				savedAge := time.Duration(saved.GetEnds()[0].GetAgeMillis()) * time.Millisecond
				saved.SavedAtMillis = time.Now().Add(-c.clockStep).UnixMilli()

				time.Sleep(outage)

				second := newDocumentServer()
				second.LoadTargets = func() ([]byte, error) { return proto.Marshal(saved) }
				runDocumentServer(t, second)

				b := &evidenceClient{t: t, server: second, next: &wire.FollowRequest{Cluster: "trust", ID: "b", WithEvidence: true}}
				ends := b.poll(0).GetEnds()
				require.Len(t, ends, 2)

				age := time.Duration(ends[0].GetAgeMillis()) * time.Millisecond
				require.InDelta(t, savedAge+c.age, age, float64(10*time.Millisecond))
				require.Len(t, ends[0].GetCandidates(), 2)
			})
		})
	}
}

// Guards against a file of the release before, or a damaged one, that keeps a control VM from
// starting.
func TestSavedDirectoryWithoutEndsIsRestored(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newDocumentServer()
		s.LoadTargets = func() ([]byte, error) {
			return proto.Marshal(&wire.FollowResponse{Roster: []*wire.RosterEntry{{ID: "e1"}}, Ends: []*wire.TargetEnd{{Target: "t"}, nil}})
		}
		runDocumentServer(t, s)

		c := &evidenceClient{t: t, server: s, next: &wire.FollowRequest{Cluster: "trust", ID: "e2", WithEvidence: true}}
		out := c.poll(0)
		require.Empty(t, out.GetEnds())
		require.Len(t, out.GetRoster(), 2)
	})
}
