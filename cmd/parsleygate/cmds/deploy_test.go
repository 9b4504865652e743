package cmds

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/loopback"
	"github.com/parsleygate/parsleygate/internal/settings"
)

// freePort returns a loopback port that no other process uses before the tested one does.
func freePort(t *testing.T) string {
	t.Helper()

	a, err := loopback.Address()
	require.NoError(t, err)

	return strconv.Itoa(int(a.Port()))
}

// fillTemplate writes a settings file from a deployment template. It replaces the template
// fields that ours use as the platform does.
func fillTemplate(t *testing.T, name string) (path, admin string) {
	t.Helper()

	data, err := os.ReadFile(filepath.Join("../../../deploy", name+".ini"))
	require.NoError(t, err)

	peer := freePort(t)
	admin = freePort(t)
	values := map[string]string{
		"Node": "front-a-1", "Zone": "a", "Region": "r", "Ip": "127.0.0.1", "InternalPorts.0": peer, "InternalPorts.1": admin,
		"Seeds": "127.0.0.1:" + freePort(t), "Bootstrap": "true", "DataDir": t.TempDir(), "HeartbeatMs": "1200",
		"Listen.Front": "127.0.0.1:" + freePort(t), "Listen.ReadinessAddress": "127.0.0.1:" + freePort(t), "Listen.Control": "127.0.0.1:" + freePort(t),
		"FaultTolerance.Machines": "1", "Bounds.RetryBudgetRatio": "0.2", "Bounds.BudgetSlack": "96", "Bounds.BudgetWindowS": "10",
		"Bounds.GraceS": "2", "Limits.MemoryMb": "152", "app": "127.0.0.1:" + freePort(t),
	}
	text := regexp.MustCompile(`(?s){{#Zones}}.*{{/Zones}}`).ReplaceAllString(string(data), "a = r\nb = r")
	text = regexp.MustCompile(`(?s){{\^DataDir}}.*{{/DataDir}}\n`).ReplaceAllString(text, "")
	text = regexp.MustCompile(`{{[#/]DataDir}}\n`).ReplaceAllString(text, "")
	text = regexp.MustCompile(`{{([^}]*)}}`).ReplaceAllStringFunc(text, func(p string) string {
		v, ok := values[strings.Trim(p, "{}")]
		require.True(t, ok, "the template uses the unknown field %s", p)

		return v
	})
	path = filepath.Join(t.TempDir(), "local.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))

	return path, "127.0.0.1:" + admin
}

// The platform starts each role from its template. Guards against a role that exits at
// once: the platform would restart it in a loop, and no requests would be answered.
func TestRolesStartFromTheirTemplates(t *testing.T) {
	t.Parallel()

	for name, run := range map[string]func(context.Context, *process) error{"entry": runEntry, "control": runControl, "agent": runAgent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			path, admin := fillTemplate(t, name)

			s, err := settings.Load(path)
			require.NoError(t, err)

			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error, 1)

			var out bytes.Buffer

			go func() { ended <- startProcess(ctx, path, s, &out, io.Discard, run) }()

			select {
			case err := <-ended:
				t.Fatal("the process exited by itself:", err)
			case <-time.After(300 * time.Millisecond):
			}

			if s.Process.AdminAddress.IsValid() {
				for _, page := range []string{"/dump", "/metrics", "/metrics.txt"} {
					resp, err := http.Get("http://" + admin + page)
					require.NoError(t, err)

					body, err := io.ReadAll(resp.Body)
					require.NoError(t, err)
					require.NoError(t, resp.Body.Close())
					require.Equal(t, http.StatusOK, resp.StatusCode)
					require.NotEmpty(t, body)
				}
			}

			stop()
			require.NoError(t, <-ended)
			require.Contains(t, out.String(), "Started.")
		})
	}
}
