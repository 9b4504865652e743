package journal

import "fmt"

// CorruptionError says that a file holds something else than what was written. The
// replica must not take part: it may have forgotten what it acknowledged.
type CorruptionError struct {
	File   string
	Offset int
	Detail string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("journal: %s is damaged at byte %d: %s", e.File, e.Offset, e.Detail)
}

// MissingFileError says that a part of the data folder is gone.
type MissingFileError struct {
	File string
}

// Error implements error.
func (e *MissingFileError) Error() string {
	return fmt.Sprintf("journal: %s is missing from the data folder", e.File)
}

// IdentityError says that the data folder belongs to another replica.
type IdentityError struct {
	Cluster, ID         string
	WantCluster, WantID string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("journal: data folder belongs to replica %s of cluster %s, not to %s of %s",
		e.ID, e.Cluster, e.WantID, e.WantCluster)
}

// WriteError says that a write or sync failed. Nobody can tell what the disk
// holds now, so the journal takes no further writes until it is opened again.
type WriteError struct {
	Op  string
	Err error
}

// Error implements error.
func (e *WriteError) Error() string {
	return fmt.Sprintf("journal: %s failed: %v", e.Op, e.Err)
}

// Unwrap returns the fault below.
func (e *WriteError) Unwrap() error { return e.Err }
