package view_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

var (
	controlOne = netip.MustParseAddrPort("10.0.0.1:1")
	controlTwo = netip.MustParseAddrPort("10.0.0.2:1")
)

// fakeControls fakes control VMs whose answers a test sets.
type fakeControls struct {
	mu           sync.Mutex
	answers      map[netip.AddrPort]*wire.FollowResponse
	unresponsive map[netip.AddrPort]bool
}

var errCutOff = errors.New("cut off")

func (p *fakeControls) poll(ctx context.Context, at netip.AddrPort, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	if r.GetWaitMillis() > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}

	p.mu.Lock()
	out, unresponsive := p.answers[at], p.unresponsive[at]
	p.mu.Unlock()

	if unresponsive {
		<-ctx.Done()

		return nil, errCutOff
	}

	if out == nil {
		return nil, errCutOff
	}

	return out, nil
}

func (p *fakeControls) set(at netip.AddrPort, out *wire.FollowResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.answers[at] = out
}

func newTable(number uint64, service string) *wire.RouteTable {
	return &wire.RouteTable{Number: number, Services: []*wire.RoutedService{{Name: service}}}
}

func startFollower(t *testing.T, p *fakeControls, seeds ...netip.AddrPort) (*view.Follower, func()) {
	t.Helper()

	f := &view.Follower{
		Cluster: "trust", ID: "e", Seeds: func() []netip.AddrPort { return seeds }, Poll: p.poll,
		OnChange: func(*view.ClusterState) {},
	}
	return f, start(t, f)
}

// start runs a follower until the returned function is called.
func start(t *testing.T, f *view.Follower) (stop func()) {
	t.Helper()
	f.Init()

	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})

	go func() {
		defer close(done)

		_ = f.Run(ctx)
	}()

	return func() {
		cancel()
		<-done
	}
}

// A control VM is cut off and still reports an old configuration. An entry that has
// received the new one from another control VM must never revert, whichever answers
// last.
func TestFollowerNeverRevertsToOlderState(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := &fakeControls{answers: map[netip.AddrPort]*wire.FollowResponse{}, unresponsive: map[netip.AddrPort]bool{}}
		p.set(controlOne, &wire.FollowResponse{Index: 5, Number: 2, Table: newTable(2, "old"), ZonesOut: []string{"a"}, DirectoryBoot: 1})
		p.set(controlTwo, &wire.FollowResponse{Index: 9, Number: 7, Table: newTable(7, "new"), DirectoryBoot: 2})

		f, stop := startFollower(t, p, controlOne, controlTwo)
		defer stop()

		time.Sleep(2 * time.Second)

		s := f.State()
		require.Equal(t, uint64(7), s.Number)
		require.NotNil(t, s.Table.Service("new"))
		require.Empty(t, s.ZonesOut)
		require.Equal(t, 2, s.ControlsAnswered)

		p.set(controlOne, &wire.FollowResponse{Index: 10, Number: 7, ZonesOut: []string{"b"}, DirectoryBoot: 1})
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"b"}, f.State().ZonesOut)
		require.NotNil(t, f.State().Table.Service("new"), "a state without a table keeps the current table")
	})
}

// A seed is replaced by a control VM that the settings do not name. The entry
// discovers it through the other control VMs and polls it too.
func TestFollowerDiscoversControlVMs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := &fakeControls{answers: map[netip.AddrPort]*wire.FollowResponse{}, unresponsive: map[netip.AddrPort]bool{}}
		p.set(controlOne, &wire.FollowResponse{Index: 1, DirectoryBoot: 1, Controls: []string{controlTwo.String()}})
		p.set(controlTwo, &wire.FollowResponse{Index: 8, Number: 3, Table: newTable(3, "s"), DirectoryBoot: 2})

		f, stop := startFollower(t, p, controlOne)
		defer stop()

		time.Sleep(3 * time.Second)
		require.Equal(t, uint64(8), f.State().Index)
	})
}

// All VMs have lost power, and the control VM in the settings hears of the others only now. Guards
// against entries that wait for the next check of the list before they poll a VM that knows the
// configuration.
func TestFollowerPollsReportedControlVMsAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := &fakeControls{answers: map[netip.AddrPort]*wire.FollowResponse{}, unresponsive: map[netip.AddrPort]bool{}}
		p.set(controlOne, &wire.FollowResponse{DirectoryBoot: 1})
		p.set(controlTwo, &wire.FollowResponse{Index: 8, Number: 3, Table: newTable(3, "s"), DirectoryBoot: 2})

		f, stop := startFollower(t, p, controlOne)
		defer stop()

		time.Sleep(1100 * time.Millisecond)
		p.set(controlOne, &wire.FollowResponse{DirectoryBoot: 1, Controls: []string{controlTwo.String()}})
		time.Sleep(150 * time.Millisecond)
		require.Equal(t, uint64(3), f.State().Number)
	})
}

