package control_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// fleet is a deployment in simulated time in which entries follow control VMs and targets
// announce themselves, without sockets.
type fleet struct {
	t *testing.T
	// mu guards controls, which tests may replace while polls are sent.
	mu       sync.RWMutex
	controls []*control.Server
	entries  []*fleetEntry
	targets  int
	// messages and bytes count the polls of all entries and their answers.
	messages, bytes atomic.Int64
	announcements   int
	// intercept, if set, replaces answer.
	intercept atomic.Pointer[pollFunc]
}

type pollFunc func(ctx context.Context, at netip.AddrPort, r *wire.FollowRequest) (*wire.FollowResponse, error)

// fleetEntry is an entry that can be stopped and started.
type fleetEntry struct {
	id       string
	follower *view.Follower
	leaving  atomic.Bool
	stop     func()

	mu       sync.Mutex
	evidence quarantine.Quarantine
	// usage is what the entry has counted for retry budgets, reports what it was told of the others.
	usage   map[string]retries.Usage
	reports map[netip.AddrPort]retries.Report
}

// fleetSize is the number of processes of each kind.
type fleetSize struct{ controls, entries, targets int }

// twice returns a deployment of twice the size. Control VMs serve twice as many entries each.
func (s fleetSize) twice() fleetSize {
	return fleetSize{controls: s.controls, entries: 2 * s.entries, targets: 2 * s.targets}
}

const (
	fleetAnnounceInterval = 3 * time.Second
	fleetLatency          = time.Millisecond
)

func newFleet(t *testing.T, size fleetSize) *fleet {
	t.Helper()

	f := &fleet{t: t, targets: size.targets}
	addresses := make([]string, size.controls)

	for i := range addresses {
		addresses[i] = f.controlAddress(i).String()
	}

	for i := range size.controls {
		s := newDocumentServer()
		s.VM, s.Zone = fmt.Sprint("c", i), fmt.Sprint("z", i%5)
		s.Zones = map[string]string{"z0": "r", "z1": "r", "z2": "r", "z3": "r", "z4": "r"}
		s.AnnounceInterval = fleetAnnounceInterval
		s.ControlAddresses = func() []string { return addresses }
		runDocumentServer(t, s)
		f.controls = append(f.controls, s)
	}

	for i := range size.entries {
		e := &fleetEntry{id: fmt.Sprint("entry-", i)}
		f.entries = append(f.entries, e)
		f.start(e)
	}

	t.Cleanup(func() {
		for _, e := range f.entries {
			e.stop()
		}
	})

	return f
}

func (f *fleet) controlAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}

func (f *fleet) start(e *fleetEntry) {
	e.follower = &view.Follower{
		Cluster: "trust", ID: e.id, Zone: "z0", Seeds: func() []netip.AddrPort { return []netip.AddrPort{f.controlAddress(0)} },
		Poll: f.poll, OnChange: func(*view.ClusterState) {}, Stopping: e.leaving.Load,
		Evidence: e.changedSince, OnEvidence: e.merge,
		RetryUsage: e.retryUsage, RetryWindow: fleetRetryWindow, OnRetryUsage: e.setRetryReport,
	}
	e.follower.Init()
	e.leaving.Store(false)

	ctx, stop := context.WithCancel(f.t.Context())

	var running sync.WaitGroup

	running.Go(func() { _ = e.follower.Run(ctx) })

	e.stop = func() {
		stop()
		running.Wait()
	}
}

func (f *fleet) poll(ctx context.Context, at netip.AddrPort, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	time.Sleep(fleetLatency)

	answer := f.answer
	if replaced := f.intercept.Load(); replaced != nil {
		answer = *replaced
	}

	out, err := answer(ctx, at, r)

	f.messages.Add(1)
	f.bytes.Add(int64(proto.Size(r) + proto.Size(out)))
	time.Sleep(fleetLatency)

	return out, err
}

// answer has a control VM answer a poll.
func (f *fleet) answer(ctx context.Context, at netip.AddrPort, r *wire.FollowRequest) (*wire.FollowResponse, error) {
	bytes := at.Addr().As4()

	f.mu.RLock()
	s := f.controls[int(bytes[2])<<8+int(bytes[3])]
	f.mu.RUnlock()

	return s.Follow(ctx, r)
}

