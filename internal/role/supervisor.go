package role

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/journal"
	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/quorum"
)

// storageRetryDelay is how long a control VM waits before it uses an unavailable data
// folder again. It is about as long as an external supervisor takes to restart a
// process.
const storageRetryDelay = 500 * time.Millisecond

// Supervisor restarts a control VM within its process after it was removed from the set,
// or its storage was lost or became unavailable. Its fields must be set before Run.
type Supervisor struct {
	// RunOnce runs the control VM until it fails or ctx ends.
	RunOnce func(ctx context.Context) error
	// ClearDataDir empties the data folder, so that the VM joins again as a new member.
	ClearDataDir func() error
	Logger       *slog.Logger
}

// Run runs the control VM until ctx ends, or until it fails with an error that a
// restart does not fix.
func (s *Supervisor) Run(ctx context.Context) error {
	for {
		err := s.RunOnce(ctx)

		switch {
		case isNoLongerMember(err):
			s.Logger.Warn("Not a member of the control set any more; joining again as a new one.", "error", err)

			if err := s.ClearDataDir(); err != nil {
				if !IsStorageUnavailable(err) {
					return eris.Wrap(err, "clear data folder")
				}

				// Either the next run completes this, or it fails with the same error again.
				s.Logger.Warn("The data folder cannot be cleared; retrying.", "error", err)
			}
		case IsStorageUnavailable(err):
			// If the process ended, a full or read-only disk would end it at each
			// start, many times a minute, and the line with the cause would be hard to
			// find in the log. Acknowledged entries stay on the disk, and the journal
			// is opened again as after a restart.
			s.Logger.Warn("The data folder is unavailable; not taking part in the control set until it can be used again.", "error", err)
		default:
			return err
		}

		if !pauses.Sleep(ctx, storageRetryDelay) {
			return nil
		}
	}
}

// isNoLongerMember reports whether err means that the control set does not count on what this VM has
// stored: the VM was removed, or its disk was lost and it does not hold what it had acknowledged.
func isNoLongerMember(err error) bool {
	var (
		removed *quorum.RemovedError
		lost    *quorum.LostDiskError
	)

	return errors.As(err, &removed) || errors.As(err, &lost)
}

// IsStorageUnavailable reports whether err means that files cannot be read or written
// now, because the disk is full, read-only or missing. It returns false for corrupt
// files, which do not recover without intervention.
func IsStorageUnavailable(err error) bool {
	var (
		write *journal.WriteError
		path  *fs.PathError
		link  *os.LinkError
	)

	return errors.As(err, &write) || errors.As(err, &path) || errors.As(err, &link)
}
