package journal

import "fmt"

// CorruptionError reports that a file does not hold what was written. The replica must not
// take part in the group, because entries or votes that it acknowledged may be lost.
type CorruptionError struct {
	File   string
	Offset int
	Detail string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("journal: %s is corrupted at byte %d: %s", e.File, e.Offset, e.Detail)
}

// MissingFileError reports that a file of the data folder is missing.
type MissingFileError struct {
	File string
}

// Error implements error.
func (e *MissingFileError) Error() string {
	return fmt.Sprintf("journal: %s is missing from the data folder", e.File)
}

// IdentityError reports that the data folder belongs to another replica.
type IdentityError struct {
	Cluster, ID         string
	WantCluster, WantID string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("journal: data folder belongs to replica %s of cluster %s, not to %s of %s",
		e.ID, e.Cluster, e.WantID, e.WantCluster)
}

// WriteError reports that a write or sync failed. The content of the disk is unknown after
// that, so the journal rejects all further writes until it is opened again.
type WriteError struct {
	Op  string
	Err error
}

// Error implements error.
func (e *WriteError) Error() string {
	return fmt.Sprintf("journal: %s failed: %v", e.Op, e.Err)
}

// Unwrap returns the underlying error.
func (e *WriteError) Unwrap() error { return e.Err }
