package entry

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// If the entry does not read past the end frame, the connection to an agent cannot be
// reused after a complete answer. Each request then waits for a dial, and agents run
// out of ports.
func TestCompleteAnswersKeepTheirConnection(t *testing.T) {
	t.Parallel()

	a := newFakeAgent(t, "agent-1", answerStream)

	var opened atomic.Int64

	f := newFixture(t, streamService, func(e *Entry) {
		e.Agents.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			opened.Add(1)

			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	}, a)

	for range 4 {
		require.Equal(t, 200, f.postStreamRequest().status)
	}

	// One connection for requests, and one for a credit requested at the same time.
	require.LessOrEqual(t, opened.Load(), int64(2))
}
