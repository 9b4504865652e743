package replica

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/loopback"
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
			s := &loopback.Endless{Head: answer[0], More: answer[1], MaxSent: maxSent, Sent: make(chan int, 10)}
			to, err := s.Run()
			require.NoError(t, err)

			r := &Replica{ID: "vm0", Cluster: "test", Client: base}
			r.init()

			_, err = r.forwardTo(t.Context(), to, &wire.PeerOrder{})
			require.Error(t, err, name)
			require.Less(t, <-s.Sent, 64<<20, name)

			peer := wire.NewPeerProtobufClient("http://"+to.String(), newClient(base))
			_, err = peer.Deliver(t.Context(), &wire.PeerEnvelope{})
			require.Error(t, err, name)
			require.Less(t, <-s.Sent, 64<<20, name)
			s.Close()
		}
	}
}
