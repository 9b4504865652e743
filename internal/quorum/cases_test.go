package quorum_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/quorum"
)

// TestCases runs the cases in testdata/cases. A comment at the head of each file describes
// the failure that the case guards against.
func TestCases(t *testing.T) {
	t.Parallel()
	datadriven.Walk(t, "testdata/cases", func(t *testing.T, path string) {
		c := &caseRunner{ops: map[string]*op{}}

		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return c.runLines(t, d)
		})
		require.NotNil(t, c.sim)
		require.Empty(t, c.sim.violations)
		require.Equal(t, porcupine.Ok, c.sim.checkHistory())
	})
}

// caseRunner runs the commands of one case.
type caseRunner struct {
	sim *simulation
	ops map[string]*op
}

func (c *caseRunner) runLines(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd == "group" {
		var n int

		d.ScanArgs(t, "n", &n)
		c.sim = newSimulation(1, n)

		return ""
	}

	var out []string
	for _, line := range append([]string{strings.TrimSpace(d.Cmd + " " + argsOf(d))}, strings.Split(d.Input, "\n")...) {
		if f := strings.Fields(line); len(f) > 0 && f[0] != "do" {
			if s := c.runCommand(t, f[0], f[1:]); s != "" {
				out = append(out, s)
			}
		}
	}

	return strings.Join(out, "\n")
}

func argsOf(d *datadriven.TestData) string {
	var out []string
	for _, a := range d.CmdArgs {
		out = append(out, a.String())
	}

	return strings.Join(out, " ")
}

// findHost returns the host with the given ID. "leader" means the current leader and
// "follower" the last host that does not lead.
func (c *caseRunner) findHost(t *testing.T, id string) *host {
	h := c.sim.host(id)

	if l := c.sim.leader(); h == nil && l != nil {
		h = l

		for _, f := range c.sim.hosts {
			if id == "follower" && f != l {
				h = f
			}
		}
	}

	require.NotNil(t, h, id)

	return h
}

func (c *caseRunner) runCommand(t *testing.T, cmd string, args []string) string {
	w := c.sim

	switch cmd {
	case "run":
		d, err := time.ParseDuration(args[0])
		require.NoError(t, err)
		w.run(d)
	case "new":
		w.addHost(args[0], nil)
	case "heal":
		w.heal()
	case "net": // set the rates of lost and duplicated messages
		_, err := fmt.Sscan(args[0]+" "+args[1], &w.dropRate, &w.duplicateRate)
		require.NoError(t, err)
	case "outcome":
		return c.outcome(args[0])
	case "learner", "promote", "remove", "may-stop":
		kind := map[string]quorum.ChangeKind{
			"learner": quorum.AddLearner, "promote": quorum.Promote, "remove": quorum.Remove, "may-stop": quorum.CheckStop,
		}[cmd]
		c.ops[cmd+args[0]] = w.change(kind, args[0])
		w.run(time.Second)

		return c.outcome(cmd + args[0])
	default:
		return c.runHostCommand(t, cmd, c.findHost(t, args[0]), args[1:])
	}

	return ""
}

func (c *caseRunner) runHostCommand(t *testing.T, cmd string, h *host, args []string) string {
	w := c.sim

	switch cmd {
	case "kill":
		w.kill(h)
	case "crash": // crash h during its next write
		h.crashPoint = map[string]crashPoint{"before-sync": crashBeforeSync, "after-sync": crashAfterSync}[args[0]]
	case "start":
		w.restart(h)
	case "wipe":
		w.wipe(h)
	case "isolate":
		w.isolate(h.id, true)
	case "deafen": // cut all links towards h
		for _, o := range w.hosts {
			w.cutLinks[[2]string{o.id, h.id}] = true
		}
	case "mute": // cut all links from h
		for _, o := range w.hosts {
			w.cutLinks[[2]string{h.id, o.id}] = true
		}
	case "join": // undo isolate
		w.isolate(h.id, false)
	case "stall": // pause h without stopping its process
		d, err := time.ParseDuration(args[0])
		require.NoError(t, err)

		h.stalledUntil = w.now.Add(d)
	case "compact":
		w.compact(h)
	case "transfer":
		o := w.transfer(h)
		w.run(time.Second)

		return fmt.Sprintf("transfer: %v", o.answer)
	case "propose":
		c.ops[args[0]] = w.propose(h, args[0])
	case "flood": // propose many commands at once
		for i := range 300 {
			w.propose(h, fmt.Sprint(args[0], i))
		}
	case "read":
		c.ops[args[0]] = w.read(h)
	case "show":
		return c.show(h)
	default:
		require.Fail(t, "unknown command", cmd)
	}

	return ""
}

// outcome returns the outcome of an operation as its caller sees it.
func (c *caseRunner) outcome(name string) string {
	o := c.ops[name]

	switch {
	case o.returnTime != 0 && o.command == "":
		return fmt.Sprintf("%s: read %q", name, o.value)
	case o.returnTime != 0:
		return name + ": Ran"
	case o.notRun:
		return name + ": NotRun"
	default:
		return name + ": open or MayHaveRun"
	}
}

func (c *caseRunner) show(h *host) string {
	if h.core == nil {
		return h.id + ": down"
	}

	s := h.core.Status()
	last := ""

	if len(h.state) > 0 {
		last = h.state[len(h.state)-1]
	}

	return fmt.Sprintf("%s: %s term=%d applied=%d last=%q safe=%v %s", h.id, s.State, s.Term, h.applied, last, s.SafeToStop, s.Reason)
}
