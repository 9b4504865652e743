package targetclient_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
