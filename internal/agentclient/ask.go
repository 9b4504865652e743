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
func (l *Client) Ask(ctx context.Context, address netip.AddrPort, q *wire.AskRequest) (*wire.AskResponse, error) {
	l.init()

	ctx, cancel := context.WithTimeout(ctx, l.ReadTimeout)
	defer cancel()

	client := wire.NewAgentProtobufClient("http://"+address.String(), &http.Client{Transport: l.fresh})

	r, err := client.Ask(ctx, q)

	return r, eris.Wrap(err, "ask agent")
}

// Grant asks the agent at address for a credit.
func (l *Client) Grant(ctx context.Context, address netip.AddrPort, q *wire.GrantRequest) (*wire.GrantResponse, error) {
	l.init()

	ctx, cancel := context.WithTimeout(ctx, l.ReadTimeout)
	defer cancel()

	client := wire.NewAgentProtobufClient("http://"+address.String(), &http.Client{Transport: l.transport})

	r, err := client.Grant(ctx, q)

	return r, eris.Wrap(err, "ask for credit")
}
