package role_test

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/membership"
	"github.com/parsleygate/parsleygate/internal/role"
)

var (
	seedOne = netip.MustParseAddrPort("10.0.0.1:7300")
	seedTwo = netip.MustParseAddrPort("10.0.0.2:7300")
)

var bootstrap = role.MemberOptions{Bootstrap: true}

// A control VM keeps its member as long as its data folder exists, even if its settings
// change. If the folder is lost, it gets a new member, because the votes and
// acknowledged entries of the previous one must not be counted for it.
func TestMemberIsReadFromDataFolder(t *testing.T) {
	t.Parallel()

	dir := t.TempDir()
	seeds := []netip.AddrPort{seedOne, seedTwo}

	first, err := role.OpenMember(dir, seedOne, seeds, bootstrap)
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1", first.ID)
	require.Len(t, first.Founders(), 2)

	again, err := role.OpenMember(dir, seedOne, []netip.AddrPort{seedTwo}, role.MemberOptions{})
	require.NoError(t, err)
	require.Equal(t, first, again, "different seeds must not change the member")

	require.NoError(t, os.RemoveAll(dir))

	lost, err := role.OpenMember(dir, seedOne, seeds, role.MemberOptions{})
	require.NoError(t, err)
	require.NotEqual(t, first.ID, lost.ID)
	require.Empty(t, lost.Founders())

	other, err := role.OpenMember(t.TempDir(), seedOne, seeds, role.MemberOptions{})
	require.NoError(t, err)
	require.NotEqual(t, lost.ID, other.ID)
}

// More VMs with disks than seeds start for the first time. Those that are not seeds
// join the set.
func TestNonSeedJoins(t *testing.T) {
	t.Parallel()

	m, err := role.OpenMember(t.TempDir(), netip.MustParseAddrPort("10.0.0.3:7300"), []netip.AddrPort{seedOne, seedTwo}, bootstrap)
	require.NoError(t, err)
	require.Empty(t, m.Founders())
}

// A seed without a disk is not a founder, because its vote would be lost with its
// process.
func TestVolatileSeedJoins(t *testing.T) {
	t.Parallel()

	m, err := role.OpenMember(t.TempDir(), seedOne, []netip.AddrPort{seedOne, seedTwo}, role.MemberOptions{Bootstrap: true, Volatile: true})
	require.NoError(t, err)
	require.Empty(t, m.Founders())
	require.Contains(t, m.ID, membership.VolatileIDMarker)
}

// A corrupt member file must not lead to a new member.
func TestCorruptMemberFileIsAnError(t *testing.T) {
	t.Parallel()

	dir := t.TempDir()
	require.NoError(t, os.WriteFile(dir+"/member.json", []byte("{torn"), 0o600))
	_, err := role.OpenMember(dir, seedOne, []netip.AddrPort{seedOne}, bootstrap)
	require.Error(t, err)
}

func newMemberFolder(dir string) *role.MemberFolder {
	return &role.MemberFolder{Dir: dir, Self: seedOne, Seeds: func() []netip.AddrPort { return []netip.AddrPort{seedOne, seedTwo} }, Options: bootstrap}
}

// Guards against a removed or lost founder that founds again, because its process still has Bootstrap set.
func TestFolderFoundsOnce(t *testing.T) {
	t.Parallel()

	for name, lose := range map[string]func(*role.MemberFolder) error{
		"removed": (*role.MemberFolder).Clear,
		"lost":    func(f *role.MemberFolder) error { return os.RemoveAll(f.Dir) },
		"removed from a lost folder": func(f *role.MemberFolder) error {
			return errors.Join(os.RemoveAll(f.Dir), f.Clear())
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			f := newMemberFolder(filepath.Join(t.TempDir(), "data"))
			founder, err := f.Open()
			require.NoError(t, err)
			require.Len(t, founder.Founders(), 2)

			again, err := f.Open()
			require.NoError(t, err)
			require.Equal(t, founder, again)

			require.NoError(t, lose(f))

			joining, err := f.Open()
			require.NoError(t, err)
			require.NotEqual(t, founder.ID, joining.ID)
			require.Empty(t, joining.Founders())

			again, err = newMemberFolder(f.Dir).Open()
			require.NoError(t, err)
			require.Equal(t, joining, again, "after a restart of the process")
		})
	}
}

// Guards against files of a removed member, or a second founding, if the process ends while its folder is being cleared.
func TestInterruptedClearIsCompleted(t *testing.T) {
	t.Parallel()

	const removed = "removed.json"

	for name, interrupt := range map[string]func(dir string) error{
		"before the files are deleted": func(dir string) error {
			return os.Rename(filepath.Join(dir, "member.json"), filepath.Join(dir, removed))
		},
		"after some files are deleted": func(dir string) error {
			return errors.Join(os.Rename(filepath.Join(dir, "member.json"), filepath.Join(dir, removed)), os.Remove(filepath.Join(dir, "log", "segment")))
		},
		"before the new member is stored": func(dir string) error { return newMemberFolder(dir).Clear() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			dir := t.TempDir()
			founder, err := newMemberFolder(dir).Open()
			require.NoError(t, err)
			require.NoError(t, os.MkdirAll(filepath.Join(dir, "log"), 0o700))
			require.NoError(t, os.WriteFile(filepath.Join(dir, "log", "segment"), nil, 0o600))
			require.NoError(t, interrupt(dir))

			joining, err := newMemberFolder(dir).Open()
			require.NoError(t, err)
			require.NotEqual(t, founder.ID, joining.ID)
			require.Empty(t, joining.Founders())
			require.NoDirExists(t, filepath.Join(dir, "log"))
			require.NoFileExists(t, filepath.Join(dir, removed))
		})
	}
}

// Guards against files of the new member that are taken for those of the removed one.
func TestMarkerOfARemovalIsDeleted(t *testing.T) {
	t.Parallel()

	dir := t.TempDir()
	m, err := newMemberFolder(dir).Open()
	require.NoError(t, err)
	require.NoError(t, os.Mkdir(filepath.Join(dir, "log"), 0o700))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "removed.json"), nil, 0o600))

	again, err := newMemberFolder(dir).Open()
	require.NoError(t, err)
	require.Equal(t, m, again)
	require.DirExists(t, filepath.Join(dir, "log"))
	require.NoFileExists(t, filepath.Join(dir, "removed.json"))
}
