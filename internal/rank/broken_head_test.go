package rank

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/logs"
)

// polledState returns the state that a rank knows after its engine has answered several polls with the same bytes.
func polledState(t *testing.T, answer string) *EngineState {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	defer func() { _ = l.Close() }()

	var polls atomic.Int64

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			go func() {
				defer func() { _ = c.Close() }()

				for in := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}

					polls.Add(1)

					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()

	r := &Rank{
		EngineAddress: func() netip.AddrPort { return netip.MustParseAddrPort(l.Addr().String()) },
		InitialMap:    func() []byte { return nil }, PeerAddresses: func() []netip.AddrPort { return nil }, Logger: logs.Discard(),
	}
	r.Init()

	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)

	go func() { ended <- r.Run(ctx) }()

	require.Eventually(t, func() bool { return polls.Load() > 2 }, time.Minute, time.Millisecond)
	stop()
	require.NoError(t, <-ended)

	return r.engineState.Load()
}

// Guards against a state of an engine that is read from an answer with a broken head, or from the body of one.
func TestBrokenHeadOfAnEngineIsNoState(t *testing.T) {
	t.Parallel()

	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n" + `{"BootID":"b"}`

	require.Equal(t, "b", polledState(t, sound).BootID)

	for _, answer := range []string{
		"HTTP/2.0" + sound[len("HTTP/1.1"):], "HTTP/1.1 000 \r\n\r\n" + sound, "HTTP/1.1 103 \r\nContent-Length: 53\r\n\r\n" + sound,
	} {
		require.Nil(t, polledState(t, answer), "%q", answer)
	}
}
