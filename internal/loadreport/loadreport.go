// Package loadreport tells entries how loaded engines are. The agent beside an engine
// sees its load fresh and for free; an entry sees its own requests only, and those
// of the other entries where an answer happens to tell. Datagrams do: a lost one is
// made good by the next, a tenth of a second later.
package loadreport

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	// subscribeInterval is how often an entry asks, askLife how long an ask holds.
	subscribeInterval = 2 * time.Second
	subscriptionTTL   = 5 * time.Second
	// resubscribeInterval is how often an entry asks an agent of which it has heard nothing
	// for silentAfter.
	resubscribeInterval = 250 * time.Millisecond
	unresponsiveAfter   = time.Second
	// checkInterval is how often load is looked at; it is told where it changed, and at
	// least each tellAtLeast.
	checkInterval      = 100 * time.Millisecond
	maxPublishInterval = 500 * time.Millisecond
	// maxSubscribers bounds the entries that one agent tells.
	maxSubscribers = 64
	// maxDatagramSize bounds a datagram (bytes).
	maxDatagramSize = 512
)

// Load is how many requests an engine runs, how many wait at it, and how many times
// longer than usual it takes for them.
type Load struct {
	Running  int
	Waiting  int
	Slowdown float64
}

// Publisher tells entries the load of the engine on this VM. Set its fields before Run.
type Publisher struct {
	Cluster string
	Conn    net.PacketConn
	Load    func(ctx context.Context) (Load, error)
	Logger  *slog.Logger

	mu          sync.Mutex
	subscribers map[netip.AddrPort]time.Time
}

// Run tells until ctx ends.
func (t *Publisher) Run(ctx context.Context) error {
	t.subscribers = make(map[netip.AddrPort]time.Time)

	go t.acceptSubscriptions()

	defer func() { _ = t.Conn.Close() }()

	tick := time.NewTicker(checkInterval)
	defer tick.Stop()

	var (
		last        Load
		publishedAt time.Time
		seq         = uint64(time.Now().UnixMicro())
	)

	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}

		now := time.Now()

		subscribers := t.activeSubscribers(now)
		if len(subscribers) == 0 {
			continue
		}

		l, err := t.Load(ctx)
		if err != nil || l == last && now.Sub(publishedAt) < maxPublishInterval {
			continue
		}

		last, publishedAt = l, now
		seq++
		t.publish(subscribers, &wire.LoadWord{Cluster: t.Cluster, Sequence: seq, Running: uint32(l.Running), Waiting: uint32(l.Waiting), Pace: l.Slowdown})
	}
}

func (t *Publisher) publish(subscribers []netip.AddrPort, w *wire.LoadWord) {
	data, err := proto.Marshal(w)
	if err != nil {
		t.Logger.Error("Load not told.", "error", err)

		return
	}

	for _, a := range subscribers {
		// A datagram that is lost here or on its way is made good by the next.
		_, _ = t.Conn.WriteTo(data, net.UDPAddrFromAddrPort(a))
	}
}

func (t *Publisher) activeSubscribers(now time.Time) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()

	out := make([]netip.AddrPort, 0, len(t.subscribers))

	for a, until := range t.subscribers {
		if now.After(until) {
			delete(t.subscribers, a)

			continue
		}

		out = append(out, a)
	}

	return out
}

// acceptSubscriptions takes in asks until the connection is closed.
func (t *Publisher) acceptSubscriptions() {
	receive(t.Conn, func(from netip.AddrPort, data []byte) {
		var request wire.LoadAsk
		if proto.Unmarshal(data, &request) != nil || request.GetCluster() != t.Cluster {
			return
		}

		t.mu.Lock()
		defer t.mu.Unlock()

		if _, subscribed := t.subscribers[from]; subscribed || len(t.subscribers) < maxSubscribers {
			t.subscribers[from] = time.Now().Add(subscriptionTTL)
		}
	})
}

func receive(conn net.PacketConn, handle func(netip.AddrPort, []byte)) {
	buf := make([]byte, maxDatagramSize)

	for {
		n, from, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}

		if udp, ok := from.(*net.UDPAddr); ok {
			a := udp.AddrPort()
			handle(netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), buf[:n])
		}
	}
}

// Subscriber asks agents for loads. Set its fields before Run.
type Subscriber struct {
	Cluster string
	Conn    net.PacketConn
	// Agents returns where the agents beside engines listen.
	Agents func() []netip.AddrPort
	// OnLoad is called with each load, by the agent's address.
	OnLoad func(agent netip.AddrPort, l Load)

	mu   sync.Mutex
	last map[netip.AddrPort]receivedReport
	// requestedAt is when each agent was asked last; only Run uses it.
	requestedAt map[netip.AddrPort]time.Time
}

// receivedReport is the last word of an agent.
type receivedReport struct {
	sequence uint64
	at       time.Time
}

// Run asks and listens until ctx ends.
func (l *Subscriber) Run(ctx context.Context) error {
	l.last = make(map[netip.AddrPort]receivedReport)
	l.requestedAt = make(map[netip.AddrPort]time.Time)

	request, err := proto.Marshal(&wire.LoadAsk{Cluster: l.Cluster})
	if err != nil {
		return eris.Wrap(err, "ask for loads")
	}

	go receive(l.Conn, l.handleReport)

	defer func() { _ = l.Conn.Close() }()

	tick := time.NewTicker(resubscribeInterval)
	defer tick.Stop()

	for {
		l.request(time.Now(), request)

		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// request asks the agents whose turn it is, sooner those that are silent: they may have
// started anew, and forgotten who asked.
func (l *Subscriber) request(now time.Time, request []byte) {
	agents := l.Agents()
	requestedAt := make(map[netip.AddrPort]time.Time, len(agents))

	for _, a := range agents {
		requestedAt[a] = l.requestedAt[a]

		interval := subscribeInterval
		if l.unresponsive(now, a) {
			interval = resubscribeInterval
		}

		if now.Sub(l.requestedAt[a]) < interval {
			continue
		}

		requestedAt[a] = now

		_, _ = l.Conn.WriteTo(request, net.UDPAddrFromAddrPort(a))
	}

	l.requestedAt = requestedAt
}

func (l *Subscriber) unresponsive(now time.Time, agent netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return now.Sub(l.last[agent].at) >= unresponsiveAfter
}

// maxReordering is how far a sequence falls back where the agent has started anew on a
// VM whose clock was set back, and not merely been overtaken.
const maxReordering = 1000

func (l *Subscriber) handleReport(from netip.AddrPort, data []byte) {
	var w wire.LoadWord
	if proto.Unmarshal(data, &w) != nil || w.GetCluster() != l.Cluster {
		return
	}

	if !l.isNew(from, w.GetSequence()) {
		return
	}

	l.OnLoad(from, Load{Running: int(w.GetRunning()), Waiting: int(w.GetWaiting()), Slowdown: w.GetPace()})
}

// isNew notes a word, and reports whether it is later than the last one.
func (l *Subscriber) isNew(from netip.AddrPort, sequence uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	if last := l.last[from].sequence; sequence <= last && last-sequence < maxReordering {
		return false
	}

	l.last[from] = receivedReport{sequence: sequence, at: time.Now()}

	return true
}
