package cmds

import (
	"context"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// listenOn opens the listener that the settings or a flag name.
func listenOn(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig

	l, err := lc.Listen(ctx, "tcp", address.String())

	return l, eris.Wrapf(err, "listen on %s", address)
}
