package quorum

import "fmt"

// GapError says that stored entries do not follow each other.
type GapError struct {
	After uint64
	Index uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("stored log: entry %d follows entry %d", e.Index, e.After)
}

// ConflictError says that the leader's log contradicts a committed entry. It
// cannot happen unless some replica forgot what it had synced.
type ConflictError struct {
	Index uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("entry %d contradicts a committed one", e.Index)
}

// LostDiskError says that this replica formed a group of its own although it
// belonged to one before its disk was lost. Its data folder is to be cleared,
// and the replica to be removed from the group and added again.
type LostDiskError struct {
	ID string
}

// Error implements error.
func (e *LostDiskError) Error() string {
	return fmt.Sprintf("replica %s lost its disk: clear its data folder, remove it from its group and add it again", e.ID)
}

// RemovedError says that this replica was taken out of its group.
type RemovedError struct {
	ID string
}

// Error implements error.
func (e *RemovedError) Error() string {
	return fmt.Sprintf("replica %s was removed from its group", e.ID)
}
