package control_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// announceTimeout is how long a target waits for the answer to its announcement.
const announceTimeout = time.Second

func drainingTarget(sequence uint64) directory.Target {
	t := incarnation(5, sequence)
	t.State = directory.Draining

	return t
}

// requireDraining requires that an entry hears of the target as draining from the control VMs that run.
func (c *controlSet) requireDraining() {
	c.t.Helper()

	ts := c.published()
	require.Len(c.t, ts, 1)
	require.Equal(c.t, directory.Draining, ts[0].State)
}

// A target tells a control VM that it is draining, and that VM is lost, or stands still, right after its answer, alone or with
// one of the voters. Guards against entries that hear of it only with the target's next announcement.
func TestAcknowledgedDrainingOutlivesItsControlVM(t *testing.T) {
	t.Parallel()

	const vms, voters = 4, 3

	for at := range vms {
		for lost := range voters {
			t.Run(fmt.Sprintf("at control VM %d, %d lost as well", at, lost), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					c := newControlSetWithVoters(t, vms, voters)
					require.NoError(t, c.running[at].Announce(t.Context(), incarnation(5, 1)))
					time.Sleep(time.Second)

					began := time.Now()
					require.NoError(t, c.running[at].Announce(t.Context(), drainingTarget(2)))
					require.LessOrEqual(t, time.Since(began), 2*time.Millisecond, "one message to the voters and back")
					c.kill(at, false)

					if lost != at {
						c.kill(lost, false)
					}

					c.requireDraining()

					// Its announcements go to another VM, and end there.
					next := (at + 1) % voters
					if next == lost {
						next = (next + 1) % voters
					}

					if next == at {
						return
					}

					time.Sleep(announceTimeout)
					c.requireDraining()
				})
			})
		}
	}
}

// Guards against notices that are not acknowledged in time while a third of the voters is lost or stands still, and against
// ones that are acknowledged by too few.
func TestDrainingIsAcknowledgedByAMajority(t *testing.T) {
	t.Parallel()

	for _, tc := range []struct {
		name                string
		vms, voters, at     int
		killed, frozen      []int
		acknowledged, spare bool
	}{
		{name: "all of three", vms: 3, voters: 3, acknowledged: true},
		{name: "one of three killed", vms: 3, voters: 3, killed: []int{1}, acknowledged: true},
		{name: "one of three frozen", vms: 3, voters: 3, frozen: []int{1}, acknowledged: true, spare: true},
		{name: "two of three killed", vms: 3, voters: 3, killed: []int{1, 2}},
		{name: "two of three frozen", vms: 3, voters: 3, frozen: []int{1, 2}},
		{name: "at a learner", vms: 4, voters: 3, at: 3, acknowledged: true},
		{name: "at a learner, one of three frozen", vms: 4, voters: 3, at: 3, frozen: []int{0}, acknowledged: true},
		{name: "at a learner, two of three killed", vms: 4, voters: 3, at: 3, killed: []int{0, 1}},
		{name: "two of five frozen", vms: 7, voters: 5, frozen: []int{1, 2}, acknowledged: true, spare: true},
		{name: "three of five frozen", vms: 7, voters: 5, frozen: []int{1, 2, 3}},
		{name: "alone", vms: 1, voters: 1, acknowledged: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newControlSetWithVoters(t, tc.vms, tc.voters)
				require.NoError(t, c.running[tc.at].Announce(t.Context(), incarnation(5, 1)))

				for _, i := range tc.killed {
					c.kill(i, true)
				}

				c.mu.Lock()
				for _, i := range tc.frozen {
					c.frozen[i] = true
				}
				c.mu.Unlock()

				began := time.Now()
				err := c.running[tc.at].Announce(t.Context(), drainingTarget(2))
				took := time.Since(began)
				require.Equal(t, tc.acknowledged, err == nil, "%v", err)
				require.Less(t, took, announceTimeout)
				require.Equal(t, tc.spare, took > 100*time.Millisecond && tc.acknowledged, "%s", took)

				// The entries of this VM hear of it in any case.
				out, err := c.running[tc.at].Follow(t.Context(), &wire.FollowRequest{Cluster: "trust", ID: "entry"})
				require.NoError(t, err)
				require.Equal(t, wire.TargetState_TargetDraining, out.GetTargets()[0].GetState())

				if !tc.acknowledged {
					return
				}

				time.Sleep(announceTimeout) // Calls to voters go on after the acknowledgement.

				before := c.drainingCalls()
				began = time.Now()
				require.NoError(t, c.running[tc.at].Announce(t.Context(), drainingTarget(3)))
				require.Zero(t, time.Since(began), "a repeated notice is in the directory of the voters")
				require.Equal(t, before, c.drainingCalls())
			})
		})
	}
}

