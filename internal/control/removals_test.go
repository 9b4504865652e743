package control_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/wire"
)

var errDisk = errors.New("input/output error")

// errBadRoute is the answer to a call that an earlier build does not have.
var errBadRoute = twirp.NewError(twirp.BadRoute, "no handler")

// voterSet is the other voters of a control VM; those at the indexes in saves record removals.
func voterSet(n int, saves ...int) []control.Voter {
	out := make([]control.Voter, n)
	for i := range out {
		out[i].Name = fmt.Sprint("voter-", i)
		out[i].RecordRemoval = func(context.Context, *wire.RemovalRequest) error { return errDisk }
		out[i].ExchangeIncarnations = func(context.Context, *wire.IncarnationsRequest) (*wire.IncarnationsResponse, error) {
			return &wire.IncarnationsResponse{}, nil
		}
	}

	for _, i := range saves {
		out[i].RecordRemoval = func(context.Context, *wire.RemovalRequest) error { return nil }
	}

	return out
}

// Guards against an acknowledged removal that a loss of power of all, or of as many disks as are tolerated, undoes.
func TestRemovalIsOnTheDisksOfAMajority(t *testing.T) {
	t.Parallel()

	for name, tc := range map[string]struct {
		self   bool
		disk   error
		others []control.Voter
		acked  bool
	}{
		"alone":                          {self: true, acked: true},
		"alone, disk full":               {self: true, disk: errDisk},
		"all of three":                   {self: true, others: voterSet(2, 0, 1), acked: true},
		"two of three":                   {self: true, others: voterSet(2, 1), acked: true},
		"two of three, own disk full":    {self: true, disk: errDisk, others: voterSet(2, 0, 1), acked: true},
		"one of three":                   {self: true, others: voterSet(2)},
		"one of three, own disk full":    {self: true, disk: errDisk, others: voterSet(2, 0)},
		"a learner, two of three":        {others: voterSet(3, 0, 2), acked: true},
		"a learner, one of three":        {others: voterSet(3, 0)},
		"three of five":                  {self: true, others: voterSet(4, 1, 3), acked: true},
		"two of five":                    {self: true, others: voterSet(4, 1)},
		"one that knows of no voters":    {},
		"three of four, one is replaced": {self: true, others: voterSet(3, 0, 1), acked: true},
		"two of four, one is replaced":   {self: true, others: voterSet(3, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newDocumentServer()
				s.SaveTargets = func([]byte) error { return tc.disk }
				s.FindVoters = func() (bool, []control.Voter) { return tc.self, tc.others }
				runDocumentServer(t, s)

				began := time.Now()
				err := s.Leave(t.Context(), "i1")
				require.Equal(t, tc.acked, err == nil)
				require.Less(t, time.Since(began), 300*time.Millisecond, "what can't be acknowledged is refused at once")
			})
		})
	}
}

// Guards against a DELETE that waited in the connection of a suspended control VM until its caller had been answered by
// another one, and ends the incarnation that the caller has started since.
func TestRemovalWhoseCallerHasLeftHasNoEffect(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, leave := context.WithCancel(t.Context())
		defer leave()

		voters := voterSet(2, 0, 1)

		for i := range voters {
			voters[i].ExchangeIncarnations = func(context.Context, *wire.IncarnationsRequest) (*wire.IncarnationsResponse, error) {
				leave()

				return &wire.IncarnationsResponse{}, nil
			}
		}

		s := newDocumentServer()
		s.SaveTargets = func([]byte) error { return nil }
		s.FindVoters = func() (bool, []control.Voter) { return true, voters }
		runDocumentServer(t, s)
		require.NoError(t, s.Announce(t.Context(), newTarget("i1", "desk", "a")))
		require.Error(t, s.Leave(ctx, "i1"))
		time.Sleep(time.Second)

		out, err := s.Follow(t.Context(), &wire.FollowRequest{Cluster: "trust", ID: "e"})
		require.NoError(t, err)
		require.Len(t, out.GetTargets(), 1)
		require.Equal(t, wire.TargetState_TargetReady, out.GetTargets()[0].GetState())
	})
}

