package logs_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/logs"
)

// blockedWriter is a reader of the log that stands still until it is let go.
type blockedWriter struct {
	unblock chan struct{}

	mu  sync.Mutex
	buf bytes.Buffer
}

func (p *blockedWriter) Write(b []byte) (int, error) {
	<-p.unblock
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.buf.Write(b)
}

// Nobody reads the log any more, and the pipe to its reader is full. What is logged
// goes on: lines are dropped and counted, and that is told once somebody reads again.
func TestQueueDropsLinesWhileWriterBlocks(t *testing.T) {
	t.Parallel()

	p := &blockedWriter{unblock: make(chan struct{})}
	q := logs.NewQueue(p)
	logger := logs.Output{Writer: q}.Logger("relay")

	for range 10000 {
		logger.Info("Refused.", "request", "r1")
	}

	require.Greater(t, q.Dropped(), int64(5000))
	close(p.unblock)
	q.Close()

	written := strings.Count(p.buf.String(), "relay: Refused.")
	require.Equal(t, int64(10000), int64(written)+q.Dropped())
	require.Contains(t, p.buf.String(), "Lines were dropped.")
}

func TestSamplerLimitsLinesPerSecond(t *testing.T) {
	t.Parallel()

	s := logs.Sampler{PerSecond: 3}
	now := time.Unix(1000, 0)
	allowed := 0

	for i := range 40 {
		if s.Allow(now.Add(time.Duration(i) * 50 * time.Millisecond)) {
			allowed++
		}
	}

	require.Equal(t, 6, allowed)
	require.Equal(t, int64(34), s.Suppressed())
}

// An error's line holds its text, and not the stack that wrapped errors carry.
func TestErrorsAreLoggedWithoutStack(t *testing.T) {
	t.Parallel()

	var b bytes.Buffer

	logs.Output{Writer: &b}.Logger("x").Warn("Lost.", slog.Any("error", &stackError{}))
	require.Contains(t, b.String(), `error="the text"`)
}

type stackError struct{}

func (*stackError) Error() string { return "the text" }

// A control VM is told to stop while an operator's question is being answered. Its log
// was closed under the line that tells of it: "send on closed channel", and the process
// ended by a panic instead of its stop.
func TestQueueCloseDuringWrites(t *testing.T) {
	t.Parallel()

	for range 200 {
		q := logs.NewQueue(io.Discard)

		var writers sync.WaitGroup

		for range 4 {
			writers.Go(func() {
				for range 50 {
					_, err := q.Write([]byte("a line\n"))
					if err != nil {
						t.Error(err)
					}
				}
			})
		}

		q.Close()
		writers.Wait()
	}
}
