package control_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Guards against changes that are sent to a follower that cannot apply them: one of an earlier
// build, or one that missed more changes than are kept.
func TestRosterChangesAreSentOnlyToThoseThatCanApplyThem(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, _ := startDocumentServer(t)
		follow := func(r *wire.FollowRequest) *wire.FollowResponse {
			r.Cluster = "trust"
			out, err := s.Follow(t.Context(), r)
			require.NoError(t, err)

			return out
		}

		first := follow(&wire.FollowRequest{ID: "e0", RosterChanges: true})
		require.False(t, first.GetRosterPartial())
		require.Len(t, first.GetRoster(), 1)

		follow(&wire.FollowRequest{ID: "e1"})
		follow(&wire.FollowRequest{ID: "e2"})
		follow(&wire.FollowRequest{ID: "e1", Leaving: true})

		changes := follow(&wire.FollowRequest{ID: "e0", RosterHash: first.GetRosterHash(), RosterChanges: true})
		require.True(t, changes.GetRosterPartial())
		require.Len(t, changes.GetRoster(), 1)
		require.Equal(t, "e2", changes.GetRoster()[0].GetID())
		require.Equal(t, []string{"e1"}, changes.GetRosterGone())
		require.Equal(t, uint32(2), changes.GetEntries())

		earlierBuild := follow(&wire.FollowRequest{ID: "e0", RosterHash: first.GetRosterHash()})
		require.False(t, earlierBuild.GetRosterPartial())
		require.Len(t, earlierBuild.GetRoster(), 2)

		for i := range 100 {
			follow(&wire.FollowRequest{ID: fmt.Sprint("n", i)})
		}

		late := follow(&wire.FollowRequest{ID: "e0", RosterHash: first.GetRosterHash(), RosterChanges: true})
		require.False(t, late.GetRosterPartial())
		require.Len(t, late.GetRoster(), 102)
	})
}

// A control VM without a disk has started after a loss of power and hears of the members while
// entries wait at it. Guards against entries that learn of them only when their polls end.
func TestFollowersAreToldOfNewControlVMsAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var controls atomic.Pointer[[]string]

		controls.Store(&[]string{})

		s := newDocumentServer()
		s.ControlAddresses = func() []string { return *controls.Load() }
		runDocumentServer(t, s)

		first, err := s.Follow(t.Context(), &wire.FollowRequest{Cluster: "trust", ID: "e"})
		require.NoError(t, err)
		time.AfterFunc(time.Second, func() { controls.Store(&[]string{"10.0.0.1:1"}) })

		begin := time.Now()
		out, err := s.Follow(t.Context(), &wire.FollowRequest{
			Cluster: "trust", ID: "e", DirectoryBoot: first.GetDirectoryBoot(), DirectoryRevision: first.GetDirectoryRevision(), WaitMillis: 2000,
		})
		require.NoError(t, err)
		require.Equal(t, []string{"10.0.0.1:1"}, out.GetControls())
		require.Less(t, time.Since(begin), 1300*time.Millisecond)
	})
}

// Guards against a starting control VM that answers every held poll early without a change.
func TestControlAddressesInFirstAnswerEndNoHeldPoll(t *testing.T) {
	t.Parallel()

	for name, learned := range map[string]time.Duration{"known at the start": 0, "learned after the start": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				s := newDocumentServer()
				s.ControlAddresses = func() []string {
					if time.Since(begin) < learned {
						return nil
					}

					return []string{"10.0.0.1:1"}
				}
				runDocumentServer(t, s)
				time.Sleep(learned)

				first, err := s.Follow(t.Context(), &wire.FollowRequest{Cluster: "trust", ID: "e"})
				require.NoError(t, err)
				require.Equal(t, []string{"10.0.0.1:1"}, first.GetControls())

				held := time.Now()
				out, err := s.Follow(t.Context(), &wire.FollowRequest{
					Cluster: "trust", ID: "e", DirectoryBoot: first.GetDirectoryBoot(), DirectoryRevision: first.GetDirectoryRevision(), WaitMillis: 1500,
				})
				require.NoError(t, err)
				require.Equal(t, first.GetControls(), out.GetControls())
				require.Equal(t, 1500*time.Millisecond, time.Since(held), "answered early without a change")
			})
		})
	}
}
