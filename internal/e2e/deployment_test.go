package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/entry"
	"github.com/parsleygate/parsleygate/internal/load"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/role"
	"github.com/parsleygate/parsleygate/internal/testserver"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	cluster     = "proof"
	service     = "desk"
	waitTimeout = 20 * time.Second
	// endingPath is the path of a request under which booking services end.
	endingPath = "/v1/bookings/ending"
)

var zones = []string{"a", "b", "c"}

// process is one run of an entry or agent. A restart makes a new process.
type process struct {
	listener *blackholeListener
	stop     context.CancelFunc
	done     chan error
	dump     *dump.Dump
}

// deployment is a deployment of three zones, each with a control VM, an entry, an agent
// and a booking service, which are connected by TCP.
type deployment struct {
	t                *testing.T
	logs             logs.Output
	controls         []*role.Control
	controlListeners []*blackholeListener
	controlAddresses []netip.AddrPort
	entries          [3]*process
	agents           [3]*process
	bookings         [3]*testserver.BookingService

	// loadRuns counts the runs of awaitAnswers. It is the seed of each, so that their
	// bookings differ.
	loadRuns uint64

	mu       sync.Mutex
	versions map[*dump.Dump]uint64
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()

	d := &deployment{t: t, logs: logs.Output{Writer: t.Output()}, versions: make(map[*dump.Dump]uint64)}
	d.startControls()
	d.decide(d.controls[0], "first", 1, declaration())

	for i := range zones {
		d.startBookingService(i)
		d.startEntry(i, reserveAddress(d.t))
	}

	d.awaitAnswers()

	return d
}

// awaitAnswers sends bookings until some of them are answered.
func (d *deployment) awaitAnswers() {
	d.t.Helper()

	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		d.loadRuns++

		if d.runLoad(50, 100*time.Millisecond, d.loadRuns).Count("Answered") > 1 {
			return
		}
	}

	require.Fail(d.t, "no bookings were answered within waitTimeout")
}

func declaration() string {
	d := fmt.Sprintf("[Service %q]\nIdempotentCalls = GET /v1/bookings/*\n[ColdLimit %q]\nCold = 8\nWarm = 32\n", service, service)
	for _, z := range zones {
		d += fmt.Sprintf("[Zone %q]\nRegion = r\n", z)
	}

	return d
}

// run runs f in a goroutine. It returns a function that cancels f's context and a channel
// that receives f's error.
func (d *deployment) run(f func(ctx context.Context) error) (context.CancelFunc, chan error) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- f(ctx) }()

	return stop, done
}

func (d *deployment) startControls() {
	var members []quorum.Member

	for i := range zones {
		l := listenBlackhole(d.t, "127.0.0.1:0")
		address := netip.MustParseAddrPort(l.Addr().String())
		d.controlListeners = append(d.controlListeners, l)
		d.controlAddresses = append(d.controlAddresses, address)
		members = append(members, quorum.Member{ID: fmt.Sprintf("control-%d", i), Addr: address})
	}

	dir := d.t.TempDir()

	for i, m := range members {
		c := &role.Control{
			VM: m.ID, Cluster: cluster, Zone: zones[i], Incarnation: role.IncarnationAt(time.Now()), Listener: d.controlListeners[i],
			Dir: filepath.Join(dir, m.ID), Founders: members, Peers: slices.Delete(slices.Clone(members), i, i+1),
			Logs: d.logs, Dump: &dump.Dump{Role: "control", ID: m.ID},
		}
		c.Build()
		d.controls = append(d.controls, c)

		stop, done := d.run(c.Run)
		d.t.Cleanup(func() {
			stop()
			<-done
		})
	}
}

func (d *deployment) startBookingService(i int) {
	d.bookings[i] = &testserver.BookingService{}
	listener := listenBlackhole(d.t, "127.0.0.1:0")

	var server *http.Server

	server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == endingPath {
			_ = server.Close()

			panic(http.ErrAbortHandler)
		}

		d.bookings[i].Handler().ServeHTTP(w, r)
	})}

	go func() { _ = server.Serve(listener) }()

	d.t.Cleanup(func() { _ = server.Close() })
	d.startAgent(i, reserveAddress(d.t))

	none := uint32(0)
	announcer := &testserver.Announcer{
		Agent: netip.MustParseAddrPort(d.agents[i].listener.Addr().String()), Interval: 200 * time.Millisecond,
		Current: func() testserver.Announcement {
			return testserver.Announcement{
				BootID: d.bookings[i].BootID(), Address: netip.MustParseAddrPort(listener.Addr().String()),
				Service: service, Capacity: 32, InFlight: &none,
			}
		},
	}
	stop, _ := d.run(func(ctx context.Context) error { announcer.Run(ctx); return nil })
	d.t.Cleanup(stop)
}

func (d *deployment) startAgent(i int, address string) {
	p := &process{listener: listenBlackhole(d.t, address), dump: &dump.Dump{Role: "agent", ID: "agent-" + zones[i]}}
	a := &role.Agent{
		ID: "agent-" + zones[i], Cluster: cluster, Zone: zones[i], Incarnation: role.IncarnationAt(time.Now()),
		Listener: p.listener, Controls: role.NewControlClient(d.controlAddresses, nil), Logs: d.logs, Dump: p.dump,
	}
	d.startProcess(p, a.Run)
	d.setProcess(&d.agents[i], p)
}

