package role

import (
	"context"
	"net/http"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/answers"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// followClients holds a follower's HTTP clients, one per control VM.
type followClients struct {
	clients sync.Map // *http.Client by address
}

// poll polls a control VM over its own connection. After a failure the connection is
// closed, as it may be unresponsive, and the next poll dials again.
func (c *followClients) poll(ctx context.Context, control netip.AddrPort, q *wire.FollowRequest) (*wire.FollowResponse, error) {
	stored, ok := c.clients.Load(control)
	if !ok {
		stored, _ = c.clients.LoadOrStore(control, newFollowClient())
	}

	client := stored.(*http.Client)

	out, err := wire.NewPublisherProtobufClient("http://"+control.String(), client).Follow(ctx, q)
	if err != nil {
		client.CloseIdleConnections()
	}

	return out, eris.Wrap(err, "poll control VM")
}

func newFollowClient() *http.Client {
	dialer := &identity.Dialer{Timeout: controlDialTimeout}

	return answers.NewClient(&http.Transport{
		DialContext: dialer.Dial, IdleConnTimeout: controlIdleTimeout, MaxIdleConnsPerHost: 1, DisableCompression: true,
	}, maxStateBytes)
}
