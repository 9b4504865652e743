package control_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// benchCluster is three control VMs that serve HTTP on loopback, with a state of the size
// that parsleygate is designed for, and readers in this process. Bytes are counted on the
// connections of the readers, headers included.
type benchCluster struct {
	b        *testing.B
	vms      *controlVMs
	controls []netip.AddrPort
	client   *http.Client
	bytes    atomic.Int64
	// fullPolls makes each reader request the full state at each change, as the baseline.
	fullPolls bool

	mu          sync.Mutex
	partitioned map[int]bool
	running     sync.WaitGroup
	cancel      context.CancelFunc
	number      uint64
	views       []*view.Reader
}

const benchWorkspaces = 13000

func newBenchCluster(b *testing.B, readers int, fullPolls bool) *benchCluster {
	b.Helper()

	w := &benchCluster{b: b, vms: newControlVMs(b, 3), fullPolls: fullPolls, partitioned: map[int]bool{}}
	w.addWorkspaces()

	for _, s := range w.vms.servers {
		mux := http.NewServeMux()
		mux.Handle(wire.ControlPathPrefix, wire.NewControlServer(s))

		server := httptest.NewServer(mux)
		b.Cleanup(server.Close)

		w.controls = append(w.controls, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	}

	dialer := &net.Dialer{}
	w.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: readers,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			return &countedConn{Conn: conn, bytes: &w.bytes}, err
		},
	}}

	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel

	for i := range readers {
		w.start(ctx, i)
	}

	b.Cleanup(func() {
		w.cancel()
		w.running.Wait()
		w.client.CloseIdleConnections()
	})
	require.Eventually(b, func() bool { return w.readersBehind() == 0 }, time.Minute, 50*time.Millisecond)
	w.waitUntilStable()

	return w
}

// stableTime is how long the version must stay unchanged before a measurement starts.
const stableTime = 4 * time.Second

// waitUntilStable waits until all readers hold the same version of the complete directory.
func (w *benchCluster) waitUntilStable() {
	begin := time.Now()

	for since, version := begin, uint64(0); time.Since(since) < stableTime; time.Sleep(50 * time.Millisecond) {
		require.Less(w.b, time.Since(begin), time.Minute)

		for _, r := range w.views {
			if s := r.Snapshot(); s.Version != version || len(s.Nodes()) != len(w.views) {
				since, version = time.Now(), max(version, s.Version)
			}
		}
	}

	w.b.Logf("settled %v after the start", time.Since(begin)-stableTime)
}

// addWorkspaces adds benchWorkspaces workspaces to the state.
func (w *benchCluster) addWorkspaces() {
	var text strings.Builder

	text.WriteString(declareZones)

	for i := range benchWorkspaces {
		fmt.Fprintf(&text, "[Workspace \"workspace-%d\"]\nWeight = 3\n", i)
	}

	w.decide(text.String())
}

func (w *benchCluster) decide(declaration string) uint64 {
	w.number++
	return w.vms.decide(w.b, 0, w.number, declaration).GetVersion()
}

// toggleZone takes a zone out of use, or back into use.
func (w *benchCluster) toggleZone() { w.decide([]string{zoneIn, zoneOut}[w.number%2]) }

type countedConn struct {
	net.Conn

	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))

	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))

	return n, err
}

func (w *benchCluster) start(ctx context.Context, i int) {
	node := agentNode(fmt.Sprintf("agent-%d", i), []string{"ayutthaya", "saraburi"}[i%2], 1)
	node.Address = "10.0.0.1:8610"
	r := &view.Reader{
		Cluster: cluster, Controls: w.controls,
		Self: func() *wire.Node { return node },
		Poll: func(ctx context.Context, at netip.AddrPort, r *wire.PollRequest) (*wire.PollResponse, error) {
			return w.poll(ctx, i, at, r)
		},
	}
	r.Init()
	w.views = append(w.views, r)

	w.running.Go(func() { _ = r.Run(ctx) })
}

func (w *benchCluster) poll(ctx context.Context, i int, at netip.AddrPort, r *wire.PollRequest) (*wire.PollResponse, error) {
	if w.isPartitioned(i) {
		<-ctx.Done()
		return nil, ctx.Err()
	}

	client := wire.NewControlProtobufClient("http://"+at.String(), w.client)

	answer, err := client.Poll(ctx, r)
	if w.isPartitioned(i) {
		<-ctx.Done()
		return nil, ctx.Err()
	}

	if w.fullPolls && err == nil && len(answer.GetChanged()) > 0 {
		r = proto.CloneOf(r)
		r.KnownVersion = 0

		return client.Poll(ctx, r)
	}

	return answer, err
}

func (w *benchCluster) isPartitioned(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.partitioned[i]
}

