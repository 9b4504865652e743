package targetclient_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/parsleygate/parsleygate/internal/targetclient"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

const (
	keepAlive = "Keep-Alive: timeout=10\r\n"
	whole     = "HTTP/1.1 200 OK\r\n" + keepAlive + "Content-Length: 4\r\n\r\nyes!"
	chunked   = "HTTP/1.1 200 OK\r\n" + keepAlive + "Transfer-Encoding: chunked\r\n\r\n4\r\nyes!\r\n"
)

// deliveryTime is how long a busy machine takes to deliver over loopback what has been sent or closed.
const deliveryTime = 20 * time.Millisecond

// fakeTarget is a target on loopback. Each request is answered by the next function of the script,
// which returns whether the connection stays open; without one, the answer is whole.
type fakeTarget struct {
	targetclient.Target

	mu       sync.Mutex
	script   []func(net.Conn) bool
	accepted int
	requests []string
	// ended receives one value per connection that has ended.
	ended chan struct{}
}

func newFakeTarget(t *testing.T, script ...func(net.Conn) bool) *fakeTarget {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	return startFakeTarget(t, l, script...)
}

func startFakeTarget(t *testing.T, l net.Listener, script ...func(net.Conn) bool) *fakeTarget {
	t.Helper()
	t.Cleanup(func() { _ = l.Close() })

	f := &fakeTarget{script: script, ended: make(chan struct{}, 100)}
	f.Target = targetclient.Target{Address: netip.MustParseAddrPort(l.Addr().String()), ID: "t", StartTime: 1}

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			go f.serve(c)
		}
	}()

	return f
}

func (f *fakeTarget) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		f.ended <- struct{}{}
	}()

	f.mu.Lock()
	f.accepted++
	f.mu.Unlock()

	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}

		answer := respond(whole)

		f.mu.Lock()
		f.requests = append(f.requests, req.RequestURI)
		if len(f.script) > 0 {
			answer, f.script = f.script[0], f.script[1:]
		}
		f.mu.Unlock()

		if req.Header.Get("Unread") == "" {
			_, _ = io.Copy(io.Discard, req.Body)
		}

		if !answer(c) {
			return
		}
	}
}

func (f *fakeTarget) connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.accepted
}

// respond returns an answer after which the connection stays open.
func respond(s string) func(net.Conn) bool {
	return func(c net.Conn) bool {
		_, _ = io.WriteString(c, s)

		return true
	}
}

// respondAndClose returns an answer after which the connection is closed.
func respondAndClose(s string) func(net.Conn) bool {
	return func(c net.Conn) bool {
		_, _ = io.WriteString(c, s)

		return false
	}
}

// respondAndReset returns an answer after which the connection is reset.
func respondAndReset(s string) func(net.Conn) bool {
	return func(c net.Conn) bool {
		_, _ = io.WriteString(c, s)
		_ = c.(*net.TCPConn).SetLinger(0)

		return false
	}
}

// newClient returns a client that keeps connections to all targets.
func newClient(targets ...*fakeTarget) *targetclient.Client {
	c := &targetclient.Client{DialTimeout: time.Second, MaxHeaderBytes: 64 << 10, MaxIdle: 8}
	limits := make(map[targetclient.Target]int)

	for _, f := range targets {
		limits[f.Target] = targetclient.NoLimit
	}

	c.Retain(limits)

	return c
}

func request(id string) *targetclient.Request {
	return &targetclient.Request{
		ID: id, Method: http.MethodPost, URI: "/" + id, Host: "desk.example", Header: http.Header{}, Body: []byte("body"),
		Deadline: time.Now().Add(5 * time.Second), Reuse: true,
	}
}

// send sends a request, reads its answer and keeps the connection.
func send(t *testing.T, c *targetclient.Client, to *fakeTarget, req *targetclient.Request) (reused bool) {
	t.Helper()

	answer, err := c.Open(t.Context(), to.Target, req)
	require.NoError(t, err)

	defer answer.Close()

	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "yes!", string(body))
	answer.Keep()

	return answer.Reused
}

// Guards against a connection per request where targets keep connections open.
func TestConnectionIsReusedAfterACompleteAnswer(t *testing.T) {
	t.Parallel()

	for _, answer := range []string{
		whole,
		chunked + "0\r\n\r\n",
		strings.Replace(chunked, "\r\n\r\n", "\r\nTrailer: X-Sum\r\n\r\n", 1) + "0\r\nX-Sum: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole,
	} {
		f := newFakeTarget(t, respond(answer), respond(answer))
		c := newClient(f)

		require.False(t, send(t, c, f, request("r1")))
		require.True(t, send(t, c, f, request("r2")))
		require.Equal(t, 1, f.connections())

		stats := c.Stats()
		require.EqualValues(t, 1, stats.Opened)
		require.EqualValues(t, 1, stats.Reused)
		require.Equal(t, 1, stats.Idle)
	}
}

