package loadreport

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/priority"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// GroupReport is what an entry reports about a group to the agent beside its rank 0.
type GroupReport struct {
	Agent  netip.AddrPort
	Group  string
	Counts priority.Counts
	// Entries is the number of entries.
	Entries int
	// Pressed is set while requests wait or are refused. The report is sent more often then.
	Pressed bool
}

const (
	// sumsInterval is the interval at which an agent publishes sums that hold refusals. Others
	// restrict no level, and are published with the load.
	sumsInterval = 200 * time.Millisecond
	// maxGroupSubscribers limits the entries that one agent sends the sums to. All entries of a
	// deployment need them.
	maxGroupSubscribers = 512
)

// InvalidLevelError means that counts hold a level that does not exist, or one level twice.
type InvalidLevelError struct{ Level uint32 }

func (e *InvalidLevelError) Error() string {
	return fmt.Sprintf("load report: level %d does not exist, or is there twice", e.Level)
}

// ForeignGroupError means that an agent reports the sums of another group than expected.
type ForeignGroupError struct{ Group, Expected string }

func (e *ForeignGroupError) Error() string {
	return fmt.Sprintf("load report: sums of group %q, expected %q", e.Group, e.Expected)
}

func levelsToWire(c *priority.Counts) []*wire.LevelCount {
	var out []*wire.LevelCount

	for i, n := range c {
		if n != (priority.Count{}) {
			out = append(out, &wire.LevelCount{Level: uint32(i), Demand: n.Demand, Placed: n.Placed, Refused: n.Refused})
		}
	}

	return out
}

func levelsFromWire(levels []*wire.LevelCount) (priority.Counts, error) {
	var (
		out  priority.Counts
		seen [priority.NumLevels]bool
	)

	for _, l := range levels {
		level := l.GetLevel()
		if level >= priority.NumLevels || seen[level%priority.NumLevels] {
			return priority.Counts{}, &InvalidLevelError{Level: level}
		}

		seen[level%priority.NumLevels] = true
		out[level%priority.NumLevels] = priority.Count{Demand: l.GetDemand(), Placed: l.GetPlaced(), Refused: l.GetRefused()}
	}

	return out, nil
}

// fitLevels returns levels without as many as needed for message, in which they are set by set, to
// fit in a datagram. The counts of two levels are merged, the least urgent ones first.
func fitLevels(message proto.Message, levels []*wire.LevelCount, set func([]*wire.LevelCount)) {
	for set(levels); proto.Size(message) > maxDatagramSize && len(levels) > 0; set(levels) {
		last := len(levels) - 1
		if last > 0 {
			a, b := levels[last-1], levels[last]
			levels[last-1] = &wire.LevelCount{
				Level:  b.GetLevel(),
				Demand: sum(a.GetDemand(), b.GetDemand()), Placed: sum(a.GetPlaced(), b.GetPlaced()), Refused: sum(a.GetRefused(), b.GetRefused()),
			}
		}

		levels = levels[:last]
	}
}

func sum(a, b uint32) uint32 { return uint32(min(uint64(a)+uint64(b), 1<<32-1)) }

// groupPublisher is the part of a Publisher that concerns the group whose rank 0 is its engine.
// Publisher.mu guards it.
type groupPublisher struct {
	group       string
	subscribers map[netip.AddrPort]time.Time
	sums        priority.Sums
	// invalid holds the entries whose last report was invalid, excluded those whose counts are left
	// out of the sums.
	invalid, excluded map[netip.AddrPort]bool
	// publishedAt is when the sums were published last. It is used only by Run.
	publishedAt time.Time
}

func (g *groupPublisher) setGroup(name string) {
	if g.group != name {
		g.group = name
		g.sums.Reset()
	}
}

func (p *Publisher) setGroup(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.group.setGroup(name)
}

// accept records the subscription of an entry, and its counts if they are of the group that this
// agent knows its engine to be rank 0 of.
func (g *groupPublisher) accept(now time.Time, from netip.AddrPort, request *wire.LoadAsk) error {
	if g.subscribers == nil {
		g.subscribers = make(map[netip.AddrPort]time.Time)
		g.invalid = make(map[netip.AddrPort]bool)
		g.excluded = make(map[netip.AddrPort]bool)
	}

	if _, subscribed := g.subscribers[from]; !subscribed && len(g.subscribers) >= maxGroupSubscribers {
		return nil
	}

	g.subscribers[from] = now.Add(subscriptionTTL)

	if request.GetGroup() != g.group {
		return nil
	}

	c, err := levelsFromWire(request.GetLevels())
	if err == nil {
		g.sums.Report(now, from, c, int(request.GetEntries()))
	}

	return err
}

// isNewFault records in faults whether an entry's report was faulty, and reports whether it became so.
func (*groupPublisher) isNewFault(faults map[netip.AddrPort]bool, from netip.AddrPort, faulty bool) bool {
	known := faults[from]

	// Senders of datagrams may claim any address.
	if len(faults) >= maxGroupSubscribers {
		clear(faults)
	}

	if faulty {
		faults[from] = true
	} else {
		delete(faults, from)
	}

	return faulty && !known
}

