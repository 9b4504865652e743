package callers_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/callers"
)

const maxHead = 16 << 10

// startBounded serves a handler within limits that adjust changes.
func startBounded(t *testing.T, h http.HandlerFunc, adjust func(*callers.Listener, *callers.Limits)) (string, *callers.Listener) {
	t.Helper()

	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	limits := callers.Limits{MaxHeaderBytes: maxHead}
	l := &callers.Listener{Listener: inner, Limits: func() callers.Limits { return limits }}

	if adjust != nil {
		adjust(l, &limits)
	}

	server := l.Server(h)

	go func() { _ = server.Serve(l) }()

	t.Cleanup(func() { _ = server.Close() })

	return inner.Addr().String(), l
}

// shortLines returns the head of a request of about size bytes, without the line that ends it.
func shortLines(size int) string {
	var b strings.Builder

	b.WriteString("POST / HTTP/1.1\r\nHost: x\r\n")

	for n := 0; b.Len() < size-30; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}

	return b.String()
}

// Guards against a declared limit that is not in force: heads within it are served, heads beyond it are not.
func TestDeclaredHeaderLimitIsInForce(t *testing.T) {
	t.Parallel()

	address, l := startBounded(t, func(http.ResponseWriter, *http.Request) {}, nil)

	c := dial(t, address)
	_, _ = io.WriteString(c, shortLines(maxHead)+"Content-Length: 0\r\n\r\n")
	require.Equal(t, http.StatusOK, readStatus(bufio.NewReader(c)))

	for _, head := range []string{
		shortLines(60<<10) + "Content-Length: 10\r\n\r\n", // the body is withheld
		shortLines(60 << 10),                              // the end is withheld
		"GET /" + strings.Repeat("a", 60<<10),
	} {
		c := dial(t, address)
		_, _ = io.WriteString(c, head)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, readStatus(bufio.NewReader(c)))
	}

	require.EqualValues(t, 3, l.Stats().TooLong)
}

// Guards against bodies and pipelined requests that are taken for a part of a head.
func TestBodiesAreNotCountedAsHeads(t *testing.T) {
	t.Parallel()

	address, l := startBounded(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }, nil)
	c := dial(t, address)
	body := strings.Repeat("b", 200_000)
	one := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)

	go func() { _, _ = io.WriteString(c, one+one+one) }()

	answers := bufio.NewReader(c)
	for range 3 {
		require.Equal(t, http.StatusOK, readStatus(answers))
	}

	require.Zero(t, l.Stats().TooLong)
}

// Guards against heads that take the memory of a process before anybody has counted them, and against
// ordinary requests that are refused because of them.
func TestLargeHeadsShareTheirMemory(t *testing.T) {
	t.Parallel()

	release := make(chan struct{})
	memory := &callers.Memory{Limit: 2 << 20}
	address, l := startBounded(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			<-release
		}
	}, func(l *callers.Listener, _ *callers.Limits) { l.Memory = memory })

	statuses := make(chan int, 20)

	for range 20 {
		c := dial(t, address)
		_, _ = io.WriteString(c, shortLines(maxHead)+"Content-Length: 0\r\n\r\n")

		go func() { statuses <- readStatus(bufio.NewReader(c)) }()
	}

	require.Equal(t, http.StatusServiceUnavailable, <-statuses)
	require.Equal(t, http.StatusOK, exchange(dial(t, address)))
	require.LessOrEqual(t, memory.Used(), memory.Limit)
	close(release)

	served := 0

	for range 19 {
		if <-statuses == http.StatusOK {
			served++
		}
	}

	require.Positive(t, served)
	require.EqualValues(t, 19-served+1, l.Stats().NoMemory)
	require.Eventually(t, func() bool { return memory.Used() == 0 }, 10*time.Second, 10*time.Millisecond)
}

// Guards against heads without end that keep the memory from others: those that arrive for long go first.
func TestHeadsThatDoNotEndMakeRoom(t *testing.T) {
	t.Parallel()

	memory := &callers.Memory{Limit: 2 << 20}
	address, _ := startBounded(t, func(http.ResponseWriter, *http.Request) {}, func(l *callers.Listener, _ *callers.Limits) { l.Memory = memory })

	for range 10 {
		_, _ = io.WriteString(dial(t, address), shortLines(maxHead))
	}

	require.Eventually(t, func() bool {
		c := dial(t, address)
		_, _ = io.WriteString(c, shortLines(maxHead/2)+"Content-Length: 0\r\n\r\n")

		return readStatus(bufio.NewReader(c)) == http.StatusOK
	}, 20*time.Second, 100*time.Millisecond)
}

