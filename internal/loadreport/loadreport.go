// Package loadreport sends the load of engines from the agents beside them to entries. An
// agent observes the load of its engine at no cost and without delay. An entry observes
// only its own requests, and those of other entries only if an answer happens to report the
// load. Reports are sent as UDP datagrams; a lost one is replaced by the next, about 100 ms
// later.
package loadreport

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/priority"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	// subscribeInterval is the interval at which an entry renews its subscription to an agent,
	// subscriptionTTL how long a subscription is valid.
	subscribeInterval = 2 * time.Second
	subscriptionTTL   = 5 * time.Second
	// resubscribeInterval is the interval at which an entry sends a subscription to an
	// agent that has sent no report for unresponsiveAfter.
	resubscribeInterval = 250 * time.Millisecond
	unresponsiveAfter   = time.Second
	// checkInterval is the interval at which an agent reads the load. It publishes the
	// load if it has changed, and at least every maxPublishInterval.
	checkInterval      = 100 * time.Millisecond
	maxPublishInterval = 500 * time.Millisecond
	// maxDatagramSize is the maximum size of a datagram in bytes.
	maxDatagramSize = 512
)

// MaxSubscribers limits the entries to which one agent reports.
const MaxSubscribers = 64

// Load is the number of requests that an engine runs, the number that wait at it, and the
// ratio of its step time to its baseline.
type Load struct {
	Running  int
	Waiting  int
	Slowdown float64
	// Stalled is set while the engine has requests and its group begins no step, Broken while
	// the group cannot run steps.
	Stalled, Broken bool
	// Skew is the skew of the expert map that the engine's group uses for its demand now, 0 if it
	// is not known. Only the agent that directs the group knows it.
	Skew float64
	// Group is the group whose rank 0 the engine is, empty for other ranks.
	Group string
}

// Publisher reports the load of the engine on this VM to the subscribed entries. Its
// exported fields must be set before Run.
type Publisher struct {
	Cluster string
	Conn    net.PacketConn
	Load    func(ctx context.Context) (Load, error)
	// Changed, if set, receives a value when the load is to be published at once.
	Changed <-chan struct{}
	Logger  *slog.Logger

	mu          sync.Mutex
	subscribers map[netip.AddrPort]time.Time
	group       groupPublisher
}

// Run publishes the load until ctx is canceled.
func (p *Publisher) Run(ctx context.Context) error {
	p.subscribers = make(map[netip.AddrPort]time.Time)

	defer func() { _ = p.Conn.Close() }()

	// Reports are accepted only of the engine's own group. A restarted agent must know it before the
	// first one, or the sums come back an interval later.
	if l, err := p.Load(ctx); err == nil {
		p.setGroup(l.Group)
	}

	go p.acceptSubscriptions()

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
		case <-p.Changed:
		}

		now := time.Now()

		subscribers, subscribed := p.activeSubscribers(now)
		if !subscribed {
			continue
		}

		l, err := p.Load(ctx)
		if err != nil {
			continue
		}

		seq++
		word := &wire.LoadWord{
			Cluster: p.Cluster, Sequence: seq, Running: uint32(l.Running), Waiting: uint32(l.Waiting), Pace: l.Slowdown,
			Stalled: l.Stalled, Broken: l.Broken, Skew: l.Skew,
		}

		groupWord, groupSubscribers := p.groupWord(now, l, word)
		p.publish(slices.Collect(maps.Keys(groupSubscribers)), groupWord)

		if l == last && now.Sub(publishedAt) < maxPublishInterval {
			continue
		}

		last, publishedAt = l, now
		// One report is enough for an entry that has subscribed to both.
		p.publish(slices.DeleteFunc(subscribers, func(a netip.AddrPort) bool { return !groupSubscribers[a].IsZero() }), word)
	}
}

func (p *Publisher) publish(subscribers []netip.AddrPort, w *wire.LoadWord) {
	if len(subscribers) == 0 {
		return
	}

	data, err := proto.Marshal(w)
	if err != nil {
		p.Logger.Error("Load report not sent: encoding failed.", "error", err)

		return
	}

	for _, a := range subscribers {
		// A lost datagram is replaced by the next one, so errors are ignored.
		_, _ = p.Conn.WriteTo(data, net.UDPAddrFromAddrPort(a))
	}
}

// activeSubscribers returns the subscribers to the load, and whether there are any, including those
// to the sums of the group.
func (p *Publisher) activeSubscribers(now time.Time) (active []netip.AddrPort, subscribed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for a, until := range p.subscribers {
		if now.After(until) {
			delete(p.subscribers, a)

			continue
		}

		active = append(active, a)
	}

	return active, len(active)+len(p.group.subscribers) > 0
}

