package agentclient_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Guards against an answer of an agent that was cut off, in its head or later, and counts as whole: cut at each byte.
func TestAnswerOfAnAgentThatIsCutOffIsNotWhole(t *testing.T) {
	t.Parallel()

	var frames bytes.Buffer

	for _, f := range []*wire.Frame{head(ownAttempt), data("ab"), heartbeat(ownAttempt), end(ownAttempt, "ab")} {
		_, err := protodelim.MarshalTo(&frames, f)
		require.NoError(t, err)
	}

	chunks := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", frames.Len(), frames.Bytes())
	framesEnd := len(chunks) - len("\r\n0\r\n\r\n")

	for n := range framesEnd + 1 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)

		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}

			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(chunks[:n]))
			}

			_ = c.Close()
		}()

		rec := &recorder{}
		res := newClient(t).Send(t.Context(), netip.MustParseAddrPort(l.Addr().String()), &wire.Request{AttemptID: ownAttempt}, rec.receiver())
		require.NoError(t, l.Close())

		if n == framesEnd {
			require.Nil(t, res.Err, "all frames have arrived")
			require.Equal(t, "ab", rec.got)

			continue
		}

		require.NotNil(t, res.Err, "%q", chunks[:n])
		require.Equal(t, verdict.MayHaveRun, res.Err.Verdict, "%q", chunks[:n])
	}
}
