package routing_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// script runs the commands of the testdata files on a Chooser.
type script struct {
	c   *routing.Chooser
	now time.Time
}

// TestDecisions runs the files in testdata. The comments of each describe the effect on
// callers.
func TestDecisions(t *testing.T) {
	t.Parallel()

	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Helper()

		s := &script{c: newChooser(1), now: epoch}

		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Helper()

			return s.run(t, d)
		})
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()

	n, ms := 1, 0
	d.MaybeScanArgs(t, "n", &n)
	d.MaybeScanArgs(t, "ms", &ms)

	wait := time.Duration(ms) * time.Millisecond

	switch d.Cmd {
	case "targets":
		s.targets(d.Input)
	case "wait":
		s.now = s.now.Add(wait)
	case "credit":
		return s.credit(t, d, n, wait)
	case "report":
		s.report(t, d)
	case "choose":
		return s.choose(d, n)
	case "end":
		s.finish(t, d, n)
	case "begin":
		for range n {
			s.c.RecordFirstByte(routing.FirstByte{AgentID: d.CmdArgs[0].Key, Incarnation: 1, Wait: wait})
		}
	case "silence":
		for range n {
			s.c.RecordUnresponsive(s.now, routing.ConnectionUnresponsive{AgentID: d.CmdArgs[0].Key, Incarnation: 1})
		}
	case "demand":
		s.c.RecordDemand(s.now, service)
	case "asks":
		return s.creditRequests()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}

	return ""
}

func (s *script) targets(input string) {
	var list []routing.Target

	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		list = append(list, routing.Target{
			AgentID: f[0], Service: service, Zone: f[1], Region: "central-th", Capacity: 8, Incarnation: 1,
			Cold: slices.Contains(f, "cold"), Draining: slices.Contains(f, "leaving"), ZoneOut: slices.Contains(f, "out"),
		})
	}

	s.c.ChangeTargets(routing.TargetsChanged{Targets: list})
}

func (s *script) credit(t *testing.T, d *datadriven.TestData, slots int, lifetime time.Duration) string {
	t.Helper()

	var (
		again   int
		againAt time.Time
	)

	if d.MaybeScanArgs(t, "again", &again); again > 0 {
		againAt = s.now.Add(time.Duration(again) * time.Millisecond)
	}

	for _, id := range d.CmdArgs {
		if len(id.Vals) == 0 {
			s.c.ApplyCredit(routing.CreditChanged{
				AgentID: id.Key, Incarnation: 1, Slots: slots, ExpiresAt: s.now.Add(lifetime), RetryAt: againAt,
			})
		}
	}

	return ""
}

func (s *script) report(t *testing.T, d *datadriven.TestData) {
	t.Helper()

	ev := routing.ReportReceived{AgentID: d.CmdArgs[0].Key, Incarnation: 1, TakenAt: s.now}
	d.ScanArgs(t, "in-flight", &ev.InFlight)
	d.ScanArgs(t, "limit", &ev.Limit)

	ev.Cold = d.HasArg("cold")
	s.c.ApplyReport(ev)
}

// choose makes n choices. They stay in flight unless the command has the argument
// "ends".
func (s *script) choose(d *datadriven.TestData, n int) string {
	counts := map[string]int{}
	req := routing.Request{Service: service, Zone: "ayutthaya", Region: "central-th", Idempotent: !d.HasArg("booking")}

	for range n {
		got, none := s.c.Choose(s.now, req)
		if none != nil {
			counts[fmt.Sprintf("none: %s, again in %v", none.Cause, none.RetryAt.Sub(s.now).Round(10*time.Millisecond))]++

			break
		}

		name := got.AgentID
		if got.Probe {
			name += " (probe)"
		}

		counts[name]++

		if d.HasArg("ends") {
			s.c.Finish(s.now, routing.Finished{AgentID: got.AgentID, Incarnation: 1, Verdict: verdict.Ran})
		}
	}

	return formatCounts(counts)
}

func formatCounts(counts map[string]int) string {
	var b strings.Builder

	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}

	slices.Sort(names)

	for _, name := range names {
		fmt.Fprintf(&b, "%s: %d\n", name, counts[name])
	}

	return b.String()
}

func (s *script) finish(t *testing.T, d *datadriven.TestData, n int) {
	t.Helper()

	var cause string

	d.MaybeScanArgs(t, "cause", &cause)

	for range n {
		s.c.Finish(s.now, routing.Finished{
			AgentID: d.CmdArgs[0].Key, Incarnation: 1, Cause: verdict.Cause(cause), ServerError: d.HasArg("server-error"),
		})
	}
}

func (s *script) creditRequests() string {
	var b strings.Builder
	for _, req := range s.c.CreditRequests(s.now) {
		fmt.Fprintf(&b, "%s wanted=%d using=%d\n", req.AgentID, req.Wanted, req.Using)
	}

	return b.String()
}
