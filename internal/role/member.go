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

const (
	// memberFile is the file in the data folder that stores the member.
	memberFile = "member.json"
	// removedFile is the member file of a member that was removed from the set. Until it is gone, the
	// folder may still hold files of that member.
	removedFile = "removed.json"
)

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

// MemberFolder is the data folder of a control VM. Its exported fields must be set before Open.
type MemberFolder struct {
	Dir  string
	Self netip.AddrPort
	// Seeds returns the internal addresses of some control VMs.
	Seeds   func() []netip.AddrPort
	Options MemberOptions

	opened bool
}

// Open reads the member, or creates one. Only the first member that a process creates may be a founder:
// whether the deployment starts for the first time is known of the start of the process, not of a data
// folder that was lost or cleared later.
func (f *MemberFolder) Open() (*Member, error) {
	o := f.Options
	o.Bootstrap = o.Bootstrap && !f.opened

	m, err := OpenMember(f.Dir, f.Self, f.Seeds(), o)
	f.opened = f.opened || err == nil

	return m, err
}

// Clear removes the member and its files, so that Open creates another one, which joins. If it fails or the
// process ends halfway, Open completes it.
func (f *MemberFolder) Clear() error {
	f.opened = true

	if f.Options.Volatile {
		return nil
	}

	// A rename needs no space on a full disk.
	err := os.Rename(filepath.Join(f.Dir, memberFile), filepath.Join(f.Dir, removedFile))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return eris.Wrap(err, "clear data folder")
	}

	if _, err := os.Stat(f.Dir); errors.Is(err, fs.ErrNotExist) {
		return nil
	}

	return clearRemoved(f.Dir)
}

// clearRemoved deletes the files of a member that was removed, except for removedFile.
func clearRemoved(dir string) error {
	if err := syncDir(dir); err != nil {
		return err
	}

	files, err := os.ReadDir(dir)
	if err != nil {
		return eris.Wrap(err, "clear data folder")
	}

	for _, f := range files {
		if f.Name() == removedFile {
			continue
		}

		if err := os.RemoveAll(filepath.Join(dir, f.Name())); err != nil {
			return eris.Wrap(err, "clear data folder")
		}
	}

	return syncDir(dir)
}

// OpenMember reads the member from the data folder, or creates one. The new member is a
// founder if the deployment starts for the first time, self is a seed, and the folder has
// held no member.
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
		if err := json.Unmarshal(data, m); err != nil {
			return nil, eris.Wrap(err, "read "+memberFile)
		}

		return m, deleteRemovedFile(dir)
	}

	if !errors.Is(err, fs.ErrNotExist) {
		return nil, eris.Wrap(err, "read "+memberFile)
	}

	_, err = os.Stat(filepath.Join(dir, removedFile))
	wasRemoved := err == nil

	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, eris.Wrap(err, "read "+removedFile)
	}

	if wasRemoved {
		if err := clearRemoved(dir); err != nil {
			return nil, err
		}
	}

	m := newMember(self, "-")
	if o.Bootstrap && !wasRemoved && slices.Contains(seeds, self) {
		m = &Member{ID: self.Addr().String(), Found: seeds}
	}

	if err := m.write(dir); err != nil {
		return nil, err
	}

	return m, deleteRemovedFile(dir)
}

// deleteRemovedFile ends the removal of an earlier member. The files in the folder belong to its successor.
func deleteRemovedFile(dir string) error {
	err := os.Remove(filepath.Join(dir, removedFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}

	if err != nil {
		return eris.Wrap(err, "delete "+removedFile)
	}

	return syncDir(dir)
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
