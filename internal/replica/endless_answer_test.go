package replica

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

// Guards against a service at the address of a member whose answer has no end, and that a replica keeps whole.
func TestAnswersOfMembersWithoutAnEndAreBounded(t *testing.T) {
	t.Parallel()

	const ok, maxSent = "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n", 200 << 20

	more := strings.Repeat("x", 1<<20)

	for name, answer := range map[string][2]string{
		"no answer": {"", more}, "field": {ok + "A: ", more}, "fields": {ok, "A: " + more[:1<<10] + "\r\n"}, "body": {ok + "\r\n", more}, "failure": {"HTTP/1.1 500 Oops\r\n\r\n", more},
	} {
		for _, base := range []*http.Client{nil, {Transport: &http.Transport{}}} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)

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

			r := &Replica{ID: "vm0", Cluster: "test", Client: base}
			r.init()

			_, err = r.forwardTo(t.Context(), netip.MustParseAddrPort(l.Addr().String()), &wire.PeerOrder{})
			require.Error(t, err, name)
			require.Less(t, <-sent, 64<<20, name)

			peer := wire.NewPeerProtobufClient("http://"+l.Addr().String(), newClient(base))
			_, err = peer.Deliver(t.Context(), &wire.PeerEnvelope{})
			require.Error(t, err, name)
			require.Less(t, <-sent, 64<<20, name)
			require.NoError(t, l.Close())
		}
	}
}
