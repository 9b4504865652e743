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
