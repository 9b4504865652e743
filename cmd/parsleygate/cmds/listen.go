package cmds

import (
	"context"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// listenOn opens a TCP listener on an address from the settings or a flag.
func listenOn(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig

	l, err := lc.Listen(ctx, "tcp", address.String())

	return l, eris.Wrapf(err, "listen on %s", address)
}

// listenDatagrams opens a UDP socket on an address from the settings.
func listenDatagrams(ctx context.Context, address netip.AddrPort) (net.PacketConn, error) {
	var lc net.ListenConfig

	c, err := lc.ListenPacket(ctx, "udp", address.String())

	return c, eris.Wrapf(err, "listen for UDP datagrams on %s", address)
}
