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

// listenDatagrams opens the UDP socket at an address of the settings.
func listenDatagrams(ctx context.Context, address netip.AddrPort) (net.PacketConn, error) {
	var lc net.ListenConfig

	c, err := lc.ListenPacket(ctx, "udp", address.String())

	return c, eris.Wrapf(err, "listen for datagrams on %s", address)
}
