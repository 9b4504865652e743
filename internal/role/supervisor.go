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

// storageRetryDelay is how long a control VM waits for a data folder that refuses: about
// what a supervisor takes to start a process again, which is what it saves.
const storageRetryDelay = 500 * time.Millisecond

// Supervisor run a control VM again where its part in the set has ended and its process
// need not: it was taken out of the set, or its disk refuses. The fields are set
// before Run.
type Supervisor struct {
	// RunOnce runs the control VM until its part ends.
	RunOnce func(ctx context.Context) error
	// ClearDataDir empties the data folder, which makes another member of the VM.
	ClearDataDir func() error
	Logger       *slog.Logger
}

// Run runs the control VM until ctx ends, or until it fails in a way that waiting
// does not mend.
func (e *Supervisor) Run(ctx context.Context) error {
	for {
		err := e.RunOnce(ctx)

		var removed *quorum.RemovedError

		switch {
		case errors.As(err, &removed):
			e.Logger.Warn("Taken out of the control set: joining anew.", "id", removed.ID)

			if err := e.ClearDataDir(); err != nil {
				if !IsStorageUnavailable(err) {
					return eris.Wrap(err, "clear the data folder")
				}

				// The next run is told again that its member was removed.
				e.Logger.Warn("The data folder cannot be cleared yet.", "error", err)
			}
		case IsStorageUnavailable(err):
			// A full or read-only disk would end the process at each of its starts, many times
			// a minute, and bury the line that says why. What was acknowledged stays on the
			// disk: the journal is opened anew, as after a restart.
			e.Logger.Warn("The data folder refuses: taking no part until it is written again.", "error", err)
		default:
			return err
		}

		if !pauses.For(ctx, storageRetryDelay) {
			return nil
		}
	}
}

// IsStorageUnavailable reports whether err says that files cannot be read or written now:
// the disk is full, or read-only, or gone. Files that hold something wrong are not
// meant, nothing mends them by itself.
func IsStorageUnavailable(err error) bool {
	var (
		write *journal.WriteError
		path  *fs.PathError
		link  *os.LinkError
	)

	return errors.As(err, &write) || errors.As(err, &path) || errors.As(err, &link)
}
