package role

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/membership"
	"github.com/parsleygate/parsleygate/internal/quorum"
)

// Member is who a control VM is in the control set, as its data folder says. A
// data folder that was lost makes another member of the same VM: what the former
// one voted and acknowledged is forgotten, and must not be counted again.
type Member struct {
	ID string
	// Found are the first members where this one is among them.
	Found []netip.AddrPort
}

// memberFile is the file in the data folder.
const memberFile = "member.json"

const (
	memberDirMode  fs.FileMode = 0o750
	memberFileMode fs.FileMode = 0o600
	// memberSuffixBytes is how many random bytes tell a member from others of its VM.
	memberSuffixBytes = 6
)

// MemberOptions say how a member is made.
type MemberOptions struct {
	// Bootstrap says that the deployment starts for the first time.
	Bootstrap bool
	// Volatile says that the VM has no disk: nothing of the member is kept.
	Volatile bool
}

// OpenMember reads the member from the data folder, or makes one: a founder where
// the deployment starts for the first time and own is a seed.
func OpenMember(dir string, self netip.AddrPort, seeds []netip.AddrPort, o MemberOptions) (*Member, error) {
	if o.Volatile {
		return newMember(self, membership.VolatileIDMarker), nil
	}

	if err := os.MkdirAll(dir, memberDirMode); err != nil {
		return nil, eris.Wrap(err, "make data folder")
	}

	data, err := os.ReadFile(filepath.Join(dir, memberFile)) //nolint:gosec // the settings name the folder
	if err == nil {
		m := &Member{}

		return m, eris.Wrap(json.Unmarshal(data, m), "read "+memberFile)
	}

	if !errors.Is(err, fs.ErrNotExist) {
		return nil, eris.Wrap(err, "read "+memberFile)
	}

	m := newMember(self, "-")
	if o.Bootstrap && slices.Contains(seeds, self) {
		m = &Member{ID: self.Addr().String(), Found: seeds}
	}

	return m, m.write(dir)
}

// newMember returns a member that joins, under an ID that no VM had before.
func newMember(self netip.AddrPort, marker string) *Member {
	var suffix [memberSuffixBytes]byte

	_, _ = rand.Read(suffix[:]) // it never fails

	return &Member{ID: self.Addr().String() + marker + hex.EncodeToString(suffix[:])}
}

// write makes the member durable before it says a word: else a power loss could
// give one vote to two members.
func (m *Member) write(dir string) error {
	data, err := json.Marshal(m)
	if err != nil {
		return eris.Wrap(err, "write "+memberFile)
	}

	return writeFileAtomic(filepath.Join(dir, memberFile), data)
}

func syncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return eris.Wrap(err, "sync data folder")
	}

	return eris.Wrap(errors.Join(d.Sync(), d.Close()), "sync data folder")
}

// writeFileAtomic replaces a file so that it is there as it was, or as it is to be, also
// after a loss of power.
func writeFileAtomic(path string, data []byte) error {
	tmp := path + ".tmp"

	f, err := os.OpenFile(filepath.Clean(tmp), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, memberFileMode)
	if err != nil {
		return eris.Wrap(err, "write "+path)
	}

	_, err = f.Write(data)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return eris.Wrap(err, "write "+path)
	}

	if err := os.Rename(tmp, path); err != nil {
		return eris.Wrap(err, "write "+path)
	}

	return syncDir(filepath.Dir(path))
}

// Founders returns the first members of the set, or none for one that joins.
func (m *Member) Founders() []quorum.Member {
	var out []quorum.Member
	for _, a := range m.Found {
		out = append(out, quorum.Member{ID: a.Addr().String(), Addr: a})
	}

	return out
}
