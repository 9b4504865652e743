// Package role assembles the parts of each process: entry, agent and control VM.
// Subcommands and the local mode run the same roles.
package role

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/answers"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	// controlDialTimeout bounds a dial to a control VM.
	controlDialTimeout = 500 * time.Millisecond
	// controlRequestTimeout bounds one attempt of a claim at one control VM, and how
	// long a server of the system's own processes waits for request headers.
	controlRequestTimeout = 1200 * time.Millisecond
	// controlIdleTimeout bounds how long an idle connection to a control VM is kept.
	controlIdleTimeout = 15 * time.Second
	// maxStateBytes bounds the answers that one client reads at the same time, in bytes, where they may hold
	// the whole state or configuration.
	maxStateBytes = 24 << 20
	// maxCallBytes bounds them where they hold the state of a rank, or what a control VM tells another one.
	maxCallBytes = 16 << 20
)

// ControlClient is the client of an entry or agent for the control VMs.
type ControlClient struct {
	// Addresses are the control VMs in the settings.
	Addresses []netip.AddrPort

	client       *http.Client
	lastAnswered atomic.Uint32
	// discovered holds all known addresses: those in the settings, and those in the
	// directory.
	discovered atomic.Pointer[[]netip.AddrPort]
}

// Discover adds the control VMs of the directory to those of the settings, and returns
// all addresses. A VM that replaced another one is thus found without a change of
// settings. An address whose VM no longer exists costs an occasional failed attempt.
func (c *ControlClient) Discover(s *view.Snapshot) []netip.AddrPort {
	all := slices.Clone(c.Addresses)

	for _, n := range s.Nodes() {
		if n.GetKind() != wire.NodeKind_NodeControl {
			continue
		}

		if a, err := netip.ParseAddrPort(n.GetAddress()); err == nil && !slices.Contains(all, a) {
			all = append(all, a)
		}
	}

	c.discovered.Store(&all)

	return all
}

// allAddresses returns the control VMs of the settings and the directory.
func (c *ControlClient) allAddresses() []netip.AddrPort {
	if discovered := c.discovered.Load(); discovered != nil {
		return *discovered
	}

	return c.Addresses
}

// NewControlClient returns a client for the control VMs at addresses. Without an
// identity it uses plaintext.
func NewControlClient(addresses []netip.AddrPort, id *identity.Identity) *ControlClient {
	dialer := &identity.Dialer{Identity: id, Timeout: controlDialTimeout}

	return &ControlClient{
		Addresses: addresses,
		client: answers.NewClient(&http.Transport{
			DialContext: dialer.Dial, IdleConnTimeout: controlIdleTimeout,
			MaxIdleConnsPerHost: 4, DisableCompression: true,
		}, maxStateBytes),
	}
}

// Close closes all idle connections.
func (c *ControlClient) Close() { c.client.CloseIdleConnections() }

func (c *ControlClient) rpcClient(address netip.AddrPort) wire.Control {
	return wire.NewControlProtobufClient("http://"+address.String(), c.client)
}

// Poll sends one poll to one control VM. If the poll fails, its connection may be
// unresponsive, and other connections to the same VM with it, so all idle connections
// are closed.
func (c *ControlClient) Poll(ctx context.Context, address netip.AddrPort, r *wire.PollRequest) (*wire.PollResponse, error) {
	resp, err := c.rpcClient(address).Poll(ctx, r)
	if err != nil {
		c.client.CloseIdleConnections()
	}

	return resp, eris.Wrap(err, "poll control VM")
}

// Ends exchanges ends of targets with one control VM.
func (c *ControlClient) Ends(ctx context.Context, address netip.AddrPort, r *wire.EndsRequest) (*wire.EndsResponse, error) {
	resp, err := c.rpcClient(address).Ends(ctx, r)

	return resp, eris.Wrap(err, "exchange ends of targets")
}

// Claim claims a key at any control VM. If an answer is lost, the claim is repeated at
// the next control VM, which grants the same attempt again.
func (c *ControlClient) Claim(ctx context.Context, r *wire.ClaimRequest) (resp *wire.ClaimResponse, err error) {
	err = c.tryEach(ctx, func(ctx context.Context, control wire.Control) error {
		resp, err = control.Claim(ctx, r)

		return err
	})

	return resp, err
}

// Settle settles a claim at any control VM.
func (c *ControlClient) Settle(ctx context.Context, r *wire.SettleRequest) (resp *wire.SettleResponse, err error) {
	err = c.tryEach(ctx, func(ctx context.Context, control wire.Control) error {
		resp, err = control.Settle(ctx, r)

		return err
	})

	return resp, err
}

// tryEach calls one control VM after the other until one succeeds, starting with the
// one that answered last.
func (c *ControlClient) tryEach(ctx context.Context, call func(context.Context, wire.Control) error) error {
	all := c.allAddresses()
	first := int(c.lastAnswered.Load())

	var err error

	for i := range all {
		n := (first + i) % len(all)

		attemptCtx, cancel := context.WithTimeout(ctx, controlRequestTimeout)
		err = call(attemptCtx, c.rpcClient(all[n]))

		cancel()

		if err == nil {
			c.lastAnswered.Store(uint32(n))

			return nil
		}

		c.client.CloseIdleConnections()
	}

	return eris.Wrap(err, "no control VM answered")
}
