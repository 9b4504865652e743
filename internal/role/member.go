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

// Member identifies a control VM in the control set. It is stored in the data folder.
// If the data folder is lost, the VM gets a new member: the previous one's votes and
// acknowledged entries are lost and must not be counted for the new one.
type Member struct {
	ID string
	// Found are the initial members if this member is one of them.
	Found []netip.AddrPort
}

// memberFile is the file in the data folder that stores the member.
const memberFile = "member.json"

const (
	memberDirMode  fs.FileMode = 0o750
	memberFileMode fs.FileMode = 0o600
	// memberSuffixBytes is the number of random bytes in a member's ID, which
	// distinguish it from other members of the same VM.
	memberSuffixBytes = 6
)

// MemberOptions controls how a member is created.
type MemberOptions struct {
	// Bootstrap means that the deployment starts for the first time.
	Bootstrap bool
	// Volatile means that the VM has no disk, and nothing is stored.
	Volatile bool
}

// OpenMember reads the member from the data folder, or creates one. The new member is a
// founder if the deployment starts for the first time and self is a seed.
func OpenMember(dir string, self netip.AddrPort, seeds []netip.AddrPort, o MemberOptions) (*Member, error) {
	if o.Volatile {
		return newMember(self, membership.VolatileIDMarker), nil
	}

	if err := os.MkdirAll(dir, memberDirMode); err != nil {
		return nil, eris.Wrap(err, "create data folder")
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

// newMember returns a member that joins an existing set, under an ID that was never
// used before.
func newMember(self netip.AddrPort, marker string) *Member {
	var suffix [memberSuffixBytes]byte

	_, _ = rand.Read(suffix[:]) // it never fails

	return &Member{ID: self.Addr().String() + marker + hex.EncodeToString(suffix[:])}
}

// write stores the member durably. It must complete before the member sends any
// message: otherwise, after a power loss, two members could cast the same VM's vote.
func (m *Member) write(dir string) error {
	data, err := json.Marshal(m)
	if err != nil {
		return eris.Wrap(err, "encode "+memberFile)
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

// writeFileAtomic replaces a file. After a power loss it has either the previous or the
// new content.
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

// Founders returns the initial members of the set, or none for a member that joins.
func (m *Member) Founders() []quorum.Member {
	var out []quorum.Member
	for _, a := range m.Found {
		out = append(out, quorum.Member{ID: a.Addr().String(), Addr: a})
	}

	return out
}
