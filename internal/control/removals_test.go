package control_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/wire"
)

var errDisk = errors.New("input/output error")

// voterSet is the other voters of a control VM; those at the indexes in saves record removals.
func voterSet(n int, saves ...int) []control.Voter {
	out := make([]control.Voter, n)
	for i := range out {
		out[i].RecordRemoval = func(context.Context, *wire.RemovalRequest) error { return errDisk }
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