func (d *deployment) startEntry(i int, address string) {
	p := &process{listener: listenBlackhole(d.t, address), dump: &dump.Dump{Role: "entry", ID: "entry-" + zones[i]}}
	e := &role.Entry{
		ID: "entry-" + zones[i], Cluster: cluster, Zone: zones[i], Region: "r", Incarnation: role.IncarnationAt(time.Now()),
		Listener: p.listener, Controls: role.NewControlClient(d.controlAddresses, nil), Limits: entry.DefaultLimits(), Logs: d.logs, Dump: p.dump,
	}
	d.startProcess(p, e.Run)
	d.setProcess(&d.entries[i], p)
}

func (d *deployment) setProcess(slot **process, p *process) {
	d.mu.Lock()
	defer d.mu.Unlock()

	*slot = p
}

func (d *deployment) getProcess(slot **process) *process {
	d.mu.Lock()
	defer d.mu.Unlock()

	return *slot
}

// startProcess runs a process until stopProcess or the end of the test.
func (d *deployment) startProcess(p *process, run func(ctx context.Context) error) {
	p.stop, p.done = d.run(run)
	d.t.Cleanup(func() { d.stopProcess(p) })
}

func (d *deployment) stopProcess(p *process) {
	p.stop()

	err := <-p.done
	p.done <- err

	require.NoError(d.t, err)
}

// restartAgent black-holes the connections of an agent, stops it and starts it again at
// the same address.
func (d *deployment) restartAgent(i int) {
	p := d.getProcess(&d.agents[i])
	p.listener.dropCurrent(true, true)
	d.stopProcess(p)
	d.startAgent(i, p.listener.Addr().String())
}

func (d *deployment) restartEntry(i int) {
	p := d.getProcess(&d.entries[i])
	d.stopProcess(p)
	d.startEntry(i, p.listener.Addr().String())
}

func (d *deployment) plan(c *role.Control, declaration string) string {
	var id string

	require.Eventually(d.t, func() bool {
		r, err := c.Server().Plan(context.Background(), &wire.PlanRequest{
			Operator: "o", Source: "s", Override: true, Declaration: []byte(declaration),
		})
		id = r.GetPlan().GetID()

		return err == nil
	}, waitTimeout, 20*time.Millisecond)

	return id
}

// confirm sends a confirmation until it is answered, as an operator does when answers
// are lost. It returns nil if none arrives within waitTimeout.
func (d *deployment) confirm(c *role.Control, operator string, number uint64, plan string) *wire.DecisionAnswer {
	var a *wire.DecisionAnswer

	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, err := c.Server().Confirm(context.Background(), &wire.ConfirmRequest{Operator: operator, Number: number, PlanID: plan})
		if err == nil {
			a = r.GetAnswer()

			break
		}
	}

	return a
}

func (d *deployment) decide(c *role.Control, operator string, number uint64, declaration string) {
	a := d.confirm(c, operator, number, d.plan(c, declaration))
	require.Equal(d.t, wire.DecisionState_DecisionMade, a.GetState(), "%v", a)
}

func (d *deployment) inForce(c *role.Control, number uint64) bool {
	r, err := c.Server().Status(context.Background(), &wire.StatusRequest{Number: number})

	return err == nil && len(r.GetDecisions()) == 1 && r.GetDecisions()[0].GetInForce()
}

// leader returns the index of the control VM that is the leader.
func (d *deployment) leader() int {
	found := -1

	require.Eventually(d.t, func() bool {
		for i, c := range d.controls {
			if c.Replica().Status().Leader == c.VM {
				found = i
			}
		}

		return found >= 0
	}, waitTimeout, 10*time.Millisecond)

	return found
}

// watchVersions checks that no entry or agent returns to an older version of the
// configuration, until the returned function is called.
func (d *deployment) watchVersions() func() {
	stop, done := d.run(func(ctx context.Context) error {
		for ctx.Err() == nil {
			d.checkVersions()
			time.Sleep(5 * time.Millisecond)
		}

		return nil
	})

	return func() {
		stop()
		<-done
	}
}

func (d *deployment) checkVersions() {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, p := range append(d.entries[:], d.agents[:]...) {
		for _, part := range p.dump.Take().Parts {
			if v, ok := part.State.(role.ViewState); ok {
				if v.Version < d.versions[p.dump] {
					d.t.Errorf("%s went back from version %d of the configuration to %d", p.dump.ID, d.versions[p.dump], v.Version)
				}

				d.versions[p.dump] = v.Version
			}
		}
	}
}

func (d *deployment) bookingRuns(context.Context) (map[string]int, error) {
	all := make(map[string]int)

	for _, s := range d.bookings {
		for ref, n := range s.Runs() {
			all[ref] += n
		}
	}

	return all, nil
}

// runLoad sends bookings and checks the guarantees about them.
func (d *deployment) runLoad(rate float64, duration time.Duration, seed uint64) *load.Report {
	g := &load.Generator{
		BookingService: service, DraftService: service, Rate: rate, Duration: duration, BookingShare: 1, Tokens: 1, Workspaces: 3,
		Timeout: 10 * time.Second, Seed: seed, MaxInFlight: 1024, Runs: d.bookingRuns,
	}
	for i := range d.entries {
		g.Entries = append(g.Entries, "http://"+d.getProcess(&d.entries[i]).listener.Addr().String())
	}

	r, err := g.Run(context.Background())
	require.NoError(d.t, err)
	require.False(d.t, r.HasViolations(), "ran twice %v, ran after NotRun %v, answered and not run %v, wrong %d",
		r.Duplicated, r.RanAfterNotRun, r.AnsweredNotRun, r.Count("Wrong"))

	return r
}
