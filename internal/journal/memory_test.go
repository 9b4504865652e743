package journal_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/journal"
	"github.com/parsleygate/parsleygate/internal/quorum"
)

// A VM without a disk may not be permitted to write any files. Its journal in memory keeps
// what was written for the lifetime of the process only.
func TestMemoryJournal(t *testing.T) {
	t.Parallel()

	files := journal.MemoryFiles()
	open := func(files journal.Files) (*journal.Journal, quorum.StoredState) {
		j := &journal.Journal{Dir: "/nowhere/at/all", Cluster: "c", ID: "a", Files: files, NewCreationID: func() uint64 { return 7 }}
		stored, err := j.Open()
		require.NoError(t, err)

		return j, stored
	}

	j, stored := open(files)
	require.Empty(t, stored.Entries)

	entry := quorum.Entry{Index: 1, Term: 1, Command: []byte("x")}
	require.NoError(t, j.Write(quorum.Persist{State: &quorum.HardState{Term: 1}, Entries: []quorum.Entry{entry}}))
	require.NoError(t, j.Close())

	reopened, stored := open(files)
	require.Equal(t, []quorum.Entry{entry}, stored.Entries)
	require.EqualValues(t, 1, stored.State.Term)
	require.EqualValues(t, 7, reopened.CreationID())
	require.NoError(t, reopened.Close())

	_, stored = open(journal.MemoryFiles())
	require.Empty(t, stored.Entries)
}