// readersBehind returns how many readers lack the last decision, partitioned ones excluded.
func (w *benchCluster) readersBehind() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	n := 0

	for i, r := range w.views {
		if !w.partitioned[i] && r.Snapshot().Version < w.vms.lastDecidedVersion(w.b) {
			n++
		}
	}

	return n
}

// lastDecidedVersion returns the version of the last decision.
func (v *controlVMs) lastDecidedVersion(b *testing.B) uint64 {
	history, err := v.servers[0].History(context.Background(), &wire.HistoryRequest{Limit: 1})
	require.NoError(b, err)

	return history.GetEntries()[0].GetVersion()
}

func cpuTime() time.Duration {
	var usage syscall.Rusage

	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkInForce measures the time from the confirmation of a decision until its status
// is in force, and until all readers that are not partitioned hold it.
func BenchmarkInForce(b *testing.B) {
	const readers = 1010

	for _, partitioned := range []int{0, 50} {
		b.Run(fmt.Sprintf("readers=%d/silent=%d", readers, partitioned), func(b *testing.B) {
			w := newBenchCluster(b, readers, false)

			var delivered, inForce time.Duration

			for b.Loop() {
				d, f := w.measureInForce(partitioned)
				delivered, inForce = delivered+d, inForce+f
			}

			b.ReportMetric(delivered.Seconds()*1000/float64(b.N), "ms-to-last-reader/op")
			b.ReportMetric(inForce.Seconds()*1000/float64(b.N), "ms-to-in-force/op")
		})
	}
}

func (w *benchCluster) measureInForce(partitioned int) (delivered, inForce time.Duration) {
	w.partition(partitioned)

	begin := time.Now()
	w.toggleZone()

	for w.readersBehind() > 0 {
		time.Sleep(2 * time.Millisecond)
	}

	delivered = time.Since(begin)

	for !w.vms.status(w.b, 1, w.number).GetInForce() {
		time.Sleep(20 * time.Millisecond)
	}

	inForce = time.Since(begin)

	w.partition(0)
	time.Sleep(3 * time.Second)

	return delivered, inForce
}

func (w *benchCluster) partition(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for i := range w.views {
		w.partitioned[i] = i < n
	}
}

const (
	idleTime     = 10 * time.Second
	benchChanges = 30
)

// BenchmarkReaders measures the traffic and CPU time of readers and control VMs together,
// per reader, both idle (per second) and per change. The baseline is readers that request
// the full state at each change.
func BenchmarkReaders(b *testing.B) {
	for _, readers := range []int{250, 1010} {
		for _, full := range []bool{false, true} {
			if full && readers > 250 {
				continue
			}

			b.Run(fmt.Sprintf("readers=%d/full=%t", readers, full), func(b *testing.B) {
				w := newBenchCluster(b, readers, full)
				for b.Loop() {
					w.measureCosts(readers)
				}
			})
		}
	}
}

func (w *benchCluster) measureCosts(readers int) {
	perReader := func(v float64) float64 { return v / float64(readers) }

	bytes, used := w.bytes.Load(), cpuTime()

	time.Sleep(idleTime)

	idleBytes := float64(w.bytes.Load()-bytes) / idleTime.Seconds()
	idleCPU := (cpuTime() - used).Seconds() / idleTime.Seconds()

	bytes, used = w.bytes.Load(), cpuTime()
	begin := time.Now()

	changes := benchChanges
	if w.fullPolls {
		changes = benchChanges / 10
	}

	for range changes {
		w.toggleZone()

		for w.readersBehind() > 0 {
			time.Sleep(10 * time.Millisecond)
		}

		time.Sleep(200 * time.Millisecond)
	}

	took := time.Since(begin).Seconds()
	changeBytes := (float64(w.bytes.Load()-bytes) - idleBytes*took) / float64(changes)
	changeCPU := ((cpuTime() - used).Seconds() - idleCPU*took) / float64(changes)

	w.b.ReportMetric(perReader(idleBytes), "idle-B/s/reader")
	w.b.ReportMetric(perReader(idleCPU)*1e6, "idle-cpu-µs/s/reader")
	w.b.ReportMetric(perReader(changeBytes), "B/change/reader")
	w.b.ReportMetric(perReader(changeCPU)*1e6, "cpu-µs/change/reader")
}

// BenchmarkFirstAnswer measures the full answer that a process gets when it starts.
func BenchmarkFirstAnswer(b *testing.B) {
	w := newBenchCluster(b, 1010, false)

	var size int

	for b.Loop() {
		answer, err := w.vms.servers[0].Poll(context.Background(), &wire.PollRequest{Cluster: cluster, Node: entryNode("agent-0", 1)})
		require.NoError(b, err)

		data, err := proto.Marshal(answer)
		require.NoError(b, err)

		size = len(data)
	}

	b.ReportMetric(float64(size), "B")
}
