package control_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

var errNoControl = errors.New("the control VM is down")

// unreachable fails all polls.
func unreachable(context.Context, netip.AddrPort, *wire.FollowRequest) (*wire.FollowResponse, error) {
	return nil, errNoControl
}

// requireEntryCount checks at each millisecond that no entry counts fewer entries than there are.
func (f *fleet) requireEntryCount(d time.Duration) {
	f.t.Helper()

	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, e := range f.entries {
			require.GreaterOrEqual(f.t, e.follower.State().Entries, len(f.entries), e.id)
		}
	}
}

// sharerIDs returns the IDs of the entries that an entry takes to share limits.
func (e *fleetEntry) sharerIDs() []string {
	var out []string
	for _, n := range e.follower.State().Sharers {
		out = append(out, n.ID)
	}

	return out
}

// Guards against two sides of a partition that each take the whole of a limit: an entry that started
// again behind it knew only those on its side.
func TestSharersOutliveAPartition(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const cutOff = 7

		f := newFleet(t, fleetSize{controls: 3, entries: 20, targets: 5})
		f.run(settled)

		isCutOff := make(map[string]bool)
		for _, e := range f.entries[:cutOff] {
			isCutOff[e.id] = true
		}

		partition := pollFunc(func(ctx context.Context, at netip.AddrPort, r *wire.FollowRequest) (*wire.FollowResponse, error) {
			if isCutOff[r.GetID()] != (at == f.controlAddress(0)) {
				return nil, errNoControl
			}

			return f.answer(ctx, at, r)
		})
		f.intercept.Store(&partition)
		time.Sleep(settled)

		for _, e := range f.entries[:cutOff] {
			e.stop()
			f.start(e)
		}

		time.Sleep(settled)

		for _, e := range f.entries {
			require.Len(t, e.sharerIDs(), len(f.entries), e.id)
		}

		require.Len(t, f.entries[0].follower.State().Roster, cutOff)
		f.intercept.Store(nil)
		time.Sleep(settled)

		for _, e := range f.entries {
			require.Len(t, e.follower.State().Roster, len(f.entries), e.id)
		}
	})
}

// Guards against limits that shrink with each planned stop, and against an entry that is not counted
// while it completes its last requests.
func TestEntriesShareLimitsUntilTheyHaveLeft(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetSize{controls: 3, entries: 5, targets: 5})
		f.run(settled)

		leaver, killed := f.entries[3], f.entries[4]
		f.entries = f.entries[:3]

		t.Cleanup(leaver.stop)
		t.Cleanup(killed.stop)
		leaver.leaving.Store(true)
		time.Sleep(2 * time.Second)
		require.Contains(t, f.entries[0].sharerIDs(), leaver.id)
		require.Len(t, f.entries[0].follower.State().Roster, 4)

		leaver.stop()
		killed.stop()
		time.Sleep(settled)
		require.NotContains(t, f.entries[0].sharerIDs(), leaver.id)
		require.Contains(t, f.entries[0].sharerIDs(), killed.id)
		require.Len(t, f.entries[0].follower.State().Roster, 3)
	})
}

// Guards against entries that each take the whole of a limit that they share: after all control VMs
// were lost for long, entries forgot each other at the first answer of one with an empty disk.
func TestEntryCountOutlivesLostControlVMs(t *testing.T) {
	t.Parallel()

	for _, down := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second, 12 * time.Second, time.Minute} {
		t.Run(down.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, fleetSize{controls: 3, entries: 20, targets: 5})
				f.run(settled)

				fail := pollFunc(unreachable)
				f.intercept.Store(&fail)
				time.Sleep(down)

				for i := range f.controls {
					f.replaceControl(i)
				}

				f.intercept.Store(nil)
				f.requireEntryCount(6 * time.Second)
			})
		})
	}
}
