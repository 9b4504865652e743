package role

import (
	"context"
	"net/http"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// followClients are the connections of a follower, one client a control VM.
type followClients struct {
	clients sync.Map // of *http.Client, by address
}

// poll asks a control VM over a connection of its own. One that went silent is
// given up with its question, and the next one dials anew.
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

	return out, eris.Wrap(err, "follow control VM")
}

func newFollowClient() *http.Client {
	dialer := &identity.Dialer{Timeout: controlDialTimeout}

	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.Dial, IdleConnTimeout: controlIdleTimeout, MaxIdleConnsPerHost: 1, DisableCompression: true,
	}}
}
