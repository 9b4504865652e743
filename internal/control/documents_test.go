package control_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// startDocumentServer runs a control VM with documents until the test ends.
func startDocumentServer(t *testing.T) (*control.Server, *control.MemoryLog) {
	t.Helper()

	s := newDocumentServer()

	return s, runDocumentServer(t, s)
}

func newDocumentServer() *control.Server {
	return &control.Server{
		Cluster: "trust", VM: "c1",
		Zones: map[string]string{"a": "r", "b": "r"}, AnnounceInterval: time.Second,
		ReadDocument: func(sent []byte) (*wire.RouteTable, error) {
			name, number, _ := strings.Cut(string(sent), " ")

			return &wire.RouteTable{Services: []*wire.RoutedService{{Name: name, HealthPath: number}}}, nil
		},
		ControlAddresses: func() []string { return []string{"127.0.0.1:1"} },
	}
}

// runDocumentServer applies the edits to s and runs it on an in-memory log until the test
// ends.
func runDocumentServer(t *testing.T, s *control.Server, edits ...func(*control.Server)) *control.MemoryLog {
	t.Helper()

	log := &control.MemoryLog{}
	s.Propose, s.ReadIndex = log.Propose, log.ReadIndex

	for _, edit := range edits {
		edit(s)
	}

	s.Init()
	log.Apply = s.Apply

	ctx, stop := context.WithCancel(t.Context())

	var g sync.WaitGroup

	g.Go(func() { _ = s.Run(ctx) })
	t.Cleanup(func() {
		stop()
		g.Wait()
	})

	return log
}

// Operators adopt documents concurrently and resend them after lost answers, and old
// changes arrive late. The highest number must win, with the content first accepted under
// it. All of them must be acknowledged, and the document must be returned as it was sent.
func TestHighestDocumentNumberWins(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, _ := startDocumentServer(t)
		ctx := t.Context()

		none, err := s.Document(ctx)
		require.NoError(t, err)
		require.Nil(t, none)

		for _, d := range []struct {
			number uint64
			sent   string
			want   string
		}{
			{3, "desk third", "desk third"},
			{2, "desk second", "desk third"},
			{3, "desk other", "desk third"},
			{9, "desk ninth", "desk ninth"},
			{3, "desk third", "desk ninth"},
			{9, "desk ninth", "desk ninth"},
		} {
			require.NoError(t, s.Adopt(ctx, d.number, []byte(d.sent)))

			got, err := s.Document(ctx)
			require.NoError(t, err)
			require.Equal(t, d.want, string(got))
		}
	})
}

// A control VM without a quorum, or one resumed after a suspension, cannot determine whether its
// document is the latest. It must return an error instead of the document.
func TestDocumentReadNeedsQuorum(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var noQuorum atomic.Bool

		s := newDocumentServer()
		runDocumentServer(t, s, func(s *control.Server) {
			read := s.ReadIndex
			s.ReadIndex = func(ctx context.Context) (time.Time, uint64, error) {
				if noQuorum.Load() {
					return time.Time{}, 0, errors.New("no quorum")
				}

				return read(ctx)
			}
		})
		require.NoError(t, s.Adopt(t.Context(), 1, []byte("desk first")))

		_, err := s.Document(t.Context())
		require.NoError(t, err)
		noQuorum.Store(true)

		_, err = s.Document(t.Context())
		require.Error(t, err)
	})
}

// Documents and zone orders must be part of the snapshot from which a control VM starts
// when it joins or restarts.
func TestSnapshotKeepsDocumentAndZoneOrder(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		first, _ := startDocumentServer(t)
		second, _ := startDocumentServer(t)
		sent := "desk " + strings.Repeat("route ", 20000)

		require.NoError(t, first.Adopt(t.Context(), 5, []byte(sent)))
		require.NoError(t, first.SetZoneOut(t.Context(), "b", true))
		require.NoError(t, second.Restore(first.Snapshot()))

		got, err := second.Document(t.Context())
		require.NoError(t, err)
		require.Equal(t, sent, string(got))

		out, err := second.Follow(t.Context(), &wire.FollowRequest{Cluster: "trust", ID: "e"})
		require.NoError(t, err)
		require.Equal(t, []string{"b"}, out.GetZonesOut())
		require.Equal(t, uint64(5), out.GetNumber())
		require.Equal(t, "desk", out.GetTable().GetServices()[0].GetName())

		require.NoError(t, second.Adopt(t.Context(), 4, []byte("desk older")))

		got, err = second.Document(t.Context())
		require.NoError(t, err)
		require.Equal(t, sent, string(got), "an older number changed the document after a restart")
	})
}

