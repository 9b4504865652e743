package agentclient_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Guards against a service at the address of an agent whose answer has no end, in its head, its body or a frame, and that the entry
// keeps whole.
func TestAnswersOfAgentsWithoutAnEndAreBounded(t *testing.T) {
	t.Parallel()

	const ok, maxSent = "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n", 200 << 20

	more := strings.Repeat("x", 1<<20)

	for name, answer := range map[string][2]string{
		"no answer": {"", more}, "field": {ok + "A: ", more}, "fields": {ok, "A: " + more[:1<<10] + "\r\n"}, "informational": {"", strings.Repeat("HTTP/1.1 102 \r\n\r\n", 1<<10)},
		"body": {ok + "\r\n", more}, "failure": {"HTTP/1.1 500 Oops\r\n\r\n", more}, "length": {ok + "Content-Length: 1000000000\r\n\r\n", more},
		"length of a frame": {ok + "\r\n\xff\xff\xff\xff\x0f", more},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)

			defer func() { _ = l.Close() }()

			sent := make(chan int, 10)

			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}

					_, _ = http.ReadRequest(bufio.NewReader(c))

					size, err := io.WriteString(c, answer[0])
					for ; err == nil && size < maxSent; size += len(answer[1]) {
						_, err = io.WriteString(c, answer[1])
					}

					_ = c.Close()
					sent <- size
				}
			}()

			to, c := netip.MustParseAddrPort(l.Addr().String()), newClient(t)

			_, err = c.QueryAttempt(t.Context(), to, &wire.AskRequest{})
			require.Error(t, err)
			require.Less(t, <-sent, 64<<20)

			_, err = c.Grant(t.Context(), to, &wire.GrantRequest{})
			require.Error(t, err)
			require.Less(t, <-sent, 64<<20)

			rec := &recorder{}
			require.NotNil(t, c.Send(t.Context(), to, &wire.Request{AttemptID: ownAttempt}, rec.receiver()).Err)
			require.Less(t, <-sent, 64<<20)
			require.Empty(t, rec.got)
		})
	}
}
