package loadreport_test

import (
	"bytes"
	"context"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/loadreport"
	"github.com/parsleygate/parsleygate/internal/priority"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// network delivers datagrams between packet connections in memory, for use with a fake clock.
type network struct {
	mu    sync.Mutex
	conns map[netip.AddrPort]*memoryConn
	// drop, if set, reports whether the nth datagram from one address to another is lost. Senders run
	// in any order, so that a count of all datagrams could hit the same entry each time.
	drop    func(n int) bool
	between map[[2]netip.AddrPort]int
	// sent and bytes count the datagrams by sender.
	sent, bytes map[netip.AddrPort]int
	total       int
	largest     int
}

type memoryConn struct {
	net.PacketConn

	network *network
	address netip.AddrPort
	in      chan datagram
	closed  chan struct{}
}

type datagram struct {
	from netip.AddrPort
	data []byte
}

func newNetwork() *network {
	return &network{conns: map[netip.AddrPort]*memoryConn{}, sent: map[netip.AddrPort]int{}, bytes: map[netip.AddrPort]int{}, between: map[[2]netip.AddrPort]int{}}
}

func (n *network) listen(address netip.AddrPort) *memoryConn {
	c := &memoryConn{network: n, address: address, in: make(chan datagram, 1000), closed: make(chan struct{})}

	n.mu.Lock()
	defer n.mu.Unlock()

	n.conns[address] = c

	return c
}

func (c *memoryConn) WriteTo(b []byte, to net.Addr) (int, error) {
	n := c.network

	n.mu.Lock()
	defer n.mu.Unlock()

	n.total++
	n.sent[c.address]++
	n.bytes[c.address] += len(b)
	n.largest = max(n.largest, len(b))

	pair := [2]netip.AddrPort{c.address, to.(*net.UDPAddr).AddrPort()}
	n.between[pair]++

	if peer := n.conns[pair[1]]; peer != nil && (n.drop == nil || !n.drop(n.between[pair])) {
		peer.in <- datagram{from: c.address, data: bytes.Clone(b)}
	}

	return len(b), nil
}

func (c *memoryConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-c.in:
		return copy(b, d.data), net.UDPAddrFromAddrPort(d.from), nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *memoryConn) Close() error {
	close(c.closed)

	return nil
}

var agentAddress = netip.MustParseAddrPort("10.0.0.1:7341") //nolint:gochecknoglobals // constant

// levelEntry is an entry that reports counts by level.
type levelEntry struct {
	report loadreport.GroupReport
	mu     sync.Mutex
	sums   []priority.Counts
	log    bytes.Buffer
}

func (e *levelEntry) last() priority.Counts {
	e.mu.Lock()
	defer e.mu.Unlock()

	if len(e.sums) == 0 {
		return priority.Counts{}
	}

	return e.sums[len(e.sums)-1]
}

func (e *levelEntry) setReport(r loadreport.GroupReport) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.report = r
}

func (e *levelEntry) reports() []loadreport.GroupReport {
	e.mu.Lock()
	defer e.mu.Unlock()

	return []loadreport.GroupReport{e.report}
}

func (e *levelEntry) received() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return len(e.sums)
}

// fleet is an agent beside rank 0 and entries that report to it.
type fleet struct {
	*network

	entries []*levelEntry
	ctx     context.Context
}

// startAgent runs the agent until the returned function is called.
func (f *fleet) startAgent(group string) (stop func()) {
	ctx, stop := context.WithCancel(f.ctx)
	p := &loadreport.Publisher{
		Cluster: "trust", Conn: f.listen(agentAddress), Logger: slog.New(slog.DiscardHandler),
		Load: func(context.Context) (loadreport.Load, error) { return loadreport.Load{Running: 3, Group: group}, nil },
	}

	go func() { _ = p.Run(ctx) }()

	return stop
}

func (f *fleet) startEntries(n int, report loadreport.GroupReport) {
	for i := range n {
		e := &levelEntry{report: report}
		e.report.Agent, e.report.Entries = agentAddress, n
		f.entries = append(f.entries, e)

		s := &loadreport.Subscriber{
			Cluster: "trust", Conn: f.listen(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7341)),
			Agents: func() []netip.AddrPort { return nil }, OnLoad: func(netip.AddrPort, loadreport.Load) {},
			Groups: e.reports,
			OnSums: func(_ netip.AddrPort, _ string, c priority.Counts) error {
				e.mu.Lock()
				defer e.mu.Unlock()

				e.sums = append(e.sums, c)

				return nil
			},
			Logger: slog.New(slog.NewTextHandler(&e.log, nil)),
		}

		go func() { _ = s.Run(f.ctx) }()
	}
}

