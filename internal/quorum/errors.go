package quorum

import "fmt"

// GapError reports stored entries whose indexes are not consecutive.
type GapError struct {
	After uint64
	Index uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("stored log has a gap: entry %d follows entry %d", e.Index, e.After)
}

// ConflictError reports that the leader's log conflicts with a committed entry. It only
// occurs if some replica has lost entries that it had synced.
type ConflictError struct {
	Index uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("entry %d contradicts a committed one", e.Index)
}

// LostDiskError reports that this replica is a founder, or bootstrapped a group of one, although it was a
// member of the group before its disk was lost. Its data folder must be cleared, and the replica
// removed from the group and added again.
type LostDiskError struct {
	ID string
}

// Error implements error.
func (e *LostDiskError) Error() string {
	return fmt.Sprintf("replica %s lost its disk: clear its data folder, remove it from its group and add it again", e.ID)
}

// RemovedError reports that this replica was removed from its group.
type RemovedError struct {
	ID string
}

// Error implements error.
func (e *RemovedError) Error() string {
	return fmt.Sprintf("replica %s was removed from its group", e.ID)
}
