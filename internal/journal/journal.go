// Package journal keeps a replica's term, vote, log and snapshot on disk.
package journal

import (
	"errors"
	"io/fs"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Names of the files in the data folder.
const (
	lockName     = "lock"
	identityName = "identity"
	logName      = "log"
	snapshotName = "snapshot"
	tmpSuffix    = ".tmp"
)

// Stats counts what was made durable since Open.
type Stats struct {
	Syncs uint64
	Bytes uint64
}

// Journal is the data folder of one replica. Its methods are not safe for concurrent use.
type Journal struct {
	Dir     string
	Cluster string
	ID      string
	// NewCreationID returns a random number other than 0. It is called for a new data
	// folder.
	NewCreationID func() uint64
	// Files are the file operations. The zero value means OSFiles.
	Files Files

	creationID uint64
	hardState  quorum.HardState
	logFile    *File
	seq        uint64
	writeErr   error
	unlock     func() error
	stats      Stats
}

// Open reads the data folder, or initializes a new one. It rewrites and syncs the log:
// after a failed sync the operating system may return data from its cache that the disk
// does not hold, and a restarted replica must not acknowledge such data.
func (j *Journal) Open() (quorum.StoredState, error) {
	if j.Files.Read == nil {
		j.Files = OSFiles()
	}

	if err := j.Files.MakeDir(j.Dir); err != nil {
		return quorum.StoredState{}, &WriteError{Op: "create data folder", Err: err}
	}

	unlock, err := j.Files.Lock(j.path(lockName))
	if err != nil {
		return quorum.StoredState{}, &WriteError{Op: "lock data folder", Err: err}
	}

	j.unlock = unlock

	stored, err := j.load()
	if err == nil {
		j.hardState = stored.State
		err = j.rewriteLog(stored.Entries)
	}

	if err == nil {
		err = j.writeIdentity()
	}

	if err != nil {
		return quorum.StoredState{}, errors.Join(err, j.Close())
	}

	return stored, nil
}

// CreationID returns the random number that was generated when the data folder was
// created. It is valid after Open.
func (j *Journal) CreationID() uint64 { return j.creationID }

// Stats returns the counters since Open.
func (j *Journal) Stats() Stats { return j.stats }

// Close releases the data folder. It does not make anything durable.
func (j *Journal) Close() error {
	var errs []error

	if j.logFile != nil {
		errs = append(errs, j.logFile.Close())
		j.logFile = nil
	}

	if j.unlock != nil {
		errs = append(errs, j.unlock())
		j.unlock = nil
	}

	return errors.Join(errs...)
}

// Write makes p durable. After an error the journal rejects all further writes.
func (j *Journal) Write(p quorum.Persist) error {
	if j.writeErr != nil {
		return j.writeErr
	}

	if p.Empty() {
		return nil
	}

	if p.State != nil {
		j.hardState = *p.State
	}

	if p.Snapshot == nil {
		j.writeErr = j.appendLog(p.Entries)

		return j.writeErr
	}

	j.writeErr = j.writeSnapshot(*p.Snapshot)
	if j.writeErr == nil {
		j.writeErr = j.rewriteLog(p.Entries)
	}

	return j.writeErr
}

func (j *Journal) appendLog(entries []quorum.Entry) error {
	b, err := j.appendBatch(nil, entries)
	if err != nil {
		return err
	}

	return j.writeAndSync(j.logFile, b)
}

// appendBatch appends the next frame of the log to b.
func (j *Journal) appendBatch(b []byte, entries []quorum.Entry) ([]byte, error) {
	j.seq++

	payload, err := proto.Marshal(&wire.JournalBatch{
		Term: j.hardState.Term, Vote: j.hardState.Vote, VoteBirth: j.hardState.VoteCreationID, Entries: quorum.EntriesToWire(entries),
	})
	if err != nil {
		return nil, &WriteError{Op: "encode batch", Err: err}
	}

	return appendFrame(b, j.seq, payload), nil
}

// rewriteLog replaces the log by one that only holds the given entries.
func (j *Journal) rewriteLog(entries []quorum.Entry) error {
	j.seq = 0

	b, err := j.appendBatch(fileHeader(kindLog, j.creationID), entries)
	if err != nil {
		return err
	}

	f, err := j.replace(logName, b)
	if err != nil {
		return err
	}

	old := j.logFile
	j.logFile = f

	if old == nil {
		return nil
	}

	if err := old.Close(); err != nil {
		return &WriteError{Op: "close previous log", Err: err}
	}

	return nil
}

func (j *Journal) writeSnapshot(s quorum.Snapshot) error {
	payload, err := proto.Marshal(&wire.JournalSnapshot{
		Index: s.Index, Term: s.Term, MembersIndex: s.MembersIndex, Members: quorum.MembersToWire(s.Members), Data: s.Data,
	})
	if err != nil {
		return &WriteError{Op: "encode snapshot", Err: err}
	}

	return j.replaceAndClose(snapshotName, appendFrame(fileHeader(kindSnapshot, j.creationID), 1, payload))
}

// writeIdentity writes the identity file if there is none. In a new data folder it is
// written last: a folder with an identity and without a log has lost its log.
func (j *Journal) writeIdentity() error {
	if _, err := j.Files.Read(j.path(identityName)); !errors.Is(err, fs.ErrNotExist) {
		return nil
	}

	payload, err := proto.Marshal(&wire.JournalIdentity{Cluster: j.Cluster, ID: j.ID, Birth: j.creationID})
	if err != nil {
		return &WriteError{Op: "encode identity", Err: err}
	}

	return j.replaceAndClose(identityName, appendFrame(fileHeader(kindIdentity, j.creationID), 1, payload))
}

// replace atomically and durably replaces the named file by one that holds b. It returns
// the new file, open for appending.
func (j *Journal) replace(name string, b []byte) (*File, error) {
	f, err := j.Files.Create(j.path(name + tmpSuffix))
	if err != nil {
		return nil, &WriteError{Op: "create " + name, Err: err}
	}

	err = j.writeAndSync(f, b)
	if err == nil {
		err = j.Files.Rename(j.path(name+tmpSuffix), j.path(name))
	}

	if err == nil {
		err = j.Files.SyncDir(j.Dir)
	}

	if err != nil {
		return nil, &WriteError{Op: "replace " + name, Err: errors.Join(err, f.Close())}
	}

	return f, nil
}

func (j *Journal) replaceAndClose(name string, b []byte) error {
	f, err := j.replace(name, b)
	if err != nil {
		return err
	}

	if err := f.Close(); err != nil {
		return &WriteError{Op: "close " + name, Err: err}
	}

	return nil
}

func (j *Journal) writeAndSync(f *File, b []byte) error {
	n, err := f.Write(b)
	if err == nil && n < len(b) {
		err = errShortWrite
	}

	if err != nil {
		return &WriteError{Op: "write", Err: err}
	}

	if err := f.Sync(); err != nil {
		return &WriteError{Op: "sync", Err: err}
	}

	j.stats.Syncs++
	j.stats.Bytes += uint64(len(b))

	return nil
}

func (j *Journal) path(name string) string {
	return filepath.Join(j.Dir, name)
}
