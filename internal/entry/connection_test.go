package entry

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Callers wait for a dial at each request, and agents run out of ports, when an
// answer that ended whole still costs its connection: the entry had not read
// past the closing frame.
func TestCompleteAnswersKeepTheirConnection(t *testing.T) {
	t.Parallel()

	a := newFakeAgent(t, "agent-1", answerDraft)

	var opened atomic.Int64

	r := newFixture(t, draftService, func(e *Entry) {
		e.Agents.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			opened.Add(1)

			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	}, a)

	for range 4 {
		require.Equal(t, 200, r.draft().status)
	}

	// One for requests, and one for credits where both were under way at once.
	require.LessOrEqual(t, opened.Load(), int64(2))
}
