package targetclient_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/targetclient"
)

// Guards against a reset that the writer of the request's body is told of, so that the reader of the
// answer sees the regular end of the connection, and of an answer that only this end delimits.
func TestResetWhileTheBodyIsWrittenBreaksTheAnswer(t *testing.T) {
	t.Parallel()

	began, ended := make(chan struct{}), make(chan struct{})
	f := newFakeTarget(t, func(c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")

		<-began

		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()

		close(ended)

		return false
	})

	r := request("r1")
	r.Header.Set("Unread", "1")
	r.Body = make([]byte, 32<<20) // exceeds the buffers of both ends

	answer, err := newClient(f).Open(t.Context(), f.Target, r)
	require.NoError(t, err)

	defer answer.Close()

	half := make([]byte, 4)
	_, err = io.ReadFull(answer.Body, half)
	require.NoError(t, err)

	close(began)
	<-ended
	time.Sleep(deliveryTime)

	_, err = io.ReadAll(answer.Body)
	require.Error(t, err)
}

// Guards against a request that is given up, and whose bytes arrive when the target reads again.
func TestRequestThatIsGivenUpIsNotSentFurther(t *testing.T) {
	t.Parallel()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	defer func() { _ = l.Close() }()

	ctx, cancel := context.WithCancel(t.Context())
	f := &fakeTarget{Target: targetclient.Target{Address: netip.MustParseAddrPort(l.Addr().String()), ID: "t", StartTime: 1}}
	r := request("r1")
	r.Body = make([]byte, 32<<20) // exceeds the buffers of both ends

	opened := make(chan error)

	go func() {
		_, err := newClient(f).Open(ctx, f.Target, r) //nolint:bodyclose // there is no answer
		opened <- err
	}()

	c, err := l.Accept()
	require.NoError(t, err)

	defer func() { _ = c.Close() }()

	time.Sleep(deliveryTime)
	cancel()

	require.ErrorIs(t, <-opened, targetclient.ErrNoAnswer)

	_, err = io.Copy(io.Discard, c)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