// elapse lets the fake time pass, and waits for what happens at its end.
func elapse(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// withFleet runs test with a fake clock.
func withFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		test(t, &fleet{network: newNetwork(), ctx: ctx})
		stop()
		synctest.Wait()
	})
}

func pressedReport() loadreport.GroupReport {
	return loadreport.GroupReport{Group: "g", Counts: priority.Counts{0: {Demand: 5, Placed: 4, Refused: 1}, 6: {Demand: 3, Placed: 1}}, Pressed: true}
}

// Guards against entries that decide from different sums, or from those of a part of the entries,
// and against sums that stay when the entries stop reporting.
func TestEveryEntryReceivesTheSums(t *testing.T) {
	t.Parallel()
	withFleet(t, func(t *testing.T, f *fleet) {
		f.startAgent("g")
		f.startEntries(14, pressedReport())
		elapse(time.Second)

		for _, e := range f.entries {
			require.Equal(t, priority.Counts{0: {Demand: 70, Placed: 56, Refused: 14}, 6: {Demand: 42, Placed: 14}}, e.last())
		}

		for _, e := range f.entries {
			e.setReport(loadreport.GroupReport{Group: "g", Agent: agentAddress, Entries: 14})
		}

		elapse(5 * time.Second)

		before := f.entries[0].received()

		elapse(10 * time.Second)
		require.Equal(t, before, f.entries[0].received())
	})
}

// Guards against sums that are missing for longer than their validity when one datagram in five is
// lost.
func TestSumsSurviveLostDatagrams(t *testing.T) {
	t.Parallel()
	withFleet(t, func(t *testing.T, f *fleet) {
		f.drop = func(n int) bool { return n%5 == 0 }
		f.startAgent("g")
		f.startEntries(13, pressedReport())
		elapse(time.Second)

		for range 20 {
			before := f.entries[3].received()

			elapse(time.Second)
			require.Greater(t, f.entries[3].received(), before)
			require.GreaterOrEqual(t, f.entries[3].last()[0].Demand, uint32(5*12))
		}
	})
}

// Guards against entries that decide alone for long after the agent beside rank 0 has restarted, and
// against sums of the reports from before.
func TestSumsComeBackAfterTheAgentRestarts(t *testing.T) {
	t.Parallel()
	withFleet(t, func(t *testing.T, f *fleet) {
		stop := f.startAgent("g")
		f.startEntries(14, pressedReport())
		elapse(3 * time.Second)
		stop()
		elapse(3 * time.Second)

		before := f.entries[0].received()

		f.startAgent("g")
		elapse(priority.CountWindow + 300*time.Millisecond)
		require.Greater(t, f.entries[0].received(), before)
		require.Equal(t, uint32(70), f.entries[0].last()[0].Demand)
	})
}

// Guards against an admission level computed from the sums of another group or from malformed ones:
// they are ignored and logged once.
func TestForeignAndMalformedSumsAreIgnored(t *testing.T) {
	t.Parallel()

	t.Run("AnotherGroup", func(t *testing.T) {
		t.Parallel()
		withFleet(t, func(t *testing.T, f *fleet) {
			f.startAgent("other")
			f.startEntries(2, pressedReport())
			elapse(5 * time.Second)
			require.Zero(t, f.entries[0].received())
			require.Equal(t, 1, strings.Count(f.entries[0].log.String(), "Invalid sums"))
		})
	})

	for name, levels := range map[string][]*wire.LevelCount{
		"UnknownLevel": {{Level: priority.NumLevels, Demand: 1}},
		"LevelTwice":   {{Level: 1, Demand: 1}, {Level: 1, Demand: 2}},
		"HugeLevel":    {{Level: math.MaxUint32, Demand: math.MaxUint32}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withFleet(t, func(t *testing.T, f *fleet) {
				agent := f.listen(agentAddress)
				f.startEntries(1, pressedReport())

				for sequence := range 10 {
					elapse(200 * time.Millisecond)

					data, err := proto.Marshal(&wire.LoadWord{Cluster: "trust", Sequence: uint64(sequence + 1), Pace: 1, Group: "g", Levels: levels})
					require.NoError(t, err)

					_, _ = agent.WriteTo(data, net.UDPAddrFromAddrPort(netip.MustParseAddrPort("10.1.0.0:7341")))
				}

				synctest.Wait()
				require.Zero(t, f.entries[0].received())
				require.Equal(t, 1, strings.Count(f.entries[0].log.String(), "Invalid sums"))
			})
		})
	}
}