// Guards against the reuse of a connection on which the next bytes may belong to an earlier answer,
// or which the target is about to close.
func TestConnectionIsNotKept(t *testing.T) {
	t.Parallel()

	for name, c := range map[string]struct {
		answer func(net.Conn) bool
		reason targetclient.CloseReason
		broken bool
	}{
		"connection close":   {respond(strings.Replace(whole, keepAlive, keepAlive+"Connection: close\r\n", 1)), "Stated", false},
		"no Keep-Alive":      {respond(strings.Replace(whole, keepAlive, "", 1)), "NoKeepAlive", false},
		"timeout 0":          {respond(strings.Replace(whole, "=10", "=0", 1)), "NoKeepAlive", false},
		"negative timeout":   {respond(strings.Replace(whole, "=10", "=-10", 1)), "NoKeepAlive", false},
		"malformed timeout":  {respond(strings.Replace(whole, "=10", "=NaN", 1)), "NoKeepAlive", false},
		"two timeouts":       {respond(strings.Replace(whole, keepAlive, keepAlive+"Keep-Alive: timeout=0\r\n", 1)), "NoKeepAlive", false},
		"last request":       {respond(strings.Replace(whole, "=10", "=10, max=0", 1)), "NoKeepAlive", false},
		"HTTP/1.0":           {respond(strings.Replace(whole, "HTTP/1.1", "HTTP/1.0", 1)), "Stated", false},
		"no length":          {respondAndClose(strings.Replace(whole, "Content-Length: 4\r\n", "", 1)), "Stated", false},
		"two answers":        {respond(whole + whole), "Bytes", false},
		"two chunked ones":   {respond(chunked + "0\r\n\r\n" + whole), "Bytes", false},
		"truncated":          {respondAndClose(strings.Replace(whole, ": 4", ": 9", 1)), "Failed", true},
		"reset":              {respondAndReset(strings.Replace(whole, ": 4", ": 9", 1)), "Failed", true},
		"no final chunk":     {respondAndClose(chunked), "Failed", true},
		"truncated trailer":  {respondAndClose(chunked + "0\r\nX-Sum"), "Failed", true},
		"no end of trailer":  {respondAndClose(chunked + "0\r\n"), "Failed", true},
		"chunk of no length": {respond(chunked + "x\r\n\r\n"), "Failed", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			f := newFakeTarget(t, c.answer)
			client := newClient(f)

			answer, err := client.Open(t.Context(), f.Target, request("r1"))
			require.NoError(t, err)

			_, err = io.ReadAll(answer.Body)
			require.Equal(t, c.broken, err != nil)
			answer.Keep()
			require.EqualValues(t, 1, client.Stats().Closed[c.reason], client.Stats())

			require.False(t, send(t, client, f, request("r2")))
			require.Equal(t, 2, f.connections())
		})
	}
}

// Guards against a kept connection with the rest of an answer, of a request or of a canceled request
// on it.
func TestConnectionInUseIsNotKept(t *testing.T) {
	t.Parallel()

	t.Run("answer not read", func(t *testing.T) {
		t.Parallel()

		f := newFakeTarget(t)
		c := newClient(f)
		answer, err := c.Open(t.Context(), f.Target, request("r1"))
		require.NoError(t, err)

		_, err = answer.Body.Read(make([]byte, 3))
		require.NoError(t, err)
		answer.Keep()
		require.EqualValues(t, 1, c.Stats().Closed["Failed"])
	})

	t.Run("request not written", func(t *testing.T) {
		t.Parallel()

		f := newFakeTarget(t)
		c := newClient(f)
		req := request("r1")
		req.Body = make([]byte, 32<<20) // more than the buffers of a connection hold
		req.Header.Set("Unread", "1")
		send(t, c, f, req)
		require.EqualValues(t, 1, c.Stats().Closed["Failed"])
	})

	t.Run("canceled", func(t *testing.T) {
		t.Parallel()

		f := newFakeTarget(t)
		c := newClient(f)
		ctx, cancel := context.WithCancel(t.Context())
		answer, err := c.Open(ctx, f.Target, request("r1"))
		require.NoError(t, err)

		_, err = io.ReadAll(answer.Body)
		require.NoError(t, err)
		cancel()
		answer.Keep()
		require.EqualValues(t, 1, c.Stats().Closed["Failed"])
	})
}

// Guards against a context that ends after its request and closes the connection under another one.
func TestKeptConnectionOutlivesItsRequest(t *testing.T) {
	t.Parallel()

	f := newFakeTarget(t)
	c := newClient(f)
	ctx, cancel := context.WithCancel(t.Context())
	answer, err := c.Open(ctx, f.Target, request("r1"))
	require.NoError(t, err)

	_, err = io.ReadAll(answer.Body)
	require.NoError(t, err)
	answer.Keep()
	answer.Close()
	cancel()
	require.True(t, send(t, c, f, request("r2")))
}