// run lets time pass while the targets announce themselves at their intervals.
func (f *fleet) run(d time.Duration) {
	f.t.Helper()

	for end := time.Now().Add(d); time.Now().Before(end); f.announcements++ {
		time.Sleep(fleetAnnounceInterval / time.Duration(f.targets))

		i := f.announcements % f.targets
		require.NoError(f.t, f.controls[i%len(f.controls)].Announce(f.t.Context(), f.target(i)))
	}
}

func (f *fleet) target(i int) directory.Target {
	return directory.Target{
		ID: fmt.Sprint("target-", i), StartTime: 1, Sequence: uint64(f.announcements/f.targets + 1), Service: "assist", Zone: fmt.Sprint("z", i%5), Slots: 6,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80),
	}
}

// perEntry returns the messages and bytes per second of an entry while run is called.
func (f *fleet) perEntry(run func()) (messages, bytes float64) {
	f.messages.Store(0)
	f.bytes.Store(0)

	begin := time.Now()

	run()

	n := time.Since(begin).Seconds() * float64(len(f.entries))

	return float64(f.messages.Load()) / n, float64(f.bytes.Load()) / n
}

// settled is the time after which all processes of a new fleet know each other.
const settled = 9 * time.Second

// measureFleet returns what change costs an entry, in messages and bytes per second. change
// is called once per announcement interval; nil changes nothing.
func measureFleet(t *testing.T, size fleetSize, change func(f *fleet, interval int)) (messages, bytes float64) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, size)
		f.run(settled)

		messages, bytes = f.perEntry(func() {
			for interval := range 4 {
				if change != nil {
					change(f, interval)
				}

				f.run(fleetAnnounceInterval)
			}
		})

		for _, e := range f.entries {
			require.Len(t, e.follower.State().Roster, size.entries, e.id)
			require.Len(t, e.follower.State().Targets, size.targets, e.id)
		}

		t.Logf("%+v: %.1f messages/s, %.0f bytes/s per entry", size, messages, bytes)
	})

	return messages, bytes
}

var smallFleet = fleetSize{controls: 6, entries: 30, targets: 200}

// Guards against control VMs that wake every entry for each target that announces itself
// without a change: an entry then received messages in proportion to the targets.
func TestQuietFleetCostsAnEntryTheSameAtTwiceTheSize(t *testing.T) {
	t.Parallel()

	messages, bytes := measureFleet(t, smallFleet, nil)
	messagesAtTwice, bytesAtTwice := measureFleet(t, smallFleet.twice(), nil)

	require.LessOrEqual(t, messagesAtTwice, 1.1*messages)
	require.LessOrEqual(t, bytesAtTwice, 1.2*bytes)
}

// Guards against polls that grow with the number of control VMs: an entry that asked each of
// 97 of them every 0.6 s sent 160 polls a second.
func TestPollsOfAnEntryDoNotGrowWithControlVMs(t *testing.T) {
	t.Parallel()

	messages, _ := measureFleet(t, smallFleet, nil)
	messagesAtTwice, _ := measureFleet(t, fleetSize{controls: 2 * smallFleet.controls, entries: smallFleet.entries, targets: smallFleet.targets}, nil)

	require.LessOrEqual(t, messagesAtTwice, 1.1*messages)
}

// Guards against control VMs that send the whole roster to each entry when one entry leaves
// or joins: planned stops of a tenth of the entries then cost bytes in proportion to the
// square of the entries.
func TestEntriesThatRestartCostWhatChanged(t *testing.T) {
	t.Parallel()

	restartTenth := func(f *fleet, interval int) {
		tenth := len(f.entries) / 10
		for _, e := range f.entries[interval*tenth:][:tenth] {
			e.leaving.Store(true)
			f.run(fleetAnnounceInterval / 10)
			e.stop()
			f.start(e)
		}
	}
	// With few targets, most of what entries receive is about each other.
	size := fleetSize{controls: 6, entries: 30, targets: 10}
	_, quiet := measureFleet(t, size, nil)
	_, bytes := measureFleet(t, size, restartTenth)
	_, quietAtTwice := measureFleet(t, size.twice(), nil)
	_, bytesAtTwice := measureFleet(t, size.twice(), restartTenth)

	require.LessOrEqual(t, bytesAtTwice-quietAtTwice, 2.2*(bytes-quiet))
}
