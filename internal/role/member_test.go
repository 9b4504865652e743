package role_test

import (
	"net/netip"
	"os"
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