// Taking a zone out must be repeatable, as the answer may be lost, and reversible.
// Undeclared zones must be rejected.
func TestSetZoneOut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, _ := startDocumentServer(t)
		follow := func() []string {
			out, err := s.Follow(t.Context(), &wire.FollowRequest{Cluster: "trust", ID: "e"})
			require.NoError(t, err)

			return out.GetZonesOut()
		}

		for range 2 {
			require.NoError(t, s.SetZoneOut(t.Context(), "a", true))
			require.Equal(t, []string{"a"}, follow())
		}

		require.NoError(t, s.SetZoneOut(t.Context(), "a", false))
		require.Empty(t, follow())

		var undeclared *control.UndeclaredError

		require.ErrorAs(t, s.SetZoneOut(t.Context(), "z", true), &undeclared)
	})
}

func newTarget(id, service, zone string) directory.Target {
	return directory.Target{ID: id, StartTime: 1, Sequence: 1, Service: service, Zone: zone, Address: netip.MustParseAddrPort("10.0.0.1:80")}
}

// Announcements with undeclared services or zones must be rejected. If they were recorded,
// such a target could take over the address of an existing one.
func TestUndeclaredTargetsAreRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, _ := startDocumentServer(t)

		var undeclared *control.UndeclaredError

		require.NoError(t, s.Announce(t.Context(), newTarget("i1", "anything", "a")), "rejected although no document declares services yet")
		require.NoError(t, s.Adopt(t.Context(), 1, []byte("desk first")))
		require.NoError(t, s.Announce(t.Context(), newTarget("i2", "desk", "a")))
		require.ErrorAs(t, s.Announce(t.Context(), newTarget("i3", "other", "a")), &undeclared)
		require.ErrorAs(t, s.Announce(t.Context(), newTarget("i4", "desk", "z")), &undeclared)
	})
}

// A follower's held request must be answered immediately when a document is adopted, a zone
// goes out, or a target is announced or ends.
func TestFollowReturnsOnChange(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, _ := startDocumentServer(t)
		known := &wire.FollowRequest{Cluster: "trust", ID: "e", WaitMillis: 1500}
		next := func() *wire.FollowResponse {
			out, err := s.Follow(t.Context(), known)
			require.NoError(t, err)

			known.KnownIndex, known.KnownNumber = out.GetIndex(), max(known.GetKnownNumber(), out.GetNumber())
			known.DirectoryBoot, known.DirectoryRevision = out.GetDirectoryBoot(), out.GetDirectoryRevision()

			return out
		}
		require.True(t, next().GetFull())

		for i, change := range []func() error{
			func() error { return s.Adopt(t.Context(), 1, []byte("desk first")) },
			func() error { return s.SetZoneOut(t.Context(), "a", true) },
			func() error { return s.Announce(t.Context(), newTarget("i1", "desk", "a")) },
			func() error { return s.Leave(t.Context(), "i1") },
		} {
			began := time.Now()

			time.AfterFunc(100*time.Millisecond, func() {
				if err := change(); err != nil {
					t.Error(err)
				}
			})

			out := next()
			require.Less(t, time.Since(began), 110*time.Millisecond, fmt.Sprint(i))
			require.Equal(t, uint32(1), out.GetEntries())
		}

		began := time.Now()
		require.Empty(t, next().GetTargets())
		require.Equal(t, 1500*time.Millisecond, time.Since(began), "answered early without a change")
	})
}

// Followers cancel their requests at any time, for example when their process is killed. A
// request that is canceled while its answer is built must not return that answer: the
// caller would read it during the write, which is a data race.
func TestCanceledFollowDoesNotRaceWithItsAnswer(t *testing.T) {
	t.Parallel()

	s, _ := startDocumentServer(t)

	for range 2000 {
		ctx, cancel := context.WithCancel(t.Context())

		go cancel()

		_, _ = s.Follow(ctx, &wire.FollowRequest{Cluster: "trust", ID: "e"})
	}
}

