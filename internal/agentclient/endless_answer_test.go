package agentclient_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/loopback"
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

			s := &loopback.Endless{Head: answer[0], More: answer[1], MaxSent: maxSent, Sent: make(chan int, 10)}
			to, err := s.Run()
			require.NoError(t, err)

			defer s.Close()

			c := newClient(t)

			_, err = c.QueryAttempt(t.Context(), to, &wire.AskRequest{})
			require.Error(t, err)
			require.Less(t, <-s.Sent, 64<<20)

			_, err = c.Grant(t.Context(), to, &wire.GrantRequest{})
			require.Error(t, err)
			require.Less(t, <-s.Sent, 64<<20)

			rec := &recorder{}
			require.NotNil(t, c.Send(t.Context(), to, &wire.Request{AttemptID: ownAttempt}, rec.receiver()).Err)
			require.Less(t, <-s.Sent, 64<<20)
			require.Empty(t, rec.got)
		})
	}
}