// Guards against a notice that a control VM got from another one, and acknowledges when the target repeats it, although no
// other knows.
func TestReportedDrainingIsShared(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newControlSet(t, 3)
		require.NoError(t, c.running[0].Announce(t.Context(), incarnation(5, 1)))
		c.mu.Lock()
		c.frozen[2] = true
		c.mu.Unlock()
		c.kill(1, true)
		require.Error(t, c.running[0].Announce(t.Context(), drainingTarget(2)))
		c.start(1)
		c.kill(0, true)
		c.mu.Lock()
		c.frozen[2] = false
		c.mu.Unlock()
		time.Sleep(time.Second)
		require.NoError(t, c.running[1].Announce(t.Context(), drainingTarget(3)))
		c.kill(1, true)
		c.requireDraining()
	})
}

// A voter of an earlier build does not have the call. Guards against notices that are never acknowledged during an update.
func TestDrainingBesideEarlierBuilds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newDocumentServer()
		s.FindVoters = func() (bool, []control.Voter) {
			voters := voterSet(2)
			for i := range voters {
				voters[i].RecordDraining = func(context.Context, *wire.DrainingRequest) error { return errBadRoute }
			}

			return true, voters
		}
		runDocumentServer(t, s)
		require.NoError(t, s.Announce(t.Context(), drainingTarget(2)))
	})
}

// Guards against notices that entries of a large deployment hear of later than targets serve after their acknowledgement,
// if the VM that acknowledged them is silent from then on and they follow a single other one: 115 of 645 targets are taken away at once, at 289 entries.
func TestDrainingReachesAllEntriesInTime(t *testing.T) {
	t.Parallel()

	const (
		vms, voters   = 7, 5
		leaving       = 115
		drainTime     = 2 * time.Second
		notSharedTime = 100 * time.Millisecond
	)

	for _, entries := range []int{7, 289} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newControlSetWithVoters(t, vms, voters)
				notice := func(i int, sequence uint64, state directory.State) error {
					target := newTarget(fmt.Sprint("i", i), "desk", "a")
					target.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080)
					target.Sequence, target.State = sequence, state

					return c.running[0].Announce(t.Context(), target)
				}

				for i := range leaving {
					require.NoError(t, notice(i, 1, directory.Ready))
				}

				ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
				defer stop()

				var followers sync.WaitGroup

				heard := make([]time.Time, entries)

				for e := range entries {
					followers.Go(func() { heard[e] = followUntilDraining(ctx, c.running[1], e, leaving) })
				}

				time.Sleep(time.Second)

				began := time.Now()
				errs := make(chan error, leaving)

				for i := range leaving {
					go func() { errs <- notice(i, 2, directory.Draining) }()
				}

				for range leaving {
					require.NoError(t, <-errs)
				}

				acknowledged := time.Now()
				require.Less(t, acknowledged.Sub(began), notSharedTime)
				c.kill(0, true)
				followers.Wait()

				require.NotContains(t, heard, time.Time{}, "each entry hears of all from a single voter")

				last := slices.MaxFunc(heard, time.Time.Compare)
				c.mu.Lock()
				t.Logf("%d entries: acknowledged after %s, the last entry has heard of all %s after that; %d messages of %d B between control VMs",
					entries, acknowledged.Sub(began), last.Sub(acknowledged), c.drainingMessages, c.drainingBytes)
				c.mu.Unlock()
				require.Less(t, last.Sub(acknowledged), drainTime)
			})
		})
	}
}

// followUntilDraining follows a control VM until n targets are draining, and returns when that was.
func followUntilDraining(ctx context.Context, s *control.Server, entry, n int) time.Time {
	var merged directory.MergedTargets

	r := &wire.FollowRequest{Cluster: "trust", ID: fmt.Sprint("e", entry), WaitMillis: 2000}

	for ctx.Err() == nil {
		out, err := s.Follow(ctx, r)
		if err != nil {
			return time.Time{}
		}

		r.DirectoryBoot, r.DirectoryRevision, r.KnownIndex = out.GetDirectoryBoot(), out.GetDirectoryRevision(), out.GetIndex()

		for _, w := range out.GetTargets() {
			if t, err := directory.FromWire(w, time.Now()); err == nil {
				merged.Merge([]directory.Target{t})
			}
		}

		count := 0

		for _, t := range merged.Targets() {
			if t.State == directory.Draining {
				count++
			}
		}

		if count == n {
			return time.Now()
		}

		time.Sleep(time.Millisecond) // the message
	}

	return time.Time{}
}
