package agent

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against targets that send bytes without an end, fast and byte by byte: requests and orders end in
// time, heads are bounded, and connections are closed.
func TestEndlessTargetAnswersEnd(t *testing.T) {
	t.Parallel()

	const head = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": %s\r\n"

	for name, answer := range map[string][2]string{
		"no answer": {"", "x"}, "status line": {"HTTP/1.1 200 ", "O"}, "header line": {head + "A: ", "x"}, "headers": {head, "A: x\r\n"},
		"informational": {"", "HTTP/1.1 102 Processing\r\nA: x\r\n\r\n"},
		"body":          {head + "\r\n", "x"}, "chunks": {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk line": {head + "Transfer-Encoding: chunked\r\n\r\n", "1"}, "stream": {head + "Content-Type: text/event-stream\r\n\r\n", "\n"},
		"trailer": {head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "A: x\r\n"},
	} {
		for _, slow := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s slow=%v", name, slow), func(t *testing.T) {
				t.Parallel()

				more, interval := strings.Repeat(answer[1], 1<<10), time.Millisecond
				if slow {
					more, interval = answer[1], 20*time.Millisecond
				}

				var open, sent atomic.Int64

				target := newRawTarget(t, func(c net.Conn, id string) {
					open.Add(1)
					defer open.Add(-1)

					_, err := io.WriteString(c, strings.ReplaceAll(answer[0], "%s", id))
					for ; err == nil; time.Sleep(interval) {
						_, err = io.WriteString(c, more)
						sent.Add(int64(len(more)))
					}

					_ = c.Close()
				})
				r := newFixture(t, target.addr(), func(a *Agent) {
					a.HighestOrder = func() (uint64, bool) { return 4, true }
					a.Settings.UnsettledOrderTimeout = time.Nanosecond
					a.Settings.TickInterval = time.Millisecond
					a.Settings.OrderTimeout = 300 * time.Millisecond
				})

				for _, idempotent := range []bool{true, false} {
					req := r.request("/draft", "x")
					req.Idempotent, req.RemainingMillis = idempotent, 300
					at := time.Now()
					a := r.do(req)
					require.Nil(t, a.end)
					require.Less(t, time.Since(at), 5*time.Second)
				}

				require.False(t, r.submitOrder(loadOrder(5, "v5")).GetDone())
				require.EqualValues(t, 3, target.conns.Load())

				require.Eventually(t, func() bool { return open.Load() == 0 }, 10*time.Second, 10*time.Millisecond)
				require.Less(t, sent.Load(), int64(16<<20))
			})
		}
	}
}