// Guards against a request that may run only once on a connection which the target may close as the
// request is written.
func TestRequestWithoutReuseGetsANewConnection(t *testing.T) {
	t.Parallel()

	f := newFakeTarget(t)
	c := newClient(f)
	send(t, c, f, request("r1"))

	once := request("r2")
	once.Reuse = false
	require.False(t, send(t, c, f, once))
	require.Equal(t, 2, f.connections())
	require.Zero(t, c.Stats().Reused)
}

// Guards against requests on connections that the target has closed without notice.
func TestForgottenConnectionIsNotReused(t *testing.T) {
	t.Parallel()

	for _, answer := range []func(net.Conn) bool{respondAndClose(whole), respondAndReset(whole)} {
		f := newFakeTarget(t, answer)
		c := newClient(f)
		send(t, c, f, request("r1"))
		<-f.ended
		time.Sleep(deliveryTime)

		require.False(t, send(t, c, f, request("r2")))
		require.Equal(t, []string{"/r1", "/r2"}, f.requests)
		require.EqualValues(t, 1, c.Stats().Closed["ByTarget"])
	}
}

// Guards against a late second answer that is taken for the answer to the next request, and against
// the reuse of other connections of such a target.
func TestBytesOnAnIdleConnection(t *testing.T) {
	t.Parallel()

	late, written := make(chan struct{}), make(chan struct{})
	f := newFakeTarget(t, func(c net.Conn) bool {
		go func() {
			<-late

			_, _ = io.WriteString(c, whole)
			close(written)
		}()

		return respond(whole)(c)
	})
	c := newClient(f)
	send(t, c, f, request("r1"))
	close(late)
	<-written
	time.Sleep(deliveryTime)

	require.False(t, send(t, c, f, request("r2")))
	require.EqualValues(t, 1, c.Stats().Closed["Bytes"])
	require.False(t, send(t, c, f, request("r3")))
	require.EqualValues(t, 2, c.Stats().Closed["Paused"])
}

// Guards against a verdict NotRun for a request that the target may have read before it closed the
// reused connection, and against further such requests.
func TestReusedConnectionClosedWithoutAnAnswer(t *testing.T) {
	t.Parallel()

	for _, end := range []func(net.Conn) bool{respondAndClose(""), respondAndReset("")} {
		f := newFakeTarget(t, respond(whole), end)
		c := newClient(f)
		send(t, c, f, request("r1"))

		_, err := c.Open(t.Context(), f.Target, request("r2"))
		require.ErrorIs(t, err, targetclient.ErrReusedConnection)
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		require.Equal(t, verdict.CauseBroken, verdict.CauseOf(err))
		require.EqualValues(t, 1, c.Stats().Closed["Unanswered"])

		for n := range 2 {
			require.False(t, send(t, c, f, request(fmt.Sprint("s", n))))
		}
	}
}

// Guards against a pause after a target did answer on a reused connection, or had no time to.
func TestOtherFailuresOfReusedConnections(t *testing.T) {
	t.Parallel()

	f := newFakeTarget(t, respond(whole), respondAndClose("HTTP/1.1 200 OK\r\nConte"), respond(whole), func(c net.Conn) bool {
		_, _ = c.Read(make([]byte, 1)) // until the client closes the connection

		return false
	})
	c := newClient(f)

	send(t, c, f, request("r1"))

	_, err := c.Open(t.Context(), f.Target, request("r2"))
	require.Error(t, err)
	require.NotErrorIs(t, err, targetclient.ErrReusedConnection)

	send(t, c, f, request("r3"))

	short := request("r4")
	short.Deadline = time.Now().Add(50 * time.Millisecond)
	_, err = c.Open(t.Context(), f.Target, short)
	require.Equal(t, verdict.CauseDeadline, verdict.CauseOf(err))
	require.False(t, errors.Is(err, targetclient.ErrReusedConnection))

	send(t, c, f, request("r5"))
	require.True(t, send(t, c, f, request("r6")))
}

// Bytes that are no answer arrive on a reused connection, before the true answer: the body of an answer
// that has none, or the end of a chunked one. Guards against a target that is blamed for them, and against
// another use of its connections.
func TestMalformedBytesOnAReusedConnection(t *testing.T) {
	t.Parallel()

	for _, bytes := range []string{"yes!\r\n\r\n", "0\r\n\r\n"} {
		f := newFakeTarget(t, respond(whole), respond(bytes+whole), respond(whole), respond(whole))
		c := newClient(f)

		send(t, c, f, request("r1"))

		_, err := c.Open(t.Context(), f.Target, request("r2"))
		require.ErrorIs(t, err, targetclient.ErrReusedConnection)
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		require.False(t, send(t, c, f, request("r3")))
		require.False(t, send(t, c, f, request("r4")), "the target must not be reused for a while")
	}
}