// Guards against a removal that is acknowledged while its VM still writes the directory of before.
func TestRemovalWaitsForItsOwnSave(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var saves, saved atomic.Int64

		s := newDocumentServer()
		s.SaveTargets = func([]byte) error {
			saves.Add(1)
			time.Sleep(150 * time.Millisecond)
			saved.Add(1)

			return nil
		}
		runDocumentServer(t, s)
		require.NoError(t, s.Announce(t.Context(), newTarget("i1", "desk", "a")))

		for saves.Load() == 0 {
			time.Sleep(time.Millisecond)
		}

		require.NoError(t, s.Leave(t.Context(), "i1"))
		require.GreaterOrEqual(t, saved.Load(), int64(2))
	})
}

// Guards against a sync for each removal, or for announcements, on a busy disk.
func TestRemovalsShareSyncs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const targets = 645

		var saves atomic.Int64

		s := newDocumentServer()
		s.SaveTargets = func([]byte) error {
			saves.Add(1)
			time.Sleep(50 * time.Millisecond)

			return nil
		}
		runDocumentServer(t, s)

		errs := make(chan error, targets)

		for i := range targets {
			go func() { errs <- s.Leave(t.Context(), string(rune('a'+i%26))+time.Duration(i).String()) }()
		}

		for range targets {
			require.NoError(t, <-errs)
		}

		require.LessOrEqual(t, saves.Load(), int64(4))
	})
}

// Guards against an ID that no message can carry: entries would get no answer while the directory holds it.
func TestInvalidIDsAreRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newDocumentServer()
		runDocumentServer(t, s)

		for _, id := range []string{"", "\xff", "i\xc3", strings.Repeat("i", 257)} {
			var invalid *control.InvalidIDError

			require.ErrorAs(t, s.Leave(t.Context(), id), &invalid)
			require.ErrorAs(t, s.Announce(t.Context(), newTarget(id, "desk", "a")), &invalid)
		}

		require.NoError(t, s.Leave(t.Context(), strings.Repeat("ü", 128)))

		out, err := s.Follow(t.Context(), &wire.FollowRequest{Cluster: "trust", ID: "e"})
		require.NoError(t, err)

		_, err = proto.Marshal(out)
		require.NoError(t, err)
		require.Len(t, out.GetTargets(), 1)
	})
}

// Guards against removals that cost links or disks more than the size to design for allows: 289 entries and 645 targets.
func TestCostOfARemoval(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const (
			entries = 289
			targets = 645
		)

		var saved atomic.Int64

		s := newDocumentServer()
		s.SaveTargets = func(data []byte) error {
			saved.Store(int64(len(data)))

			return nil
		}
		runDocumentServer(t, s)

		for i := range targets {
			target := newTarget(fmt.Sprintf("i-%08x", i), "desk", "a")
			target.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080)
			require.NoError(t, s.Announce(t.Context(), target))
		}

		time.Sleep(2 * time.Second)

		known, err := s.Follow(t.Context(), &wire.FollowRequest{Cluster: "trust", ID: "e"})
		require.NoError(t, err)
		require.NoError(t, s.Leave(t.Context(), "i-00000007"))

		next, err := s.Follow(t.Context(), &wire.FollowRequest{
			Cluster: "trust", ID: "e", KnownIndex: known.GetIndex(), DirectoryBoot: known.GetDirectoryBoot(), DirectoryRevision: known.GetDirectoryRevision(),
		})
		require.NoError(t, err)

		published := 0
		for _, target := range next.GetTargets() {
			published += proto.Size(target)
		}

		request := proto.Size(&wire.RemovalRequest{Cluster: "system", ID: "i-00000007", Removal: 1, Born: 1796388832588})
		t.Logf("a removal: %d B to each other voter, %d B to each entry by each control VM, %d B to all %d, %d B written by each voter", request, published, published*entries, entries, saved.Load())
		require.LessOrEqual(t, request, 64)
		require.LessOrEqual(t, published, 128)
		require.LessOrEqual(t, saved.Load(), int64(128<<10))
	})
}
