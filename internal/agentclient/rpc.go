package agentclient

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Ask asks the agent at address what became of an attempt. It dials a new
// connection each time, because the one that carried the attempt may be silent
// for good while new ones work.
func (c *Client) Ask(ctx context.Context, address netip.AddrPort, req *wire.AskRequest) (*wire.AskResponse, error) {
	c.init()

	ctx, cancel := context.WithTimeout(ctx, c.ReadTimeout)
	defer cancel()

	client := wire.NewAgentProtobufClient("http://"+address.String(), &http.Client{Transport: c.unpooled})

	resp, err := client.Ask(ctx, req)

	return resp, eris.Wrap(err, "ask agent")
}

// Grant asks the agent at address for a credit.
func (c *Client) Grant(ctx context.Context, address netip.AddrPort, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	c.init()

	ctx, cancel := context.WithTimeout(ctx, c.ReadTimeout)
	defer cancel()

	client := wire.NewAgentProtobufClient("http://"+address.String(), &http.Client{Transport: c.transport})

	resp, err := client.Grant(ctx, req)

	return resp, eris.Wrap(err, "ask for credit")
}