// Guards against an idle connection that is given up, and a request that counts as one that may have run,
// because its caller had left before it was sent.
func TestCancelledRequestUsesNoIdleConnection(t *testing.T) {
	t.Parallel()

	f := newFakeTarget(t, respond(whole), respond(whole))
	c := newClient(f)
	send(t, c, f, request("r1"))

	ctx, cancel := context.WithCancel(t.Context())
	cancel()

	_, err := c.Open(ctx, f.Target, request("r2"))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.True(t, send(t, c, f, request("r3")))
}

// Guards against a long body on a kept connection to a VM that is gone: it would wait for its deadline.
func TestLongBodyUsesNoIdleConnection(t *testing.T) {
	t.Parallel()

	f := newFakeTarget(t, respond(whole), respond(whole))
	c := newClient(f)
	send(t, c, f, request("r1"))

	r := request("r2")
	r.Body = make([]byte, 16<<10+1)
	require.False(t, send(t, c, f, r))
}

// Guards against a request that waits for its deadline because the target's VM was powered off while the
// connection was idle. A target whose buffers are full acknowledges as little as that VM.
func TestSilentTargetOfAReusedConnection(t *testing.T) {
	t.Parallel()

	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			require.NoError(t, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1))
		})
	}}
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)

	ended := make(chan struct{})
	f := startFakeTarget(t, l, func(c net.Conn) bool {
		_ = respond(whole)(c)

		<-ended

		return false
	})
	c := newClient(f)
	c.DialTimeout = 50 * time.Millisecond
	send(t, c, f, request("r1"))

	silent := request("r2")
	silent.Body = make([]byte, 16<<10)
	silent.Deadline = time.Now().Add(time.Minute)

	_, err = c.Open(t.Context(), f.Target, silent)
	close(ended)
	require.ErrorIs(t, err, targetclient.ErrReusedConnection)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.Equal(t, verdict.CauseBroken, verdict.CauseOf(err))
}

// Guards against idle connections to a target that has said on another one that it closes them.
func TestConnectionCloseClosesIdleConnections(t *testing.T) {
	t.Parallel()

	f := newFakeTarget(t, respond(whole), respond(strings.Replace(whole, keepAlive, "Connection: close\r\n", 1)))
	c := newClient(f)
	send(t, c, f, request("r1"))

	once := request("r2")
	once.Reuse = false
	send(t, c, f, once)
	<-f.ended
	<-f.ended
	require.EqualValues(t, 1, c.Stats().Closed["Left"])
	require.Zero(t, c.Stats().Idle)
}

// Guards against descriptors that stay in use: those of idle connections beyond the bounds, to targets
// that have left, past their idle time, and at a stop.
func TestIdleConnectionsAreClosed(t *testing.T) {
	t.Parallel()

	targets := []*fakeTarget{newFakeTarget(t), newFakeTarget(t), newFakeTarget(t)}
	c := newClient(targets...)
	c.MaxIdle = 2

	for _, f := range targets {
		send(t, c, f, request("r1"))
	}

	<-targets[0].ended
	require.Equal(t, 2, c.Stats().Idle)

	c.Retain(map[targetclient.Target]int{targets[2].Target: 1})
	<-targets[1].ended
	require.Equal(t, 1, c.Stats().Idle)

	hasIdle := c.HasIdle(targets[2].Target)
	require.True(t, hasIdle())

	once := request("r2")
	once.Reuse = false
	send(t, c, targets[2], once)
	<-targets[2].ended
	require.Equal(t, 1, c.Stats().Idle, "the share is one connection")

	c.CloseIdle()
	<-targets[2].ended
	require.False(t, hasIdle())
	require.Equal(t, targetclient.Stats{
		Opened: 4, Closed: map[targetclient.CloseReason]int64{"Bound": 2, "Left": 1, "Stopping": 1},
	}, c.Stats())

	send(t, c, targets[2], request("r3"))
	<-targets[2].ended
}

// Guards against expired connections that stay open while no request comes.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	t.Parallel()

	f := newFakeTarget(t)
	c := newClient(f)

	var mu sync.Mutex

	now := time.Now()
	c.Now = func() time.Time {
		mu.Lock()
		defer mu.Unlock()

		return now
	}

	send(t, c, f, request("r1"))
	mu.Lock()
	now = now.Add(5 * time.Second)
	mu.Unlock()
	<-f.ended
	require.EqualValues(t, 1, c.Stats().Closed["Expired"])
}
