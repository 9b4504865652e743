package agentclient

import (
	"context"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// QueryAttempt queries the agent at address for the outcome of an attempt. It dials a new
// connection each time, because the connection that carried the attempt may be dead
// although new ones work.
func (c *Client) QueryAttempt(ctx context.Context, address netip.AddrPort, req *wire.AskRequest) (*wire.AskResponse, error) {
	c.init()

	ctx, cancel := context.WithTimeout(ctx, c.ReadTimeout)
	defer cancel()

	client := wire.NewAgentProtobufClient("http://"+address.String(), c.unpooled)

	resp, err := client.Ask(ctx, req)

	return resp, eris.Wrap(err, "query attempt at agent")
}

// Grant requests a credit from the agent at address.
func (c *Client) Grant(ctx context.Context, address netip.AddrPort, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	c.init()

	ctx, cancel := context.WithTimeout(ctx, c.ReadTimeout)
	defer cancel()

	client := wire.NewAgentProtobufClient("http://"+address.String(), c.pooled)

	resp, err := client.Grant(ctx, req)

	return resp, eris.Wrap(err, "request credit from agent")
}
