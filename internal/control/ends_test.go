package control_test

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// endPeer is an entry that follows the configuration with a Reader, and exchanges ends of targets.
type endPeer struct {
	mu       sync.Mutex
	evidence quarantine.Quarantine
	exchange *view.EndExchange
	calls    int
}

// endServers are the control VMs by address.
type endServers struct {
	mu     sync.Mutex
	byAddr map[netip.AddrPort]*control.Server
}

func (s *endServers) get(a netip.AddrPort) *control.Server {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.byAddr[a]
}

func (s *endServers) set(a netip.AddrPort, server *control.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.byAddr[a] = server
}

// startEndPeer starts one that reaches the servers for which reaches returns true.
func startEndPeer(ctx context.Context, id string, servers *endServers, reaches func(netip.AddrPort) bool) *endPeer {
	p := &endPeer{}
	p.exchange = &view.EndExchange{
		Cluster: "trust", ID: id, Logger: slog.New(slog.DiscardHandler),
		Controls: func() (out []netip.AddrPort) {
			servers.mu.Lock()
			defer servers.mu.Unlock()

			for a := range servers.byAddr {
				out = append(out, a)
			}

			return out
		},
		Call: func(ctx context.Context, to netip.AddrPort, r *wire.EndsRequest) (*wire.EndsResponse, error) {
			p.mu.Lock()
			p.calls++
			p.mu.Unlock()

			if !reaches(to) {
				<-ctx.Done()

				return nil, ctx.Err()
			}

			return servers.get(to).Ends(ctx, r)
		},
		Evidence: func(since uint64) ([]quarantine.End, uint64) {
			p.mu.Lock()
			defer p.mu.Unlock()

			return p.evidence.ChangedSince(since)
		},
		OnEvidence: func(ends []quarantine.End) {
			p.mu.Lock()
			defer p.mu.Unlock()

			p.evidence.Merge(time.Now(), ends)
		},
	}

	go func() { _ = p.exchange.Run(ctx) }()

	return p
}

// end records the end of a target under a request.
func (p *endPeer) end(target string) {
	p.mu.Lock()
	now := time.Now()
	p.evidence.Record(now, quarantine.End{Target: target, StartTime: 1, At: now, Candidates: []quarantine.Candidate{
		{Part: 7, Depth: quarantine.ContentDepth, SentAt: now.Add(-100 * time.Millisecond)},
	}})
	p.mu.Unlock()
	p.exchange.Notify()
}

func (p *endPeer) holds() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.evidence.Held(time.Now())) > 0
}

func (p *endPeer) callCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.calls
}

// Guards against ends that entries with agents learn late or never: one reaches no control VM that another one
// reaches, a control VM starts again and knows nothing, and all are quiet in between.
func TestEntriesWithAgentsExchangeEnds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		a, b, c := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
		first, _ := startDocumentServer(t)
		second, _ := startDocumentServer(t)
		third, _ := startDocumentServer(t)
		servers := &endServers{byAddr: map[netip.AddrPort]*control.Server{a: first, b: second, c: third}}

		all := []*endPeer{
			startEndPeer(ctx, "e1", servers, func(to netip.AddrPort) bool { return to == a }),
			startEndPeer(ctx, "e2", servers, func(netip.AddrPort) bool { return true }),
			startEndPeer(ctx, "e3", servers, func(to netip.AddrPort) bool { return to == c }),
		}

		time.Sleep(7 * time.Second)

		for i, p := range all {
			p.end(string(rune('x' + i)))
			time.Sleep(500 * time.Millisecond)
		}

		time.Sleep(5*time.Second + 500*time.Millisecond)

		for i, p := range all {
			require.True(t, p.holds(), "entry %d", i)
		}

		restarted, _ := startDocumentServer(t)
		servers.set(a, restarted)

		time.Sleep(8 * time.Second)

		late := startEndPeer(ctx, "late", servers, func(to netip.AddrPort) bool { return to == a })

		time.Sleep(time.Second)
		require.True(t, late.holds())

		// Nothing is said while nothing happens.
		calls := all[1].callCount()

		time.Sleep(time.Minute)
		require.LessOrEqual(t, all[1].callCount()-calls, 3*30, "one in two seconds to each control VM")

		cancel()
		synctest.Wait()
	})
}
