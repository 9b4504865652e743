package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Guards against clients that take the room of other requests by bodies that they announce and do not send.
func TestAnnouncedBodiesTakeNoRoom(t *testing.T) {
	t.Parallel()

	target := newRawTarget(t, func(c net.Conn, id string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderRequestID, id)
	})
	r := newFixture(t, target.addr(), func(a *Agent) { a.Settings.MaxPendingBytes = 1 << 20 })

	c, err := net.Dial("tcp", r.agent.address().String())
	require.NoError(t, err)

	defer c.Close()

	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1000000\r\n\r\n", RequestPath)
	line, err := bufio.NewReader(c).ReadString('\n') // The agent reads the body now.
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)

	r.do(r.request("/draft", strings.Repeat("x", 200_000)))
	require.EqualValues(t, 1, r.agent.counters.ran.Count())
}

// Guards against heads of answers that end an agent by what they make it hold, although they are within their limit
// in bytes, and against a charge that stays after the request.
func TestHeadsOfAnswersAreCharged(t *testing.T) {
	t.Parallel()

	lines := "a:\r\n"
	target := newRawTarget(t, func(c net.Conn, id string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+strings.Repeat(lines, 10_000)+HeaderRequestID+": "+id+"\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	})

	for limit, ran := range map[int64]int64{1 << 20: 0, 4 << 20: 1} {
		memory := &callers.Memory{Limit: limit}
		r := newFixture(t, target.addr(), func(a *Agent) { a.Bounds.Memory = memory })

		a := r.do(r.request("/draft", "x"))
		if ran == 0 {
			a.requireRefused(t, wire.Verdict_MayHaveRun, "Overload")
		}

		require.Equal(t, ran, r.agent.counters.ran.Count())
		require.Equal(t, 1-ran, r.agent.counters.noMemory.Count())
		require.Eventually(t, func() bool { return memory.Used() == 0 }, 10*time.Second, time.Millisecond)
	}
}

// Guards against a request whose end takes the bounds of the response from the next one on its connection.
func TestEndOfAHeadLeavesTheNextOneCharged(t *testing.T) {
	t.Parallel()

	inner, target := net.Pipe()

	defer inner.Close()
	defer target.Close()

	memory := &callers.Memory{Limit: 1 << 20}
	first, second := memory.NewAnswerHead(func() {}), memory.NewAnswerHead(func() {})
	c := &requestConn{Conn: inner}

	c.beginRequest(first)
	c.beginRequest(second) // The transport reuses the connection before the first caller knows of its response.
	c.endHead(first)

	go func() { _, _ = io.WriteString(target, strings.Repeat("a:\r\n", 1000)) }()

	_, err := c.Read(make([]byte, 4000))
	require.NoError(t, err)
	require.Positive(t, memory.Used())

	c.endHead(second)
	second.Release()
	require.Zero(t, memory.Used())
}
