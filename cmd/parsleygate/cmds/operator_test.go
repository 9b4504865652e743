package cmds

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// operatorFixture runs operator commands against one control VM.
type operatorFixture struct {
	t        *testing.T
	controls string
	file     string
}

func newOperatorFixture(t *testing.T) *operatorFixture {
	t.Helper()

	log := &control.MemoryLog{}
	server := &control.Server{Cluster: "c", VM: "control-1", Propose: log.Propose, ReadIndex: log.ReadIndex}
	server.Init()
	log.Apply = server.Apply

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- server.Run(ctx) }()

	mux := http.NewServeMux()
	mux.Handle(wire.OperatorPathPrefix, wire.NewOperatorServer(server))

	httpServer := httptest.NewServer(mux)

	t.Cleanup(func() {
		httpServer.Close()
		cancel()
		require.NoError(t, <-done)
	})

	o := &operatorFixture{
		t: t,
		// Nothing listens on port 1, so the commands continue with the next control VM.
		controls: "127.0.0.1:1," + strings.TrimPrefix(httpServer.URL, "http://"),
		file:     filepath.Join(t.TempDir(), "trust.ini"),
	}
	require.Eventually(t, func() bool {
		_, err := o.run("plan", "-f", o.write("[Zone \"ayutthaya\"]\n"), "--operator", "may")
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)

	return o
}

func (o *operatorFixture) write(text string) string {
	require.NoError(o.t, os.WriteFile(o.file, []byte(text), 0o600))
	return o.file
}

func (o *operatorFixture) run(args ...string) (string, error) {
	var out bytes.Buffer

	root := &cobra.Command{Use: "parsleygate", SilenceUsage: true}
	root.AddCommand(operatorCommands()...)
	root.SetArgs(append(args, "--control", o.controls))
	root.SetOut(&out)
	root.SetErr(&out)

	err := root.Execute()

	return out.String(), err
}

func (o *operatorFixture) mustRun(args ...string) string {
	out, err := o.run(args...)
	require.NoError(o.t, err, out)

	return out
}

// One operator declares a zone. Another takes it out and repeats the command because the
// answer was lost. The first brings it back, and a third one reuses a number of another
// decision, which must be rejected.
func TestOperatorCommands(t *testing.T) {
	t.Parallel()

	o := newOperatorFixture(t)
	out := o.mustRun("plan", "-f", o.write("[Zone \"ayutthaya\"]\nRegion = central-th\n[Workspace \"winery\"]\nWeight = 3\n"), "--operator", "may")
	require.Contains(t, out, "Workspace/winery: added")

	_, plan, found := strings.Cut(out, "parsleygate confirm ")
	require.True(t, found)

	plan = strings.TrimSpace(plan)
	require.Contains(t, o.mustRun("confirm", plan, "--operator", "may", "--number", "1", "--wait", "10s"), "decision 1 is made by may")
	require.Contains(t, o.mustRun("confirm", plan, "--operator", "may", "--number", "1"), "the first answer again")

	require.Contains(t, o.mustRun("zone", "out", "ayutthaya", "--operator", "non"), "nothing has changed yet")
	require.Contains(t, o.mustRun("zone", "out", "ayutthaya", "--operator", "non", "--number", "2", "--yes"), "decision 2 is made by non")
	require.Contains(t, o.mustRun("zone", "out", "ayutthaya", "--operator", "non", "--number", "2", "--yes"), "the first answer again")
	require.Contains(t, o.mustRun("zone", "in", "ayutthaya", "--operator", "may", "--yes"), "decision number 3")

	out, err := o.run("target", "retire", "agent-9", "--operator", "lek", "--number", "2", "--yes")
	require.Error(t, err)
	require.Contains(t, out, "number 2 belongs to another decision")
	require.Contains(t, out, "by non")

	require.Contains(t, o.mustRun("history"), "Zone/ayutthaya: Out true -> false")
	require.Contains(t, o.mustRun("status", "--number", "2"), "decision 2 by non (parsleygate zone out ayutthaya): in force")
	require.Contains(t, o.mustRun("diff", "-f", o.write("[Zone \"ayutthaya\"]\nOut = true\n")), "not declared, stays as it is: Workspace/winery")
}

// A mistyped command must change nothing and report the reason.
func TestInvalidCommandsChangeNothing(t *testing.T) {
	t.Parallel()

	o := newOperatorFixture(t)
	cases := map[string]struct {
		args []string
		want string
	}{
		"unknown zone":     {[]string{"zone", "out", "ayuthaya", "--operator", "may", "--yes"}, `no zone "ayuthaya" is declared`},
		"unknown plan":     {[]string{"confirm", "P99", "--operator", "may", "--number", "1"}, "no such plan"},
		"no operator":      {[]string{"zone", "out", "a", "--operator", ""}, "Operator"},
		"no file":          {[]string{"plan", "-f", filepath.Join(t.TempDir(), "none.ini")}, "read the declaration"},
		"quote in a name":  {[]string{"stop", "a\"]\n[Zone \"b", "--operator", "may", "--yes"}, "no proper name"},
		"unknown decision": {[]string{"status", "--number", "9"}, "no decision 9 is kept"},
	}

	for name, c := range cases {
		out, err := o.run(c.args...)
		require.Error(t, err, name)
		require.Contains(t, out, c.want, name)
	}

	require.Empty(t, o.mustRun("history"))

	o.controls = "localhost:1"
	out, err := o.run("status")
	require.Error(t, err)
	require.Contains(t, out, "allowed: IP:port")
}
