package journal_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/journal"
	"github.com/parsleygate/parsleygate/internal/quorum"
)

func open(d *disk) (*journal.Journal, quorum.StoredState, error) {
	j := &journal.Journal{
		Dir: "data", Cluster: "test", ID: "vm0", NewCreationID: func() uint64 { return 7 }, Files: d.fileOps(),
	}
	stored, err := j.Open()

	return j, stored, err
}

func entry(i, term uint64, command string) quorum.Entry {
	return quorum.Entry{Index: i, Term: term, Command: []byte(command)}
}

// testWrites returns the kinds of writes that a replica makes: votes, entries, entries
// that replace others, a snapshot of the replica's state and one received from the leader.
func testWrites() []quorum.Persist {
	return []quorum.Persist{
		{State: &quorum.HardState{Term: 1, Vote: "vm0"}, Snapshot: &quorum.Snapshot{Members: quorum.Members{{ID: "vm0", Birth: 7}}}},
		{Entries: []quorum.Entry{entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 1, "c")}},
		{State: &quorum.HardState{Term: 3, Vote: "vm1", VoteCreationID: 5}},
		{Entries: []quorum.Entry{entry(3, 3, "d"), entry(4, 3, "e")}},
		{
			State: &quorum.HardState{Term: 3, Vote: "vm1", VoteCreationID: 5}, Snapshot: &quorum.Snapshot{Index: 3, Term: 3, Data: []byte("abd")},
			Entries: []quorum.Entry{entry(3, 3, "d"), entry(4, 3, "e")},
		},
		{Entries: []quorum.Entry{entry(5, 3, "f"), entry(6, 3, "deposed")}},
		{State: &quorum.HardState{Term: 4}, Snapshot: &quorum.Snapshot{Index: 5, Term: 4, Data: []byte("installed")}},
		{Entries: []quorum.Entry{entry(6, 4, "f2")}},
		{State: &quorum.HardState{Term: 4}, Snapshot: &quorum.Snapshot{Index: 9, Term: 4, Data: []byte("other")}},
		{Entries: []quorum.Entry{entry(10, 4, "g")}},
	}
}

// stateAfter returns the state to be recovered after the first n writes. Entries up to the
// snapshot are not compared.
func stateAfter(n int) quorum.StoredState {
	var s quorum.StoredState

	for _, p := range testWrites()[:n] {
		if p.State != nil {
			s.State = *p.State
		}

		if p.Snapshot != nil {
			s.Snapshot, s.Entries = *p.Snapshot, nil
		}

		for _, e := range p.Entries {
			s.Entries = append(slices.DeleteFunc(s.Entries, func(o quorum.Entry) bool { return o.Index >= e.Index }), e)
		}
	}

	return s
}

func formatState(s quorum.StoredState) string {
	s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e quorum.Entry) bool { return e.Index <= s.Snapshot.Index })

	return fmt.Sprintf("%v %v %q %v", s.State, s.Snapshot.Index, s.Snapshot.Data, s.Entries)
}

// The power fails at each file operation in turn, and unsynced bytes and renames survive
// or not. Everything acknowledged must be recovered, and nothing else except the write in
// progress.
func TestPowerCutAtEveryOperation(t *testing.T) {
	t.Parallel()

	for _, mode := range []unsyncedTail{tailLost, tailHalf, tailZeros, tailKept} {
		for _, keepRenames := range []bool{false, true} {
			for at := 1; runWithPowerCut(t, mode, keepRenames, at); at++ {
			}
		}
	}
}

// runWithPowerCut reports whether the power failed before all writes were done.
func runWithPowerCut(t *testing.T, mode unsyncedTail, keepRenames bool, at int) bool {
	d := newDisk()
	d.tail, d.keepRenames, d.crashAtOp = mode, keepRenames, at
	acked := 0

	j, _, err := open(d)
	for err == nil && acked < len(testWrites()) {
		if err = j.Write(testWrites()[acked]); err == nil {
			acked++
		}
	}

	cut := err != nil

	d.powerCycle()

	_, stored, err := open(d)
	require.NoError(t, err, "power cut at operation %d, unsynced bytes: mode %d, renames kept: %v", at, mode, keepRenames)

	_, err = quorum.New(quorum.Config{ID: "vm0", CreationID: 7, Rand: func(int64) int64 { return 0 }}, stored, time.Time{})
	require.NoError(t, err, "power cut at operation %d, unsynced bytes: mode %d, renames kept: %v", at, mode, keepRenames)

	got, want := formatState(stored), []string{formatState(stateAfter(acked))}
	if acked < len(testWrites()) {
		want = append(want, formatState(stateAfter(acked+1)))
		// After a power cut between the replacements of snapshot and log, the new snapshot
		// is there with the old term.
		half := stateAfter(acked + 1)
		half.State = stateAfter(acked).State
		want = append(want, formatState(half))
	}

	require.Contains(t, want, got, "power cut at operation %d, unsynced bytes: mode %d, renames kept: %v", at, mode, keepRenames)

	return cut
}

