// Package pauses holds the one way in which loops of the system wait between rounds.
package pauses

import (
	"context"
	"time"
)

// Sleep waits for d, and reports whether ctx still goes on then.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