// A connection becomes permanently unresponsive. The poll times out after a second, and
// the next one, over a new connection, delivers the missed update.
func TestFollowerTimesOutUnresponsiveControlVM(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := &fakeControls{answers: map[netip.AddrPort]*wire.FollowResponse{}, unresponsive: map[netip.AddrPort]bool{controlOne: true}}

		f, stop := startFollower(t, p, controlOne)
		defer stop()

		time.Sleep(100 * time.Millisecond)
		p.set(controlOne, &wire.FollowResponse{Index: 2, Number: 1, Table: newTable(1, "s"), DirectoryBoot: 1})

		p.mu.Lock()
		p.unresponsive[controlOne] = false
		p.mu.Unlock()

		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, uint64(1), f.State().Number)
	})
}

// A control VM publishes an invalid table, address or target. The current state stays
// in force.
func TestFollowerKeepsStateOnInvalidAnswer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := &fakeControls{answers: map[netip.AddrPort]*wire.FollowResponse{}, unresponsive: map[netip.AddrPort]bool{}}
		p.set(controlOne, &wire.FollowResponse{Index: 2, Number: 1, Table: newTable(1, "s"), DirectoryBoot: 1})

		f, stop := startFollower(t, p, controlOne)
		defer stop()

		time.Sleep(time.Second)

		bad := newTable(2, "t")
		bad.Routes = []*wire.Route{{Name: "r", Prefix: "/x/", TimeoutMillis: 1, Shares: []*wire.Share{{Service: "gone", Weight: 1}}}}
		p.set(controlOne, &wire.FollowResponse{Index: 3, Number: 2, Table: bad, DirectoryBoot: 1})
		time.Sleep(time.Second)
		require.Equal(t, uint64(1), f.State().Number)

		p.set(controlOne, &wire.FollowResponse{Index: 4, Number: 3, Table: newTable(3, "t"), DirectoryBoot: 1, Targets: []*wire.TargetEntry{
			{ID: "bad", Address: "nowhere", Born: 1}, {ID: "good", Address: "10.0.0.9:80", Service: "t", Born: 1, Sequence: 1},
		}})
		time.Sleep(time.Second)
		require.Equal(t, uint64(3), f.State().Number)
		require.Len(t, f.State().Targets, 1)
	})
}

// Guards against an odd target of a control VM that is used, or that holds back the others of the same answer.
func TestOddTargetOfAControlVMIsLeftOut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := &fakeControls{answers: map[netip.AddrPort]*wire.FollowResponse{}, unresponsive: map[netip.AddrPort]bool{}}
		p.set(controlOne, &wire.FollowResponse{Index: 2, Number: 1, Table: newTable(1, "s"), DirectoryBoot: 1, Targets: []*wire.TargetEntry{
			{ID: "i1", Address: "0.0.0.0:80", Service: "s", Born: 1, Sequence: 1},
			{ID: "i2", Address: "10.0.0.8:80", Service: "s", Born: 1, Sequence: 1, Slots: math.MaxUint32},
			{ID: "i3", Address: "10.0.0.8:80", Service: "s", Born: math.MaxInt64, Sequence: 1},
			{ID: "i4", Address: "10.0.0.8:80", Service: "s", Born: 1, Sequence: math.MaxUint64},
			{ID: "i5", Address: "10.0.0.8:80", Service: "s", Born: 1, Sequence: 1, ColdMillis: math.MaxUint64},
			{ID: "i6", Address: "10.0.0.8:80", Service: "s", Born: 1, Sequence: 1, Group: "g", GroupSize: 4, Rank: 4},
			{ID: "i7", Address: "10.0.0.8:80", Service: "s", Born: 1, Sequence: 1, State: 9},
			{ID: "sound", Address: "10.0.0.9:80", Service: "s", Born: 1, Sequence: 1, Group: "g", GroupSize: 4, Rank: 3, ColdMillis: 1000},
		}})

		f, stop := startFollower(t, p, controlOne)
		defer stop()

		time.Sleep(time.Second)
		require.Equal(t, uint64(1), f.State().Number)
		require.Len(t, f.State().Targets, 1)
		require.Equal(t, "sound", f.State().Targets[0].ID)
	})
}