// A disk block goes bad, or a file was restored from elsewhere. Continuing with the rest
// could lose an acknowledged entry or a vote. Every changed byte must be detected, and the
// replica must not take part in the group.
func TestCorruptionIsDetected(t *testing.T) {
	t.Parallel()

	d := newDisk()
	j, _, err := open(d)
	require.NoError(t, err)

	for _, p := range testWrites() {
		require.NoError(t, j.Write(p))
	}

	for name, f := range d.files {
		for i := range f.data {
			f.data[i] ^= 0x40
			_, _, err := open(&disk{files: d.files, durable: d.durable})

			var corruption *journal.CorruptionError

			require.ErrorAs(t, err, &corruption, "%s byte %d", name, i)

			f.data[i] ^= 0x40
		}
	}

	_, _, err = open(d)
	require.NoError(t, err)
}

// The disk returns an error once and then seems to work. Its content is unknown, so this
// journal must not acknowledge any further write.
func TestFailedWriteStopsTheJournal(t *testing.T) {
	t.Parallel()

	for name, fault := range map[string]func(*disk){
		"sync fails":         func(d *disk) { d.failSync = true },
		"write is short":     func(d *disk) { d.shortWriteBy = 3 },
		"nothing is written": func(d *disk) { d.shortWriteBy = 1 << 20 },
	} {
		for n := range testWrites() {
			d := newDisk()
			j, _, err := open(d)
			require.NoError(t, err)

			for _, p := range testWrites()[:n] {
				require.NoError(t, j.Write(p))
			}

			fault(d)

			var fail *journal.WriteError

			require.ErrorAs(t, j.Write(testWrites()[n]), &fail, name)

			d.failSync, d.shortWriteBy = false, 0

			require.ErrorAs(t, j.Write(testWrites()[n]), &fail, name)

			d.tail = tailKept
			d.powerCycle()

			_, stored, err := open(d)
			require.NoError(t, err, name)
			require.Contains(t, []string{formatState(stateAfter(n)), formatState(stateAfter(n + 1))}, formatState(stored), name)
		}
	}
}

// The wrong disk is mounted, or a part of the data folder was deleted.
func TestForeignOrIncompleteFolderIsRejected(t *testing.T) {
	t.Parallel()

	for name, change := range map[string]func(*disk, *journal.Journal){
		"another cluster":       func(_ *disk, j *journal.Journal) { j.Cluster = "other" },
		"another replica":       func(_ *disk, j *journal.Journal) { j.ID = "vm9" },
		"log is missing":        func(d *disk, _ *journal.Journal) { delete(d.files, "log") },
		"identity is missing":   func(d *disk, _ *journal.Journal) { delete(d.files, "identity") },
		"snapshot is missing":   func(d *disk, _ *journal.Journal) { delete(d.files, "snapshot") },
		"only the log is left":  func(d *disk, _ *journal.Journal) { delete(d.files, "identity"); delete(d.files, "snapshot") },
		"log is empty":          func(d *disk, _ *journal.Journal) { d.files["log"].data = nil },
		"log of another folder": func(d *disk, _ *journal.Journal) { d.files["log"].data = foreignLog(t) },
	} {
		d := newDisk()
		j, _, err := open(d)
		require.NoError(t, err)

		for _, p := range testWrites() {
			require.NoError(t, j.Write(p))
		}

		reopened := &journal.Journal{
			Dir: "data", Cluster: "test", ID: "vm0", NewCreationID: func() uint64 { return 8 }, Files: d.fileOps(),
		}
		change(d, reopened)

		_, err = reopened.Open()
		require.Error(t, err, name)
	}
}

func foreignLog(t *testing.T) []byte {
	d := newDisk()
	j := &journal.Journal{
		Dir: "data", Cluster: "test", ID: "vm0", NewCreationID: func() uint64 { return 99 }, Files: d.fileOps(),
	}
	_, err := j.Open()
	require.NoError(t, err)

	return d.files["log"].data
}

// A process is started twice on one data folder. Two replicas with one identity could vote
// twice in a term.
func TestDataFolderHasOneOwner(t *testing.T) {
	t.Parallel()

	dir := t.TempDir()
	first := &journal.Journal{Dir: dir, Cluster: "test", ID: "vm0", NewCreationID: func() uint64 { return 7 }}
	second := &journal.Journal{Dir: dir, Cluster: "test", ID: "vm0", NewCreationID: func() uint64 { return 8 }}

	_, err := first.Open()
	require.NoError(t, err)

	_, err = second.Open()
	require.Error(t, err)
	require.NoError(t, first.Close())

	_, err = second.Open()
	require.NoError(t, err)
	require.Equal(t, uint64(7), second.CreationID())
	require.NoError(t, second.Close())
}