// Guards against requests that arrive slowly and keep all connections from others.
func TestSlowRequestsMakeRoomForOthers(t *testing.T) {
	t.Parallel()

	for name, begin := range map[string]string{
		"Head": "GET / HTTP/1.1\r\nHost:", "Body": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n", "AnswersNotRead": strings.Repeat("HEAD /long HTTP/1.1\r\nHost: x\r\n\r\n", 100_000),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			address, l := startBounded(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/long" {
					w.Header().Set("X", strings.Repeat("x", 64<<10)) // Few answers fill the buffers of a connection.
				}
			}, func(l *callers.Listener, _ *callers.Limits) { l.MaxConnections = 16 })

			for range 16 {
				c := dial(t, address)
				_ = c.(*net.TCPConn).SetReadBuffer(4096)

				go func() { _, _ = io.WriteString(c, begin) }()
			}

			awaitServed(t, address)
			require.Positive(t, l.Stats().ClosedSlow)
		})
	}
}

// Guards against a head that takes longer than declared, and against an answer to a connection that is only idle.
func TestSlowHeadIsRefusedInTime(t *testing.T) {
	t.Parallel()

	address, l := startBounded(t, func(http.ResponseWriter, *http.Request) {}, func(_ *callers.Listener, limits *callers.Limits) {
		limits.HeaderTimeout, limits.IdleTimeout = 50*time.Millisecond, 50*time.Millisecond
	})

	slow := dial(t, address)
	_, _ = io.WriteString(slow, "GET / HTTP/1.1\r\nHost")
	require.Equal(t, http.StatusRequestTimeout, readStatus(bufio.NewReader(slow)))

	idle := dial(t, address)
	require.Equal(t, http.StatusOK, exchange(idle))

	rest, err := io.ReadAll(idle)
	require.NoError(t, err)
	require.Empty(t, rest)
	require.EqualValues(t, 1, l.Stats().TooSlow)
}

// Guards against handlers whose panics leave no trace.
func TestPanicsOfHandlersAreLogged(t *testing.T) {
	t.Parallel()

	var lines lockedBuffer

	address, _ := startBounded(t, func(http.ResponseWriter, *http.Request) { panic("odd") }, func(l *callers.Listener, _ *callers.Limits) {
		l.Logger = slog.New(slog.NewTextHandler(&lines, nil))
	})

	require.Zero(t, exchange(dial(t, address)))
	require.Eventually(t, func() bool { return strings.Contains(lines.String(), "odd") }, 10*time.Second, 10*time.Millisecond)
}

// lockedBuffer is a buffer for several goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.b.String()
}

// Guards against the rest of a head that arrives after a refusal, and is taken for a request without its middle: the
// library may look ahead at the next line, and does not tell that this failed.
func TestRefusedConnectionReadsNoMore(t *testing.T) {
	t.Parallel()

	const (
		chunk    = 4096 // what the server reads at once
		lineSize = 8
	)

	head := "POST / HTTP/1.1\r\nHost: x\r\nX: aa\r\n"
	head += "X: " + strings.Repeat("a", lineSize-(len(head)+5)%lineSize) + "\r\n"

	for n := 0; len(head) < 2*chunk; n++ {
		head += fmt.Sprintf("%05x:\r\n", n)
	}

	held := callers.HeadMemory(len(head), strings.Count(head, "\n"))
	memory := &callers.Memory{Limit: held + held*3/4}
	release, handled := make(chan struct{}), make(chan string, 10)
	address, _ := startBounded(t, func(_ http.ResponseWriter, r *http.Request) {
		handled <- r.Header.Get("First")

		if r.Header.Get("First") != "" {
			<-release
		}
	}, func(l *callers.Listener, _ *callers.Limits) { l.Memory = memory })

	first := dial(t, address)
	_, _ = io.WriteString(first, head+"First: 1\r\nContent-Length: 0\r\n\r\n")
	require.Equal(t, "1", <-handled)

	refused := dial(t, address)
	_, _ = io.WriteString(refused, head)
	answers := bufio.NewReader(refused)
	require.Equal(t, http.StatusServiceUnavailable, readStatus(answers))

	close(release)
	require.Equal(t, http.StatusOK, readStatus(bufio.NewReader(first)))
	_, _ = io.WriteString(refused, "Content-Length: 0\r\n\r\n")
	_, _ = io.ReadAll(answers)
	require.Eventually(t, func() bool { return memory.Used() == 0 }, 10*time.Second, 10*time.Millisecond)
	require.Empty(t, handled)
}