// Agents follow only for the targets and services of their group. When six control VMs each
// sent an agent all routes of a large configuration over a link of 8 Mbit/s, the agent did
// not respond for a second, its standby considered it failed, and the group made no
// progress between the two.
func TestServicesOnlyFollowGetsNoRoutes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newDocumentServer()
		s.ReadDocument = func([]byte) (*wire.RouteTable, error) {
			return &wire.RouteTable{
				Number: 1, Services: []*wire.RoutedService{{Name: "desk"}},
				Routes: []*wire.Route{{Name: "r"}}, Workspaces: []*wire.RoutedWorkspace{{Name: "w"}},
			}, nil
		}

		runDocumentServer(t, s)
		require.NoError(t, s.Adopt(t.Context(), 1, []byte("desk first")))

		out, err := s.Follow(t.Context(), &wire.FollowRequest{Cluster: "trust", ID: "agent", ServicesOnly: true})
		require.NoError(t, err)
		require.Equal(t, uint64(1), out.GetTable().GetNumber())
		require.NotEmpty(t, out.GetTable().GetServices())
		require.Empty(t, out.GetTable().GetRoutes())
		require.Empty(t, out.GetTable().GetWorkspaces())

		full, err := s.Follow(t.Context(), &wire.FollowRequest{Cluster: "trust", ID: "entry"})
		require.NoError(t, err)
		require.NotEmpty(t, full.GetTable().GetRoutes(), "a follower without ServicesOnly got no routes")
	})
}

// All control VMs are killed at the same time and restart. Their followers must immediately
// get the targets known before, including the removed ones. A truncated file must count as
// no saved directory.
func TestTargetsSurviveRestart(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var (
			mu        sync.Mutex
			savedData []byte
		)

		save := func(data []byte) error {
			mu.Lock()
			defer mu.Unlock()

			savedData = data

			return nil
		}
		saved := func() []byte {
			mu.Lock()
			defer mu.Unlock()

			return savedData
		}
		start := func(savedData func() ([]byte, error), save func([]byte) error) *control.Server {
			s := newDocumentServer()
			s.LoadTargets, s.SaveTargets = savedData, save
			runDocumentServer(t, s)

			return s
		}
		first := start(func() ([]byte, error) { return nil, errors.New("none") }, save)
		removed := newTarget("i2", "desk", "a")
		removed.Address = netip.MustParseAddrPort("10.0.0.2:80")

		require.NoError(t, first.Announce(t.Context(), newTarget("i1", "desk", "a")))
		require.NoError(t, first.Announce(t.Context(), removed))
		require.NoError(t, first.Leave(t.Context(), "i2"))
		time.Sleep(time.Second)

		second := start(func() ([]byte, error) { return saved(), nil }, nil)
		out, err := second.Follow(t.Context(), &wire.FollowRequest{Cluster: "trust", ID: "e"})
		require.NoError(t, err)
		require.Len(t, out.GetTargets(), 2)

		for _, w := range out.GetTargets() {
			require.Equal(t, w.GetID() == "i2", w.GetState() == wire.TargetState_TargetGone)
		}

		require.NoError(t, second.Announce(t.Context(), removed))

		third := start(func() ([]byte, error) { return saved()[:len(saved())-3], nil }, nil)
		out, err = third.Follow(t.Context(), &wire.FollowRequest{Cluster: "trust", ID: "e"})
		require.NoError(t, err)
		require.Empty(t, out.GetTargets())
	})
}

// Guards against an odd target in the directory that was saved before a restart, which is used again, or holds back the others.
func TestOddTargetInASavedDirectoryIsLeftOut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		data, err := proto.Marshal(&wire.FollowResponse{SavedAtMillis: time.Now().UnixMilli(), Targets: []*wire.TargetEntry{
			{ID: "i1", Address: "10.0.0.1:0", Service: "desk", Zone: "a", Born: 1, Sequence: 1},
			{ID: "i2", Address: "10.0.0.1:80", Service: "desk", Zone: "a", Born: math.MaxInt64, Sequence: 1},
			{ID: "i3", Address: "10.0.0.1:80", Service: "desk", Zone: "a", Born: 1, Sequence: 1, Rank: math.MaxUint32, GroupSize: math.MaxUint32, Group: "g"},
			{ID: "sound", Address: "10.0.0.2:80", Service: "desk", Zone: "a", Born: 1, Sequence: 1},
		}})
		require.NoError(t, err)

		s := newDocumentServer()
		s.LoadTargets = func() ([]byte, error) { return data, nil }
		runDocumentServer(t, s)

		out, err := s.Follow(t.Context(), &wire.FollowRequest{Cluster: "trust", ID: "e"})
		require.NoError(t, err)
		require.Len(t, out.GetTargets(), 1)
		require.Equal(t, "sound", out.GetTargets()[0].GetID())
	})
}

