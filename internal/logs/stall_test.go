package logs_test

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/logs"
)

// A VM is suspended for 4 s. When it resumes, many callers of its entry have timed out at
// once, which looks like slow targets unless the stall is logged. The monotonic clock does
// not count the suspended time.
func TestStallIsLoggedOnce(t *testing.T) {
	t.Parallel()

	synctest.Test(t, func(t *testing.T) {
		var (
			out       bytes.Buffer
			suspended atomic.Int64
		)

		began := time.Now()
		ctx, stop := context.WithCancel(context.Background())
		s := &logs.StallDetector{
			Logger:    logs.Output{Writer: &out}.Logger("process"),
			SinceBoot: func() (time.Duration, error) { return time.Since(began) + time.Duration(suspended.Load()), nil },
		}
		ended := make(chan struct{})

		go func() { defer close(ended); s.Run(ctx) }()

		time.Sleep(10 * time.Second)
		suspended.Store(int64(4 * time.Second))
		time.Sleep(10 * time.Second)
		stop()
		<-ended
		require.Equal(t, 1, strings.Count(out.String(), "\n"), "want one line only: %s", out.String())
		require.Contains(t, out.String(), "process: Stalled: the process was not scheduled or its VM was suspended.")
		require.Contains(t, out.String(), "for=4s")
	})
}
