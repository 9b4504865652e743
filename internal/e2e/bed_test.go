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
	cluster = "proof"
	service = "desk"
	patient = 20 * time.Second
)

var zones = []string{"a", "b", "c"}

// process is one life of an entry or agent on its line.
type process struct {
	line *line
	stop context.CancelFunc
	done chan error
	dump *dump.Dump
}

// bed is a deployment of three zones, each with a control VM, an entry, an agent
// and a booking desk, with real sockets between them.
type bed struct {
	t         *testing.T
	logs      logs.Output
	controls  []*role.Control
	lines     []*line
	operators []netip.AddrPort
	entries   [3]*process
	agents    [3]*process
	desks     [3]*testserver.BookingService

	// loads counts loads, each of which has its own seed and so its own bookings.
	loads uint64

	mu       sync.Mutex
	versions map[*dump.Dump]uint64
}

func newBed(t *testing.T) *bed {
	t.Helper()

	b := &bed{t: t, logs: logs.Output{Writer: t.Output()}, versions: make(map[*dump.Dump]uint64)}
	b.startControls()
	b.decide(b.controls[0], "first", 1, declaration())

	for i := range zones {
		b.startDesk(i)
		b.startEntry(i, address(b.t))
	}

	b.awaitAnswers()

	return b
}

// awaitAnswers waits until bookings are answered.
func (b *bed) awaitAnswers() {
	b.t.Helper()

	for end := time.Now().Add(patient); time.Now().Before(end); {
		b.loads++

		if b.load(50, 100*time.Millisecond, b.loads).Count("Answered") > 1 {
			return
		}
	}

	require.Fail(b.t, "bookings are not answered")
}

func declaration() string {
	d := fmt.Sprintf("[Service %q]\nIdempotentCalls = GET /v1/bookings/*\n[ColdLimit %q]\nCold = 8\nWarm = 32\n", service, service)
	for _, z := range zones {
		d += fmt.Sprintf("[Zone %q]\nRegion = r\n", z)
	}

	return d
}

// run runs f until the test ends, or stop is called.
func (b *bed) run(f func(ctx context.Context) error) (context.CancelFunc, chan error) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- f(ctx) }()

	return stop, done
}

func (b *bed) startControls() {
	var members []quorum.Member

	for i := range zones {
		l := newLine(b.t, "127.0.0.1:0")
		address := netip.MustParseAddrPort(l.Addr().String())
		b.lines = append(b.lines, l)
		b.operators = append(b.operators, address)
		members = append(members, quorum.Member{ID: fmt.Sprintf("control-%d", i), Addr: address})
	}

	dir := b.t.TempDir()

	for i, m := range members {
		c := &role.Control{
			VM: m.ID, Cluster: cluster, Zone: zones[i], Incarnation: role.IncarnationAt(time.Now()), Listener: b.lines[i],
			Dir: filepath.Join(dir, m.ID), Founders: members, Peers: slices.Delete(slices.Clone(members), i, i+1),
			Logs: b.logs, Dump: &dump.Dump{Role: "control", ID: m.ID},
		}
		c.Build()
		b.controls = append(b.controls, c)

		stop, done := b.run(c.Run)
		b.t.Cleanup(func() {
			stop()
			<-done
		})
	}
}

func (b *bed) startDesk(i int) {
	b.desks[i] = &testserver.BookingService{}
	web := &http.Server{Handler: b.desks[i].Handler(), ReadHeaderTimeout: time.Second}
	back := newLine(b.t, "127.0.0.1:0")

	go func() { _ = web.Serve(back) }()

	b.t.Cleanup(func() { _ = web.Close() })
	b.startAgent(i, address(b.t))

	none := uint32(0)
	announcer := &testserver.Announcer{
		Agent: netip.MustParseAddrPort(b.agents[i].line.Addr().String()), Interval: 200 * time.Millisecond,
		Current: func() testserver.Announcement {
			return testserver.Announcement{
				BootID: b.desks[i].BootID(), Address: netip.MustParseAddrPort(back.Addr().String()),
				Service: service, Capacity: 32, InFlight: &none,
			}
		},
	}
	stop, _ := b.run(func(ctx context.Context) error { announcer.Run(ctx); return nil })
	b.t.Cleanup(stop)
}

func (b *bed) startAgent(i int, address string) {
	p := &process{line: newLine(b.t, address), dump: &dump.Dump{Role: "agent", ID: "agent-" + zones[i]}}
	a := &role.Agent{
		ID: "agent-" + zones[i], Cluster: cluster, Zone: zones[i], Incarnation: role.IncarnationAt(time.Now()),
		Listener: p.line, Controls: role.NewControlClient(b.operators, nil), Logs: b.logs, Dump: p.dump,
	}
	b.follow(p, a.Run)
	b.put(&b.agents[i], p)
}

func (b *bed) startEntry(i int, address string) {
	p := &process{line: newLine(b.t, address), dump: &dump.Dump{Role: "entry", ID: "entry-" + zones[i]}}
	e := &role.Entry{
		ID: "entry-" + zones[i], Cluster: cluster, Zone: zones[i], Region: "r", Incarnation: role.IncarnationAt(time.Now()),
		Listener: p.line, Controls: role.NewControlClient(b.operators, nil), Limits: entry.DefaultLimits(), Logs: b.logs, Dump: p.dump,
	}
	b.follow(p, e.Run)
	b.put(&b.entries[i], p)
}

