// Package pauses provides the interruptible sleep that periodic loops use between
// iterations.
package pauses

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done. It reports whether the full duration passed.
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
