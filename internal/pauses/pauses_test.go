package pauses_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/pauses"
)

// A process that is stopped during a long sleep must not wait for the sleep to end.
func TestSleepEndsWithContext(t *testing.T) {
	t.Parallel()

	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, stop := context.WithTimeout(t.Context(), 3*time.Second)

		defer stop()

		require.True(t, pauses.Sleep(ctx, 2*time.Second))
		require.Equal(t, 2*time.Second, time.Since(began))
		require.False(t, pauses.Sleep(ctx, time.Hour))
		require.Equal(t, 3*time.Second, time.Since(began))
	})
}