// acceptSubscriptions records subscriptions until the connection is closed.
func (p *Publisher) acceptSubscriptions() {
	receive(p.Conn, func(from netip.AddrPort, data []byte) {
		var request wire.LoadAsk
		if proto.Unmarshal(data, &request) != nil || request.GetCluster() != p.Cluster {
			return
		}

		if request.GetGroup() != "" {
			p.acceptReport(time.Now(), from, &request)

			return
		}

		p.mu.Lock()
		defer p.mu.Unlock()

		if _, subscribed := p.subscribers[from]; subscribed || len(p.subscribers) < MaxSubscribers {
			p.subscribers[from] = time.Now().Add(subscriptionTTL)
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

// Subscriber subscribes to the load reports of agents. Its exported fields must be set
// before Run.
type Subscriber struct {
	Cluster string
	Conn    net.PacketConn
	// Agents returns the addresses of the agents beside engines.
	Agents func() []netip.AddrPort
	// OnLoad is called with each valid load report and the address of its agent.
	OnLoad func(agent netip.AddrPort, l Load)
	// Groups, if set, returns what is reported about groups, and OnSums is called with the sums
	// over all entries that the agent beside rank 0 of a group returns. It returns an error if they
	// are invalid.
	Groups func() []GroupReport
	OnSums func(agent netip.AddrPort, group string, c priority.Counts) error
	// Logger, if set, receives a line for each agent that begins to send invalid reports.
	Logger *slog.Logger

	mu   sync.Mutex
	last map[netip.AddrPort]receivedReport
	// invalid holds the agents whose last report was invalid.
	invalid map[netip.AddrPort]bool
	// requestedAt is when the last subscription was sent to each agent. It is used only by
	// Run.
	requestedAt map[netip.AddrPort]time.Time
	// groups holds the group of each agent that was sent a report, and invalidSums the agents whose
	// last sums were invalid. groupRequestedAt is used only by Run.
	groups           map[netip.AddrPort]string
	invalidSums      map[netip.AddrPort]bool
	groupRequestedAt map[netip.AddrPort]time.Time
}

// receivedReport identifies the last report of an agent.
type receivedReport struct {
	sequence uint64
	at       time.Time
}

// Run subscribes to all agents and handles their reports until ctx is canceled.
func (s *Subscriber) Run(ctx context.Context) error {
	s.last = make(map[netip.AddrPort]receivedReport)
	s.invalid = make(map[netip.AddrPort]bool)
	s.invalidSums = make(map[netip.AddrPort]bool)
	s.requestedAt = make(map[netip.AddrPort]time.Time)

	request, err := proto.Marshal(&wire.LoadAsk{Cluster: s.Cluster})
	if err != nil {
		return eris.Wrap(err, "encode load subscription")
	}

	go receive(s.Conn, s.handleReport)

	defer func() { _ = s.Conn.Close() }()

	tick := time.NewTicker(resubscribeInterval)
	defer tick.Stop()

	for {
		s.request(time.Now(), request)
		s.requestGroups(time.Now())

		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// request sends a subscription to the agents whose subscription is due. It is due sooner
// for agents that do not report: they may have restarted and lost their subscribers.
func (s *Subscriber) request(now time.Time, request []byte) {
	agents := s.Agents()
	requestedAt := make(map[netip.AddrPort]time.Time, len(agents))

	for _, a := range agents {
		requestedAt[a] = s.requestedAt[a]

		interval := subscribeInterval
		if s.unresponsive(now, a) {
			interval = resubscribeInterval
		}

		if now.Sub(s.requestedAt[a]) < interval {
			continue
		}

		requestedAt[a] = now

		_, _ = s.Conn.WriteTo(request, net.UDPAddrFromAddrPort(a))
	}

	s.requestedAt = requestedAt
}

func (s *Subscriber) unresponsive(now time.Time, agent netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return now.Sub(s.last[agent].at) >= unresponsiveAfter
}

// maxReordering is the largest difference by which a sequence number may fall behind due to
// reordered datagrams. A larger difference means that the agent has restarted on a VM whose
// clock was set back.
const maxReordering = 1000

func (s *Subscriber) handleReport(from netip.AddrPort, data []byte) {
	var w wire.LoadWord
	if proto.Unmarshal(data, &w) != nil || w.GetCluster() != s.Cluster {
		return
	}

	if !s.isNew(from, w.GetSequence()) {
		return
	}

	l := Load{
		Running: int(w.GetRunning()), Waiting: int(w.GetWaiting()), Slowdown: w.GetPace(), Stalled: w.GetStalled(), Broken: w.GetBroken(),
		Skew: w.GetSkew(),
	}

	err, skewErr := l.check(), l.checkSkew()
	s.recordValidity(from, cmp.Or(err, skewErr))

	if skewErr != nil {
		l.Skew = 0
	}

	if err == nil {
		s.OnLoad(from, l)
	}

	s.handleSums(from, &w)
}

// recordValidity logs the first invalid report of an agent after valid ones.
func (s *Subscriber) recordValidity(agent netip.AddrPort, err error) {
	s.mu.Lock()
	known := s.invalid[agent]

	if err == nil {
		delete(s.invalid, agent)
	} else {
		s.invalid[agent] = true
	}

	s.mu.Unlock()

	if err != nil && !known && s.Logger != nil {
		s.Logger.Warn("Invalid load report ignored; the last valid one counts until it is too old.", "agent", agent, "error", err)
	}
}

// isNew records a report and reports whether it is newer than the last one.
func (s *Subscriber) isNew(from netip.AddrPort, sequence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if last := s.last[from].sequence; sequence <= last && last-sequence < maxReordering {
		return false
	}

	s.last[from] = receivedReport{sequence: sequence, at: time.Now()}

	return true
}