// Guards against sums that go back to an earlier state when datagrams overtake each other.
func TestOvertakenSumsAreIgnored(t *testing.T) {
	t.Parallel()
	withFleet(t, func(t *testing.T, f *fleet) {
		agent := f.listen(agentAddress)
		f.startEntries(1, pressedReport())
		synctest.Wait()

		for _, sequence := range []uint64{1, 3, 2} {
			data, err := proto.Marshal(&wire.LoadWord{Cluster: "trust", Sequence: sequence, Pace: 1, Group: "g", Levels: []*wire.LevelCount{{Demand: uint32(sequence)}}})
			require.NoError(t, err)

			_, _ = agent.WriteTo(data, net.UDPAddrFromAddrPort(netip.MustParseAddrPort("10.1.0.0:7341")))
		}

		synctest.Wait()
		require.Equal(t, uint32(3), f.entries[0].last()[0].Demand)
	})
}

// Guards against a malformed report that enters the sums. The others still count.
func TestMalformedReportsStayOutOfTheSums(t *testing.T) {
	t.Parallel()
	withFleet(t, func(t *testing.T, f *fleet) {
		f.startAgent("g")
		f.startEntries(3, pressedReport())

		faulty := f.listen(netip.MustParseAddrPort("10.2.0.0:7341"))

		for range 8 {
			elapse(250 * time.Millisecond)

			data, err := proto.Marshal(&wire.LoadAsk{Cluster: "trust", Group: "g", Levels: []*wire.LevelCount{{Level: 99, Demand: 1 << 30}}})
			require.NoError(t, err)

			_, _ = faulty.WriteTo(data, net.UDPAddrFromAddrPort(agentAddress))
		}

		require.Equal(t, uint32(15), f.entries[0].last()[0].Demand)
	})
}

// Guards against datagrams that are too long for their receiver, which would lose the load report
// with the sums.
func TestCountsOfAllLevelsFitInADatagram(t *testing.T) {
	t.Parallel()
	withFleet(t, func(t *testing.T, f *fleet) {
		r := pressedReport()
		r.Group = strings.Repeat("g", 150)

		for l := range r.Counts {
			r.Counts[l] = priority.Count{Demand: math.MaxUint32, Placed: math.MaxUint32, Refused: math.MaxUint32}
		}

		f.startAgent(r.Group)
		f.startEntries(3, r)
		elapse(time.Second)
		require.LessOrEqual(t, f.largest, 512)
		require.Equal(t, r.Counts[0], f.entries[0].last()[0])
		require.NotZero(t, f.entries[0].last()[priority.NumLevels-1].Demand, "the least urgent levels are merged, not left out")
	})
}

// Guards against datagrams for services that are not prioritized, which have no group to report.
func TestNothingIsReportedWithoutGroups(t *testing.T) {
	t.Parallel()
	withFleet(t, func(t *testing.T, f *fleet) {
		f.startAgent("g")

		s := &loadreport.Subscriber{
			Cluster: "trust", Conn: f.listen(netip.MustParseAddrPort("10.1.0.0:7341")),
			Agents: func() []netip.AddrPort { return nil }, Groups: func() []loadreport.GroupReport { return nil },
		}

		go func() { _ = s.Run(f.ctx) }()

		elapse(10 * time.Second)
		require.Zero(t, f.total)
	})
}

// Guards against traffic that grows faster than the number of entries: each sends four reports and
// receives five sums a second under pressure, and nothing but its subscription and two reports of
// the load a second otherwise.
func TestDatagramsGrowWithTheNumberOfEntries(t *testing.T) {
	t.Parallel()

	for _, n := range []int{14, 28, 289} {
		for _, pressed := range []bool{true, false} {
			withFleet(t, func(t *testing.T, f *fleet) {
				r := pressedReport()
				if r.Pressed = pressed; !pressed {
					r.Counts[0] = priority.Count{Demand: 5, Placed: 5}
				}

				f.startAgent("g")
				f.startEntries(n, r)
				elapse(10 * time.Second)

				sent, size := f.sent[agentAddress], f.bytes[agentAddress]
				asks, asksSize := f.total-sent, 0

				for a, b := range f.bytes {
					if a != agentAddress {
						asksSize += b
					}
				}

				t.Logf("%d entries, pressed %t: reports %.2f/s and %.0f B/s an entry; sums %.2f/s and %.0f B/s an entry, %.1f KB/s in all", n, pressed,
					float64(asks)/float64(10*n), float64(asksSize)/float64(10*n), float64(sent)/float64(10*n), float64(size)/float64(10*n), float64(size+asksSize)/10_000)

				if pressed {
					require.LessOrEqual(t, asks, 41*n)
					require.LessOrEqual(t, sent, 50*n)
				} else {
					require.LessOrEqual(t, asks, 7*n)
					require.LessOrEqual(t, sent, 21*n)
				}
			})
		}
	}
}