// acceptReport records a subscription with a report, and logs the first faulty one of an entry.
func (p *Publisher) acceptReport(now time.Time, from netip.AddrPort, request *wire.LoadAsk) {
	p.mu.Lock()
	err := p.group.accept(now, from, request)
	isNew := p.group.isNewFault(p.group.invalid, from, err != nil)
	p.mu.Unlock()

	if isNew {
		p.Logger.Warn("Invalid counts by level ignored.", "entry", from, "error", err)
	}
}

// groupWord returns the report for the entries that subscribed to the group, and those entries. It
// returns none if no report is due.
func (p *Publisher) groupWord(now time.Time, l Load, w *wire.LoadWord) (*wire.LoadWord, map[netip.AddrPort]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	g := &p.group
	g.setGroup(l.Group)

	subscribers := make(map[netip.AddrPort]time.Time, len(g.subscribers))

	for a, until := range g.subscribers {
		if now.After(until) {
			delete(g.subscribers, a)
			delete(g.invalid, a)
			delete(g.excluded, a)

			continue
		}

		subscribers[a] = until
	}

	sums := g.sums.At(now)

	interval := maxPublishInterval
	if sums.Counts.Total().Refused > 0 {
		interval = sumsInterval
	}

	// Half a check interval, because ticks are a little early or late.
	if len(subscribers) == 0 || now.Sub(g.publishedAt) < interval-checkInterval/2 {
		return nil, nil
	}

	g.publishedAt = now

	for from := range g.excluded {
		if !slices.Contains(sums.Excluded, from) {
			delete(g.excluded, from)
		}
	}

	for _, from := range sums.Excluded {
		if g.isNewFault(g.excluded, from, true) {
			p.Logger.Warn("Counts of an entry left out of the sums: they are many times those of the others.", "entry", from, "group", g.group)
		}
	}

	out := proto.CloneOf(w)
	out.Group = g.group
	fitLevels(out, levelsToWire(&sums.Counts), func(levels []*wire.LevelCount) { out.Levels = levels })

	return out, subscribers
}

// requestGroups reports to the agents beside rank 0 of the groups. A report is due sooner under
// pressure, and if the agent does not report.
func (s *Subscriber) requestGroups(now time.Time) {
	if s.Groups == nil {
		return
	}

	reports := s.Groups()
	requestedAt := make(map[netip.AddrPort]time.Time, len(reports))
	groups := make(map[netip.AddrPort]string, len(reports))

	for i := range reports {
		r := &reports[i]
		groups[r.Agent] = r.Group
		requestedAt[r.Agent] = s.groupRequestedAt[r.Agent]

		interval := subscribeInterval
		if r.Pressed || s.unresponsive(now, r.Agent) {
			interval = resubscribeInterval
		}

		// Half an interval, because ticks are a little early or late.
		if now.Sub(requestedAt[r.Agent]) < interval-resubscribeInterval/2 {
			continue
		}

		requestedAt[r.Agent] = now

		request := &wire.LoadAsk{Cluster: s.Cluster, Group: r.Group, Entries: uint32(max(0, r.Entries))}
		fitLevels(request, levelsToWire(&r.Counts), func(levels []*wire.LevelCount) { request.Levels = levels })

		if data, err := proto.Marshal(request); err == nil {
			_, _ = s.Conn.WriteTo(data, net.UDPAddrFromAddrPort(r.Agent))
		}
	}

	s.groupRequestedAt = requestedAt

	s.mu.Lock()
	s.groups = groups
	s.mu.Unlock()
}

// handleSums passes on the sums in a report. It logs the first invalid ones of an agent after valid
// ones.
func (s *Subscriber) handleSums(from netip.AddrPort, w *wire.LoadWord) {
	s.mu.Lock()
	expected, subscribed := s.groups[from]
	s.mu.Unlock()

	if !subscribed || w.GetGroup() == "" && len(w.GetLevels()) == 0 {
		return
	}

	err := s.passOnSums(from, expected, w)

	s.mu.Lock()
	known := s.invalidSums[from]
	s.invalidSums[from] = err != nil
	s.mu.Unlock()

	if err != nil && !known && s.Logger != nil {
		s.Logger.Warn("Invalid sums by level ignored; without valid ones, this entry decides alone.", "agent", from, "error", err)
	}
}

func (s *Subscriber) passOnSums(from netip.AddrPort, expected string, w *wire.LoadWord) error {
	if w.GetGroup() != expected {
		return &ForeignGroupError{Group: w.GetGroup(), Expected: expected}
	}

	c, err := levelsFromWire(w.GetLevels())
	if err != nil || len(w.GetLevels()) == 0 {
		return err
	}

	return s.OnSums(from, expected, c)
}
