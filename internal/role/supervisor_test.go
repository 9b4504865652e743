package role_test

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/journal"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/role"
)

var (
	errDiskFull = &journal.WriteError{Op: "write", Err: &fs.PathError{Op: "write", Path: "log", Err: syscall.ENOSPC}}
	errReadOnly = &os.LinkError{Op: "rename", Old: "a", New: "b", Err: syscall.EROFS}
)

// runSupervisor supervises a control VM whose runs fail with errs, one after the other,
// and which then runs until it is stopped. It returns the start times of the runs, the
// number of times the data folder was cleared, and the result.
func runSupervisor(t *testing.T, errs ...error) (starts []time.Duration, cleared int, out error) {
	t.Helper()

	synctest.Test(t, func(*testing.T) {
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		defer stop()

		start := time.Now()
		e := &role.Supervisor{
			RunOnce: func(ctx context.Context) error {
				starts = append(starts, time.Since(start))

				if n := len(starts); n <= len(errs) {
					return eris.Wrap(errs[n-1], "run control VM")
				}

				<-ctx.Done()

				return nil
			},
			ClearDataDir: func() error { cleared++; return nil },
			Logger:       slog.New(slog.DiscardHandler),
		}
		out = e.Run(ctx)
	})

	return starts, cleared, out
}

// A control VM's disk is full for some seconds. If the process ended, it would be
// restarted twice a second until the disk accepts writes: 86 times in half a minute.
// The supervisor retries within the process instead.
func TestUnavailableStorageIsRetried(t *testing.T) {
	t.Parallel()

	starts, cleared, err := runSupervisor(t, errDiskFull, errReadOnly, errDiskFull)
	require.NoError(t, err)
	require.Equal(t, []time.Duration{0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond}, starts)
	require.Zero(t, cleared, "the disk holds acknowledged entries")
}

// A VM that was removed from the set while it was down joins again.
func TestRemovedMemberRejoins(t *testing.T) {
	t.Parallel()

	starts, cleared, err := runSupervisor(t, &quorum.RemovedError{ID: "a"})
	require.NoError(t, err)
	require.Len(t, starts, 2)
	require.Equal(t, 1, cleared)
}

// A corrupt log does not recover by waiting, so the process must end and operators must
// be informed.
func TestOtherErrorsAreReturned(t *testing.T) {
	t.Parallel()

	for _, err := range []error{&journal.CorruptionError{File: "log"}, errors.New("address in use")} {
		starts, cleared, out := runSupervisor(t, err)
		require.ErrorIs(t, out, err)
		require.Len(t, starts, 1)
		require.Zero(t, cleared)
	}
}

// A data folder that cannot be created is unavailable storage; one with a corrupt
// member file is not.
func TestIsStorageUnavailable(t *testing.T) {
	t.Parallel()

	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))

	_, err := role.OpenMember(filepath.Join(file, "data"), seedOne, []netip.AddrPort{seedOne}, bootstrap)
	require.True(t, role.IsStorageUnavailable(err), "%v", err)

	torn := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(torn, "member.json"), []byte("{torn"), 0o600))

	_, err = role.OpenMember(torn, seedOne, []netip.AddrPort{seedOne}, bootstrap)
	require.Error(t, err)
	require.False(t, role.IsStorageUnavailable(err), "%v", err)
}

// A VM without a disk may not be allowed to write files, so a volatile member must not
// need any. It would otherwise fail at each start.
func TestVolatileMemberWritesNothing(t *testing.T) {
	t.Parallel()

	dir := filepath.Join(t.TempDir(), "none")
	o := role.MemberOptions{Volatile: true}

	first, err := role.OpenMember(dir, seedOne, []netip.AddrPort{seedTwo}, o)
	require.NoError(t, err)
	require.NoDirExists(t, dir)

	again, err := role.OpenMember(dir, seedOne, []netip.AddrPort{seedTwo}, o)
	require.NoError(t, err)
	require.NotEqual(t, first.ID, again.ID)
}
