package journal

import (
	"errors"
	"io/fs"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
)

var errShortWrite = errors.New("short write")

// load reads the data folder, and generates a creation ID for a new one.
func (j *Journal) load() (quorum.StoredState, error) {
	identity, err := j.readSingleFrame(identityName, kindIdentity)
	if errors.Is(err, fs.ErrNotExist) {
		return j.loadWithoutIdentity()
	}

	if err != nil {
		return quorum.StoredState{}, err
	}

	var id wire.JournalIdentity
	if err := proto.Unmarshal(identity, &id); err != nil {
		return quorum.StoredState{}, &CorruptionError{File: identityName, Detail: err.Error()}
	}

	if id.GetCluster() != j.Cluster || id.GetID() != j.ID {
		return quorum.StoredState{}, &IdentityError{
			Cluster: id.GetCluster(), ID: id.GetID(), WantCluster: j.Cluster, WantID: j.ID,
		}
	}

	j.creationID = id.GetBirth()

	stored, err := j.loadSnapshot()
	if err != nil {
		return quorum.StoredState{}, err
	}

	err = j.loadLog(&stored)

	return stored, err
}

// loadWithoutIdentity accepts a folder whose initialization did not get as far as the
// identity file. Nothing was acknowledged from it, so it may hold no more than an empty
// log.
func (j *Journal) loadWithoutIdentity() (quorum.StoredState, error) {
	if _, err := j.Files.Read(j.path(snapshotName)); !errors.Is(err, fs.ErrNotExist) {
		return quorum.StoredState{}, &MissingFileError{File: identityName}
	}

	payloads, err := j.readFrames(logName, kindLog)
	if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}

	if err != nil {
		return quorum.StoredState{}, err
	}

	if len(payloads) > 1 || len(payloads) == 1 && len(payloads[0]) > 0 {
		return quorum.StoredState{}, &MissingFileError{File: identityName}
	}

	j.creationID = j.NewCreationID()

	return quorum.StoredState{}, nil
}

func (j *Journal) loadSnapshot() (quorum.StoredState, error) {
	var stored quorum.StoredState

	payload, err := j.readSingleFrame(snapshotName, kindSnapshot)
	if errors.Is(err, fs.ErrNotExist) {
		return stored, nil
	}

	if err != nil {
		return stored, err
	}

	var s wire.JournalSnapshot
	if err := proto.Unmarshal(payload, &s); err != nil {
		return stored, &CorruptionError{File: snapshotName, Detail: err.Error()}
	}

	members, err := quorum.MembersFromWire(s.GetMembers())
	if err != nil {
		return stored, &CorruptionError{File: snapshotName, Detail: err.Error()}
	}

	stored.Snapshot = quorum.Snapshot{
		Index: s.GetIndex(), Term: s.GetTerm(), MembersIndex: s.GetMembersIndex(), Members: members, Data: s.GetData(),
	}

	return stored, nil
}

func (j *Journal) loadLog(stored *quorum.StoredState) error {
	payloads, err := j.readFrames(logName, kindLog)
	if errors.Is(err, fs.ErrNotExist) {
		return &MissingFileError{File: logName}
	}

	if err != nil {
		return err
	}

	// The log file is only put in place with its first frame.
	if len(payloads) == 0 {
		return &CorruptionError{File: logName, Offset: fileHeaderSize, Detail: "first frame is missing"}
	}

	for _, payload := range payloads {
		if err := replay(stored, payload); err != nil {
			return err
		}
	}

	if len(stored.Entries) > 0 && stored.Entries[0].Index > stored.Snapshot.Index+1 {
		return &CorruptionError{File: snapshotName, Detail: "gap between snapshot and log"}
	}

	stored.Entries = entriesMatchingSnapshot(stored.Entries, stored.Snapshot)

	return nil
}

// replay adds one batch of the log to the stored state.
func replay(stored *quorum.StoredState, payload []byte) error {
	var b wire.JournalBatch
	if err := proto.Unmarshal(payload, &b); err != nil {
		return &CorruptionError{File: logName, Detail: err.Error()}
	}

	stored.State = quorum.HardState{Term: b.GetTerm(), Vote: b.GetVote(), VoteCreationID: b.GetVoteBirth()}

	entries, err := quorum.EntriesFromWire(b.GetEntries())
	if err != nil {
		return &CorruptionError{File: logName, Detail: err.Error()}
	}

	if len(entries) == 0 {
		return nil
	}

	if len(stored.Entries) > 0 {
		first := stored.Entries[0].Index
		last := first + uint64(len(stored.Entries)) - 1

		if entries[0].Index < first || entries[0].Index > last+1 {
			return &CorruptionError{File: logName, Detail: "gap between entries"}
		}

		stored.Entries = stored.Entries[:entries[0].Index-first]
	}

	stored.Entries = append(stored.Entries, entries...)

	return nil
}

// entriesMatchingSnapshot returns the entries that continue the snapshot. After a crash
// between the replacements of snapshot and log, the snapshot is newer than the log. A log
// that ends before the snapshot, or conflicts with it, was replaced by the snapshot and is
// dropped.
func entriesMatchingSnapshot(entries []quorum.Entry, s quorum.Snapshot) []quorum.Entry {
	if len(entries) == 0 || s.Index == 0 || entries[0].Index == s.Index+1 {
		return entries
	}

	first := entries[0].Index
	last := first + uint64(len(entries)) - 1

	if s.Index > last || entries[s.Index-first].Term != s.Term {
		return nil
	}

	return entries
}

// readSingleFrame returns the payload of a file that holds exactly one frame.
func (j *Journal) readSingleFrame(name string, k fileKind) ([]byte, error) {
	payloads, err := j.readFrames(name, k)
	if err != nil {
		return nil, err
	}

	if len(payloads) != 1 {
		return nil, &CorruptionError{File: name, Offset: fileHeaderSize, Detail: "file does not hold exactly one frame"}
	}

	return payloads[0], nil
}

// readFrames returns the payloads of a file and checks that the file belongs to this data
// folder.
func (j *Journal) readFrames(name string, k fileKind) ([][]byte, error) {
	b, err := j.Files.Read(j.path(name))
	if err != nil {
		return nil, err //nolint:wrapcheck // callers look for fs.ErrNotExist
	}

	creationID, err := parseFileHeader(name, k, b)
	if err != nil {
		return nil, err
	}

	if j.creationID != 0 && creationID != j.creationID {
		return nil, &CorruptionError{File: name, Detail: "file belongs to another data folder"}
	}

	return parseFrames(name, fileHeaderSize, b[fileHeaderSize:])
}