func (b *bed) put(at **process, p *process) {
	b.mu.Lock()
	defer b.mu.Unlock()

	*at = p
}

func (b *bed) get(at **process) *process {
	b.mu.Lock()
	defer b.mu.Unlock()

	return *at
}

// follow runs a process until the test ends.
func (b *bed) follow(p *process, run func(ctx context.Context) error) {
	p.stop, p.done = b.run(run)
	b.t.Cleanup(func() { b.end(p) })
}

func (b *bed) end(p *process) {
	p.stop()

	err := <-p.done
	p.done <- err

	require.NoError(b.t, err)
}

// restartAgent ends an agent whose connections have all gone silent, and starts
// it again under the same address.
func (b *bed) restartAgent(i int) {
	p := b.get(&b.agents[i])
	p.line.silence(true, true)
	b.end(p)
	b.startAgent(i, p.line.Addr().String())
}

func (b *bed) restartEntry(i int) {
	p := b.get(&b.entries[i])
	b.end(p)
	b.startEntry(i, p.line.Addr().String())
}

func (b *bed) plan(c *role.Control, declared string) string {
	var id string

	require.Eventually(b.t, func() bool {
		r, err := c.Server().Plan(context.Background(), &wire.PlanRequest{
			Operator: "o", Source: "s", Override: true, Declaration: []byte(declared),
		})
		id = r.GetPlan().GetID()

		return err == nil
	}, patient, 20*time.Millisecond)

	return id
}

// confirm repeats a confirmation until it is answered, as an operator does
// whose answers are lost.
func (b *bed) confirm(c *role.Control, operator string, number uint64, plan string) *wire.DecisionAnswer {
	var a *wire.DecisionAnswer

	for end := time.Now().Add(patient); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, err := c.Server().Confirm(context.Background(), &wire.ConfirmRequest{Operator: operator, Number: number, PlanID: plan})
		if err == nil {
			a = r.GetAnswer()

			break
		}
	}

	return a
}

func (b *bed) decide(c *role.Control, operator string, number uint64, declared string) {
	a := b.confirm(c, operator, number, b.plan(c, declared))
	require.Equal(b.t, wire.DecisionState_DecisionMade, a.GetState(), "%v", a)
}

func (b *bed) inForce(c *role.Control, number uint64) bool {
	r, err := c.Server().Status(context.Background(), &wire.StatusRequest{Number: number})

	return err == nil && len(r.GetDecisions()) == 1 && r.GetDecisions()[0].GetInForce()
}

// leader returns the index of the control VM that leads.
func (b *bed) leader() int {
	found := -1

	require.Eventually(b.t, func() bool {
		for i, c := range b.controls {
			if c.Replica().Status().Leader == c.VM {
				found = i
			}
		}

		return found >= 0
	}, patient, 10*time.Millisecond)

	return found
}

// watchVersions holds that no entry or agent ever falls back to an older
// configuration, until the returned function is called.
func (b *bed) watchVersions() func() {
	stop, done := b.run(func(ctx context.Context) error {
		for ctx.Err() == nil {
			b.lookAtVersions()
			time.Sleep(5 * time.Millisecond)
		}

		return nil
	})

	return func() {
		stop()
		<-done
	}
}

func (b *bed) lookAtVersions() {
	b.mu.Lock()
	defer b.mu.Unlock()

	for _, p := range append(b.entries[:], b.agents[:]...) {
		for _, part := range p.dump.Take().Parts {
			if v, ok := part.State.(role.ViewState); ok {
				if v.Version < b.versions[p.dump] {
					b.t.Errorf("%s fell from version %d to %d", p.dump.ID, b.versions[p.dump], v.Version)
				}

				b.versions[p.dump] = v.Version
			}
		}
	}
}

func (b *bed) runs(context.Context) (map[string]int, error) {
	all := make(map[string]int)

	for _, d := range b.desks {
		for ref, n := range d.Runs() {
			all[ref] += n
		}
	}

	return all, nil
}

// load sends bookings, and holds every promise about them.
func (b *bed) load(rate float64, d time.Duration, seed uint64) *load.Report {
	l := &load.Generator{
		BookingService: service, DraftService: service, Rate: rate, Duration: d, BookingShare: 1, Tokens: 1, Workspaces: 3,
		Timeout: 10 * time.Second, Seed: seed, MaxInFlight: 1024, Runs: b.runs,
	}
	for i := range b.entries {
		l.Entries = append(l.Entries, "http://"+b.get(&b.entries[i]).line.Addr().String())
	}

	r, err := l.Run(context.Background())
	require.NoError(b.t, err)
	require.False(b.t, r.HasViolations(), "doubled %v, ran after NotRun %v, answered and not run %v, wrong %d",
		r.Duplicated, r.RanAfterNotRun, r.AnsweredNotRun, r.Count("Wrong"))

	return r
}
