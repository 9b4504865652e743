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
		Dir: "data", Cluster: "test", ID: "vm0", NewCreationID: func() uint64 { return 7 }, Files: d.operations(),
	}
	stored, err := j.Open()

	return j, stored, err
}

func entry(i, term uint64, command string) quorum.Entry {
	return quorum.Entry{Index: i, Term: term, Command: []byte(command)}
}

// writes is what a replica's life consists of: votes, entries, entries that
// replace others, a snapshot of its own and one of its leader's.
func writes() []quorum.Persist {
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

// after returns what must be found after the first n writes. Entries up to the
// snapshot do not matter.
func after(n int) quorum.StoredState {
	var s quorum.StoredState

	for _, p := range writes()[:n] {
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

func show(s quorum.StoredState) string {
	s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e quorum.Entry) bool { return e.Index <= s.Snapshot.Index })

	return fmt.Sprintf("%v %v %q %v", s.State, s.Snapshot.Index, s.Snapshot.Data, s.Entries)
}

// The power fails at some file operation, and unsynced bytes and names survive
// or not. What was acknowledged must be there afterwards, and nothing but it
// and the write under way.
func TestPowerCutAtEveryOperation(t *testing.T) {
	t.Parallel()

	for _, mode := range []tail{tailGone, tailHalf, tailZeros, tailWhole} {
		for _, keepNames := range []bool{false, true} {
			for at := 1; powerCut(t, mode, keepNames, at); at++ {
			}
		}
	}
}

// powerCut reports whether the power was cut before all writes were done.
func powerCut(t *testing.T, mode tail, keepNames bool, at int) bool {
	d := newDisk()
	d.tail, d.keepNames, d.crashAt = mode, keepNames, at
	acked := 0

	j, _, err := open(d)
	for err == nil && acked < len(writes()) {
		if err = j.Write(writes()[acked]); err == nil {
			acked++
		}
	}

	cut := err != nil

	d.restart()

	_, stored, err := open(d)
	require.NoError(t, err, "cut at operation %d, tail %d, names %v", at, mode, keepNames)

	_, err = quorum.New(quorum.Config{ID: "vm0", CreationID: 7, Rand: func(int64) int64 { return 0 }}, stored, time.Time{})
	require.NoError(t, err, "cut at operation %d, tail %d, names %v", at, mode, keepNames)

	got, want := show(stored), []string{show(after(acked))}
	if acked < len(writes()) {
		want = append(want, show(after(acked+1)))
		// Between the two files of a snapshot the new one is there, with the old term.
		half := after(acked + 1)
		half.State = after(acked).State
		want = append(want, show(half))
	}

	require.Contains(t, want, got, "cut at operation %d, tail %d, names %v", at, mode, keepNames)

	return cut
}

// A disk block goes bad, or a file was restored from somewhere. Going on with
// what is left could forget an acknowledged entry or a vote: every changed byte
// must be noticed, and the replica must not take part.
func TestDamageIsNoticed(t *testing.T) {
	t.Parallel()

	d := newDisk()
	j, _, err := open(d)
	require.NoError(t, err)

	for _, p := range writes() {
		require.NoError(t, j.Write(p))
	}

	for name, f := range d.files {
		for i := range f.bytes {
			f.bytes[i] ^= 0x40
			_, _, err := open(&disk{files: d.files, durable: d.durable})

			var damage *journal.CorruptionError

			require.ErrorAs(t, err, &damage, "%s byte %d", name, i)

			f.bytes[i] ^= 0x40
		}
	}

	_, _, err = open(d)
	require.NoError(t, err)
}

// The disk reports an error once and then seems to work. Nobody can tell what
// it holds, so nothing more may be acknowledged from this journal.
func TestFailedWriteStopsTheJournal(t *testing.T) {
	t.Parallel()

	for name, fault := range map[string]func(*disk){
		"sync fails":       func(d *disk) { d.failSync = true },
		"write is short":   func(d *disk) { d.shortBy = 3 },
		"nothing is taken": func(d *disk) { d.shortBy = 1 << 20 },
	} {
		for n := range writes() {
			d := newDisk()
			j, _, err := open(d)
			require.NoError(t, err)

			for _, p := range writes()[:n] {
				require.NoError(t, j.Write(p))
			}

			fault(d)

			var fail *journal.WriteError

			require.ErrorAs(t, j.Write(writes()[n]), &fail, name)

			d.failSync, d.shortBy = false, 0

			require.ErrorAs(t, j.Write(writes()[n]), &fail, name)

			d.tail = tailWhole
			d.restart()

			_, stored, err := open(d)
			require.NoError(t, err, name)
			require.Contains(t, []string{show(after(n)), show(after(n + 1))}, show(stored), name)
		}
	}
}

// Someone mounts the wrong disk, or clears a part of it.
func TestForeignOrIncompleteFolderIsRefused(t *testing.T) {
	t.Parallel()

	for name, change := range map[string]func(*disk, *journal.Journal){
		"another cluster":    func(_ *disk, j *journal.Journal) { j.Cluster = "other" },
		"another replica":    func(_ *disk, j *journal.Journal) { j.ID = "vm9" },
		"log is gone":        func(d *disk, _ *journal.Journal) { delete(d.files, "log") },
		"identity is gone":   func(d *disk, _ *journal.Journal) { delete(d.files, "identity") },
		"snapshot is gone":   func(d *disk, _ *journal.Journal) { delete(d.files, "snapshot") },
		"only the log stays": func(d *disk, _ *journal.Journal) { delete(d.files, "identity"); delete(d.files, "snapshot") },
		"log is empty":       func(d *disk, _ *journal.Journal) { d.files["log"].bytes = nil },
		"log of another one": func(d *disk, _ *journal.Journal) { d.files["log"].bytes = foreignLog(t) },
	} {
		d := newDisk()
		j, _, err := open(d)
		require.NoError(t, err)

		for _, p := range writes() {
			require.NoError(t, j.Write(p))
		}

		again := &journal.Journal{
			Dir: "data", Cluster: "test", ID: "vm0", NewCreationID: func() uint64 { return 8 }, Files: d.operations(),
		}
		change(d, again)

		_, err = again.Open()
		require.Error(t, err, name)
	}
}

func foreignLog(t *testing.T) []byte {
	d := newDisk()
	j := &journal.Journal{
		Dir: "data", Cluster: "test", ID: "vm0", NewCreationID: func() uint64 { return 99 }, Files: d.operations(),
	}
	_, err := j.Open()
	require.NoError(t, err)

	return d.files["log"].bytes
}

// A process is started twice on one data folder. Two replicas under one
// identity could vote twice.
func TestFolderHasOneOwner(t *testing.T) {
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
