package role

import (
	"context"
	"io"
	"net/netip"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/agent"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/loopback"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// calls are the calls that the processes send each other, by name.
func calls() map[string]func(context.Context, netip.AddrPort) error {
	control := NewControlClient(nil, nil)
	follow := &followClients{}
	director := (&Control{Logs: logs.Output{Writer: io.Discard}}).newDirector()
	rank := (&Agent{agent: &agent.Agent{}, Logs: logs.Output{Writer: io.Discard}}).newRank(&wire.Node{})
	peers := newFollowClient()

	return map[string]func(context.Context, netip.AddrPort) error{
		"Poll": func(ctx context.Context, to netip.AddrPort) error {
			_, err := control.Poll(ctx, to, &wire.PollRequest{})

			return err
		},
		"Ends": func(ctx context.Context, to netip.AddrPort) error {
			_, err := control.Ends(ctx, to, &wire.EndsRequest{})

			return err
		},
		"Claim": func(ctx context.Context, to netip.AddrPort) error {
			c := NewControlClient([]netip.AddrPort{to}, nil)
			_, err := c.Claim(ctx, &wire.ClaimRequest{})

			return err
		},
		"Settle": func(ctx context.Context, to netip.AddrPort) error {
			c := NewControlClient([]netip.AddrPort{to}, nil)
			_, err := c.Settle(ctx, &wire.SettleRequest{})

			return err
		},
		"Members.Change": func(ctx context.Context, to netip.AddrPort) error {
			_, err := wire.NewMembersProtobufClient("http://"+to.String(), control.client).Change(ctx, &wire.MemberChange{})

			return err
		},
		"Follow": func(ctx context.Context, to netip.AddrPort) error {
			_, err := follow.poll(ctx, to, &wire.FollowRequest{})

			return err
		},
		"Rank.Order": func(ctx context.Context, to netip.AddrPort) error {
			_, err := director.SendOrder(ctx, to, &wire.RankOrder{})

			return err
		},
		"Rank.Report": func(ctx context.Context, to netip.AddrPort) error {
			_, err := director.FetchReport(ctx, to, &wire.RankQuestion{})

			return err
		},
		"Rank.Ask": func(ctx context.Context, to netip.AddrPort) error {
			_, err := rank.QueryPeer(ctx, to, &wire.RankQuestion{})

			return err
		},
		"RankPeer.Look": func(ctx context.Context, to netip.AddrPort) error {
			_, err := wire.NewRankPeerProtobufClient("http://"+to.String(), peers).Look(ctx, &wire.LookRequest{})

			return err
		},
	}
}

// Guards against a service at the address of a process whose answer has no end, and that the caller keeps whole until it has no memory.
func TestAnswersWithoutAnEndToCallsAreBounded(t *testing.T) { //nolint:paralleltest // measures the heap of the process
	const (
		maxSent = 300 << 20
		maxHeap = 256 << 20 // the default of MemoryMB
	)

	// As a process sets it.
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(maxHeap / 4 * 3))

	more := strings.Repeat("x", 1<<20)

	for name, call := range calls() {
		for kind, answer := range map[string][2]string{
			"body": {"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n", more}, "failure": {"HTTP/1.1 500 Oops\r\n\r\n", more},
			"chunks": {"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nTransfer-Encoding: chunked\r\n\r\n", "100000\r\n" + more + "\r\n"},
			"length": {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", more},
			"field":  {"HTTP/1.1 200 OK\r\nA: ", more}, "fields": {"HTTP/1.1 200 OK\r\n", "A: " + more[:1<<10] + "\r\n"}, "no answer": {"", more},
			"informational": {"", strings.Repeat("HTTP/1.1 102 \r\n\r\n", 1<<10)},
		} {
			s := &loopback.Endless{Head: answer[0], More: answer[1], MaxSent: maxSent, Sent: make(chan int, 10)}
			to, err := s.Run()
			require.NoError(t, err)

			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			heap := highestHeap(func() { require.Error(t, call(ctx, to), "%s, %s", name, kind) })

			cancel()
			s.Close()
			require.Less(t, <-s.Sent, 64<<20, "%s, %s", name, kind)
			require.Less(t, heap, uint64(maxHeap), "%s, %s", name, kind)
		}
	}
}

// highestHeap returns the largest heap while f runs.
func highestHeap(f func()) uint64 {
	var highest uint64

	runtime.GC()

	stop, stopped := make(chan struct{}), make(chan struct{})

	go func() {
		defer close(stopped)

		for {
			var m runtime.MemStats

			runtime.ReadMemStats(&m)

			highest = max(highest, m.HeapAlloc)

			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()

	f()
	close(stop)
	<-stopped

	return highest
}