// Entries divide shared limits by their number. Entries that are leaving or have stopped
// sending requests must not count.
func TestOnlyActiveFollowersAreCounted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s, _ := startDocumentServer(t)
		follow := func(id string, leaving bool) *wire.FollowResponse {
			out, err := s.Follow(t.Context(), &wire.FollowRequest{Cluster: "trust", ID: id, Leaving: leaving, Relay: "10.0.0.1:" + id[1:]})
			require.NoError(t, err)

			return out
		}
		follow("e1", false)
		follow("e2", false)

		out := follow("e3", true)
		require.Equal(t, uint32(2), out.GetEntries())
		require.Equal(t, []string{"10.0.0.1:1", "10.0.0.1:2"}, out.GetRelays())
		time.Sleep(5 * time.Second)
		require.Equal(t, uint32(1), follow("e1", false).GetEntries())

		_, err := s.Follow(t.Context(), &wire.FollowRequest{Cluster: "qurum", ID: "e9"})
		require.Error(t, err)
	})
}

// All VMs lose power, and the first entry to send a request is answered before the others
// have sent theirs. That entry must not count itself as the only one, or it would use the
// complete shared limit.
func TestRosterSurvivesRestart(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var savedData atomic.Pointer[[]byte]

		follow := func(s *control.Server, id string, hash uint64) *wire.FollowResponse {
			out, err := s.Follow(t.Context(), &wire.FollowRequest{Cluster: "trust", ID: id, Zone: "z" + id, RosterHash: hash})
			require.NoError(t, err)

			return out
		}

		first := newDocumentServer()
		first.LoadTargets = func() ([]byte, error) { return nil, errors.New("none") }
		first.SaveTargets = func(data []byte) error { savedData.Store(&data); return nil }
		runDocumentServer(t, first)
		follow(first, "e1", 0)
		follow(first, "e2", 0)

		out := follow(first, "e3", 0)
		require.Len(t, out.GetRoster(), 3)
		require.Equal(t, "ze1", out.GetRoster()[0].GetZone())
		require.Empty(t, follow(first, "e3", out.GetRosterHash()).GetRoster(), "sent the unchanged roster again")
		time.Sleep(2 * time.Second)

		second := newDocumentServer()
		second.LoadTargets = func() ([]byte, error) { return *savedData.Load(), nil }
		runDocumentServer(t, second)
		require.Len(t, follow(second, "e2", 0).GetRoster(), 3)
		time.Sleep(5 * time.Second)
		require.Len(t, follow(second, "e2", 0).GetRoster(), 1, "counted entries that stopped sending requests")
	})
}

// Guards against entries that get nothing else, while they or this VM can't apply the document in force.
func TestRefusedDocumentIsReplacedByTheOneBefore(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newDocumentServer()
		runDocumentServer(t, s)
		require.NoError(t, s.Adopt(t.Context(), 1, []byte("desk first")))
		require.NoError(t, s.Adopt(t.Context(), 2, []byte("desk second")))
		require.NoError(t, s.SetZoneOut(t.Context(), "a", true))

		follow := func(r *wire.FollowRequest) *wire.FollowResponse {
			r.Cluster, r.ID = "trust", "e"

			out, err := s.Follow(t.Context(), r)
			require.NoError(t, err)

			return out
		}
		numberOf := func(r *wire.FollowRequest) uint64 {
			out := follow(r)
			if out.GetTable() == nil {
				return 0
			}

			return out.GetNumber()
		}

		require.Equal(t, uint64(2), numberOf(&wire.FollowRequest{}))
		require.Equal(t, uint64(1), numberOf(&wire.FollowRequest{RefusedNumber: 2}))
		require.Zero(t, numberOf(&wire.FollowRequest{RefusedNumber: 2, KnownNumber: 1}), "it has that one")
		require.Equal(t, uint64(2), numberOf(&wire.FollowRequest{RefusedNumber: 1, KnownNumber: 1}), "it refused an earlier one")

		restored := newDocumentServer()
		readable := restored.ReadDocument
		restored.ReadDocument = func(sent []byte) (*wire.RouteTable, error) {
			if string(sent) == "desk second" {
				return nil, errDisk
			}

			return readable(sent)
		}
		runDocumentServer(t, restored)
		require.NoError(t, restored.Restore(s.Snapshot()))

		s = restored
		require.Equal(t, uint64(1), numberOf(&wire.FollowRequest{}), "this VM can't read the one in force")
		require.Equal(t, []string{"a"}, follow(&wire.FollowRequest{KnownNumber: 1}).GetZonesOut())
	})
}