// Guards against zones that are not taken out, and targets that are not known, at an entry that can't apply the
// configuration of the same answer.
func TestInvalidTableHoldsBackNothingElse(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		p := &fakeControls{answers: map[netip.AddrPort]*wire.FollowResponse{}, unresponsive: map[netip.AddrPort]bool{}}
		p.set(controlOne, &wire.FollowResponse{Index: 2, Number: 1, Table: newTable(1, "s"), DirectoryBoot: 1})

		f, stop := startFollower(t, p, controlOne)
		defer stop()

		time.Sleep(time.Second)

		bad := newTable(2, "t")
		bad.Routes = []*wire.Route{{Name: "r", Prefix: "/x/", TimeoutMillis: 1, Shares: []*wire.Share{{Service: "gone", Weight: 1}}}}
		p.set(controlOne, &wire.FollowResponse{Index: 3, Number: 2, Table: bad, DirectoryBoot: 1, ZonesOut: []string{"a"}, Targets: []*wire.TargetEntry{
			{ID: "i1", Address: "10.0.0.9:80", Service: "s", Born: 1, Sequence: 1},
		}})
		time.Sleep(time.Second)
		require.Equal(t, uint64(1), f.State().Number)
		require.Equal(t, []string{"a"}, f.State().ZonesOut)
		require.Len(t, f.State().Targets, 1)
	})
}

// Guards against an entry that serves nothing after a restart, because it can't apply the configuration in force.
func TestEntryAsksForTheConfigurationBeforeAnInvalidOne(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bad := newTable(2, "t")
		bad.Routes = []*wire.Route{{Name: "r", Prefix: "/x/", TimeoutMillis: 1, Shares: []*wire.Share{{Service: "gone", Weight: 1}}}}

		f := &view.Follower{
			Cluster: "trust", ID: "e", Seeds: func() []netip.AddrPort { return []netip.AddrPort{controlOne} },
			OnChange: func(*view.ClusterState) {},
			Poll: func(_ context.Context, _ netip.AddrPort, r *wire.FollowRequest) (*wire.FollowResponse, error) {
				time.Sleep(100 * time.Millisecond)

				switch out := (&wire.FollowResponse{Index: 3, Number: 2, DirectoryBoot: 1}); {
				case r.GetKnownNumber() > 0 || r.GetWithoutTable():
					return out, nil
				case r.GetRefusedNumber() == 2:
					out.Number, out.Table = 1, newTable(1, "s")

					return out, nil
				default:
					out.Table = bad

					return out, nil
				}
			},
		}

		stop := start(t, f)
		defer stop()

		time.Sleep(5 * time.Second)
		require.Equal(t, uint64(1), f.State().Number)
		require.NotNil(t, f.State().Table.Service("s"))
	})
}

// A large configuration is published in a deployment with many control VMs. If each of
// them sent it to each entry, links would be saturated until polls time out. An entry
// fetches it once, from its own zone, or from another zone if its own does not answer.
func TestTableIsFetchedOnce(t *testing.T) {
	t.Parallel()

	for _, localAnswers := range []bool{true, false} {
		t.Run(fmt.Sprintf("local zone answers %v", localAnswers), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				var (
					seeds []netip.AddrPort
					mu    sync.Mutex
				)

				sent := map[netip.AddrPort]int{}
				localControl := netip.MustParseAddrPort("10.0.0.9:1")
				lastSent := uint64(0)
				startedAt := time.Now()
				number := func() uint64 { return 1 + uint64(time.Since(startedAt)/(3*time.Second)) }

				for i := range 9 {
					seeds = append(seeds, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(1 + i)}), 1))
				}

				poll := func(ctx context.Context, at netip.AddrPort, r *wire.FollowRequest) (*wire.FollowResponse, error) {
					if at == localControl && !localAnswers && r.GetWaitMillis() > 0 {
						<-ctx.Done()

						return nil, errCutOff
					}

					n := number()
					for until := time.Now().Add(time.Duration(r.GetWaitMillis()) * time.Millisecond); n <= r.GetKnownIndex() && time.Now().Before(until); n = number() {
						time.Sleep(10 * time.Millisecond)
					}

					out := &wire.FollowResponse{Index: n, Number: n, DirectoryBoot: 1, Zone: "far"}
					if at == localControl {
						out.Zone = "z"
					}

					if n > r.GetKnownNumber() && !r.GetWithoutTable() {
						out.Table = newTable(n, fmt.Sprint(n))

						mu.Lock()
						sent[at]++
						lastSent = n
						mu.Unlock()
					}

					return out, nil
				}

				f := &view.Follower{
					Cluster: "trust", ID: "e", Zone: "z", Seeds: func() []netip.AddrPort { return seeds }, Poll: poll,
					OnChange: func(*view.ClusterState) {},
				}
				stop := start(t, f)

				time.Sleep(31 * time.Second)
				stop()

				total := 0
				for _, n := range sent {
					total += n
				}

				require.Equal(t, lastSent, f.State().Number)
				require.Equal(t, uint64(11), lastSent)
				require.LessOrEqual(t, total, 12, "once for each of 11 changes, and once more at the start")

				if localAnswers {
					require.GreaterOrEqual(t, sent[localControl], 10)
				}
			})
		})
	}
}

