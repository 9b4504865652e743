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
	// askEvery is how often an entry asks, askLife how long an ask holds.
	askEvery = 2 * time.Second
	askLife  = 5 * time.Second
	// askSilentEvery is how often an entry asks an agent of which it has heard nothing
	// for silentAfter.
	askSilentEvery = 250 * time.Millisecond
	silentAfter    = time.Second
	// tellEvery is how often load is looked at; it is told where it changed, and at
	// least each tellAtLeast.
	tellEvery   = 100 * time.Millisecond
	tellAtLeast = 500 * time.Millisecond
	// mostAskers bounds the entries that one agent tells.
	mostAskers = 64
	// datagram bounds a datagram (bytes).
	datagram = 512
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

	mu     sync.Mutex
	askers map[netip.AddrPort]time.Time
}

// Run tells until ctx ends.
func (t *Publisher) Run(ctx context.Context) error {
	t.askers = make(map[netip.AddrPort]time.Time)

	go t.hear()

	defer func() { _ = t.Conn.Close() }()

	tick := time.NewTicker(tellEvery)
	defer tick.Stop()

	var (
		last Load
		told time.Time
		seq  = uint64(time.Now().UnixMicro())
	)

	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}

		now := time.Now()

		askers := t.current(now)
		if len(askers) == 0 {
			continue
		}

		l, err := t.Load(ctx)
		if err != nil || l == last && now.Sub(told) < tellAtLeast {
			continue
		}

		last, told = l, now
		seq++
		t.tell(askers, &wire.LoadWord{Cluster: t.Cluster, Sequence: seq, Running: uint32(l.Running), Waiting: uint32(l.Waiting), Pace: l.Slowdown})
	}
}

func (t *Publisher) tell(askers []netip.AddrPort, w *wire.LoadWord) {
	data, err := proto.Marshal(w)
	if err != nil {
		t.Logger.Error("Load not told.", "error", err)

		return
	}

	for _, a := range askers {
		// A datagram that is lost here or on its way is made good by the next.
		_, _ = t.Conn.WriteTo(data, net.UDPAddrFromAddrPort(a))
	}
}

func (t *Publisher) current(now time.Time) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()

	out := make([]netip.AddrPort, 0, len(t.askers))

	for a, until := range t.askers {
		if now.After(until) {
			delete(t.askers, a)

			continue
		}

		out = append(out, a)
	}

	return out
}

// hear takes in asks until the connection is closed.
func (t *Publisher) hear() {
	receive(t.Conn, func(from netip.AddrPort, data []byte) {
		var ask wire.LoadAsk
		if proto.Unmarshal(data, &ask) != nil || ask.GetCluster() != t.Cluster {
			return
		}

		t.mu.Lock()
		defer t.mu.Unlock()

		if _, known := t.askers[from]; known || len(t.askers) < mostAskers {
			t.askers[from] = time.Now().Add(askLife)
		}
	})
}

func receive(conn net.PacketConn, take func(netip.AddrPort, []byte)) {
	buf := make([]byte, datagram)

	for {
		n, from, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}

		if udp, ok := from.(*net.UDPAddr); ok {
			a := udp.AddrPort()
			take(netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), buf[:n])
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
	last map[netip.AddrPort]heard
	// asked is when each agent was asked last; only Run uses it.
	asked map[netip.AddrPort]time.Time
}

// heard is the last word of an agent.
type heard struct {
	sequence uint64
	at       time.Time
}

// Run asks and listens until ctx ends.
func (l *Subscriber) Run(ctx context.Context) error {
	l.last = make(map[netip.AddrPort]heard)
	l.asked = make(map[netip.AddrPort]time.Time)

	ask, err := proto.Marshal(&wire.LoadAsk{Cluster: l.Cluster})
	if err != nil {
		return eris.Wrap(err, "ask for loads")
	}

	go receive(l.Conn, l.take)

	defer func() { _ = l.Conn.Close() }()

	tick := time.NewTicker(askSilentEvery)
	defer tick.Stop()

	for {
		l.ask(time.Now(), ask)

		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// ask asks the agents whose turn it is, sooner those that are silent: they may have
// started anew, and forgotten who asked.
func (l *Subscriber) ask(now time.Time, ask []byte) {
	agents := l.Agents()
	asked := make(map[netip.AddrPort]time.Time, len(agents))

	for _, a := range agents {
		asked[a] = l.asked[a]

		every := askEvery
		if l.silent(now, a) {
			every = askSilentEvery
		}

		if now.Sub(l.asked[a]) < every {
			continue
		}

		asked[a] = now

		_, _ = l.Conn.WriteTo(ask, net.UDPAddrFromAddrPort(a))
	}

	l.asked = asked
}

func (l *Subscriber) silent(now time.Time, agent netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return now.Sub(l.last[agent].at) >= silentAfter
}

// restarted is how far a sequence falls back where the agent has started anew on a
// VM whose clock was set back, and not merely been overtaken.
const restarted = 1000

func (l *Subscriber) take(from netip.AddrPort, data []byte) {
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

	if last := l.last[from].sequence; sequence <= last && last-sequence < restarted {
		return false
	}

	l.last[from] = heard{sequence: sequence, at: time.Now()}

	return true
}
