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

// blockedWriter is a writer that blocks until unblock is closed.
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

// The process that reads the log has stopped reading, and the pipe to it is full. Logging
// must not block: the queue drops and counts lines, and logs the count once the writer
// accepts lines again.
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
	require.Contains(t, p.buf.String(), "Log lines were dropped because the writer blocked.")
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

// A logged error consists of its text, without the stack trace of a wrapped error.
func TestErrorsAreLoggedWithoutStack(t *testing.T) {
	t.Parallel()

	var b bytes.Buffer

	logs.Output{Writer: &b}.Logger("x").Warn("Lost.", slog.Any("error", &stackError{}))
	require.Contains(t, b.String(), `error="the text"`)
}

type stackError struct{}

func (*stackError) Error() string { return "the text" }

// Guards against a panic ("send on closed channel") when a process stops while a request
// still logs: Close must not close the channel that Write sends on.
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