// Two control VMs report some entries each, and one of them fails permanently. Guards
// against an entry that counts too few other entries, and against one that counts lost
// entries forever.
func TestRosterMergesControlVMsAndDropsUnreachableOnes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		roster := func(ids ...string) []*wire.RosterEntry {
			var out []*wire.RosterEntry
			for _, id := range ids {
				out = append(out, &wire.RosterEntry{ID: id, Zone: "z"})
			}

			return out
		}
		p := &fakeControls{answers: map[netip.AddrPort]*wire.FollowResponse{}, unresponsive: map[netip.AddrPort]bool{}}
		p.set(controlOne, &wire.FollowResponse{DirectoryBoot: 1, Roster: roster("a", "b"), RosterHash: 12})
		p.set(controlTwo, &wire.FollowResponse{DirectoryBoot: 2, Roster: roster("b", "c"), RosterHash: 23})

		f, stop := startFollower(t, p, controlOne, controlTwo)
		defer stop()

		ids := func() string {
			var out []string
			for _, e := range f.State().Roster {
				out = append(out, e.ID)
			}

			return strings.Join(out, " ")
		}

		time.Sleep(time.Second)
		require.Equal(t, "a b c", ids())
		require.Equal(t, 3, f.State().Entries)
		p.set(controlOne, nil)
		time.Sleep(2 * time.Second)
		require.Equal(t, "a b c", ids(), "a control VM that fails briefly still counts")
		time.Sleep(20 * time.Second)
		require.Equal(t, "b c", ids())
	})
}

// Guards against entries that are counted forever after the control VM that reported them was lost and
// came back without them.
func TestSettledControlVMReplacesWhatItReportedBefore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		answer := func(boot, hash uint64, ids ...string) *wire.FollowResponse {
			out := &wire.FollowResponse{DirectoryBoot: boot, RosterHash: hash, Entries: uint32(len(ids))}
			for _, id := range ids {
				out.Roster = append(out.Roster, &wire.RosterEntry{ID: id})
			}

			return out
		}

		p := &fakeControls{answers: map[netip.AddrPort]*wire.FollowResponse{}, unresponsive: map[netip.AddrPort]bool{}}
		p.set(controlOne, answer(1, 10, "a", "b", "c"))

		f, stop := startFollower(t, p, controlOne)
		defer stop()

		time.Sleep(10 * time.Second)
		require.Equal(t, 3, f.State().Entries)

		// It has the same roster at first, which must not count as unchanged.
		p.set(controlOne, answer(2, 10, "a"))
		time.Sleep(4 * time.Second)
		require.Equal(t, 3, f.State().Entries)
		time.Sleep(4 * time.Second)
		require.Equal(t, 1, f.State().Entries)

		// It may have been cut off from all entries.
		p.set(controlOne, nil)
		time.Sleep(5 * time.Second)
		p.set(controlOne, answer(2, 11))
		time.Sleep(4 * time.Second)
		require.Len(t, f.State().Roster, 1)
		time.Sleep(4 * time.Second)
		require.Empty(t, f.State().Roster)

		// Polls that fail now and then do not put off what the answers take away.
		p.set(controlOne, answer(2, 12, "a", "b"))
		time.Sleep(time.Second)
		require.Len(t, f.State().Roster, 2)

		for range 10 {
			p.set(controlOne, nil)
			time.Sleep(200 * time.Millisecond)
			p.set(controlOne, answer(2, 13, "a"))
			time.Sleep(time.Second)
		}

		require.Len(t, f.State().Roster, 1)
	})
}
