package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/intent"
	"github.com/parsleygate/parsleygate/internal/settings"
)

const validSettings = `[Process]
Role = entry
ID = entry-1
Cluster = trust
Zone = ayutthaya
Address = 127.0.0.1:8601
[Controls]
control-1 = 127.0.0.1:8600
`

// A mistake in a settings file must give an error that names its position and what is
// allowed. It must never be ignored.
func TestInvalidSettingsAreRejected(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name string
		text string
		want string
	}{
		{name: "unknown key", text: validSettings + "[Entry]\nLeafe = 5s\n", want: `x.ini:10: [Entry] Leafe: unknown key; allowed: MaxHeaderBytes, `},
		{name: "unknown section", text: validSettings + "[Entri]\n", want: `x.ini:9: [Entri] unknown section; allowed: Process, `},
		{name: "bad address", text: strings.Replace(validSettings, "127.0.0.1:8601", "entry.example:8601", 1), want: `x.ini:6: [Process] Address: bad value "entry.example:8601"; allowed: IP:port`},
		{name: "no zone", text: strings.Replace(validSettings, "Zone = ayutthaya\n", "", 1), want: `x.ini: [Process] Zone: is missing; allowed: 1 to 63 letters`},
		{name: "duplicate section", text: validSettings + "[Controls]\n", want: `x.ini:9: [Controls] already given in line 7; allowed: one of each`},
		{name: "duplicate key", text: validSettings + "control-1 = 127.0.0.1:8602\n", want: `x.ini:9: [Controls] control-1: already given in line 8`},
		{name: "one address twice", text: validSettings + "control-2 = 127.0.0.1:8600\n", want: `control-2: the address belongs to another control VM`},
		{name: "bad duration", text: validSettings + "[Entry]\nLeave = 5\n", want: `x.ini:10: [Entry] Leave: bad value "5"; allowed: a duration above 0`},
		{name: "default timeout above the maximum", text: validSettings + "[Entry]\nMaxTimeout = 1s\n", want: `DefaultTimeout: is above MaxTimeout; allowed: at most 1s`},
		{name: "no control VM", text: strings.Replace(validSettings, "control-1 = 127.0.0.1:8600\n", "", 1), want: `[Controls] lists 0 control VMs; allowed: 1 to 7`},
		{name: "plaintext beyond loopback", text: strings.ReplaceAll(validSettings, "127.0.0.1", "10.11.1.5"), want: `[TLS] is missing, and 10.11.1.5:8600 is not a loopback address`},
		{name: "key without certificate", text: validSettings + "[TLS]\nKeyFile = x\n", want: `[TLS] CertFile: is missing`},
		{name: "control VM not in the list", text: strings.Replace(validSettings, "Role = entry", "Role = control", 1) + "[Control]\nDataFolder = /d\n", want: `[Controls] entry-1: this control VM is not in the list`},
		{name: "negative number of connections of callers", text: validSettings + "[Routing]\nCallerConnections = -1\n", want: `x.ini:10: [Routing] CallerConnections: bad value "-1"; allowed: 0 to 65536`},
		{name: "negative number of connections", text: validSettings + "[Routing]\nIdleConnections = -1\n", want: `x.ini:10: [Routing] IdleConnections: bad value "-1"; allowed: 0 to 65536`},
		{name: "no section", text: "Role = entry\n", want: `x.ini:1: Role: stands before the first section`},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			_, err := settings.Parse("x.ini", []byte(c.text))
			require.ErrorContains(t, err, c.want)
		})
	}

	s, err := settings.Parse("x.ini", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, settings.RoleEntry, s.Process.Role)
	require.Len(t, s.ControlAddresses(), 1)
	require.Equal(t, 256, s.Routing.IdleConnections)
}

// All example settings and declarations must be valid.
func TestExampleFilesParse(t *testing.T) {
	t.Parallel()

	for _, name := range []string{"trust", "qurum"} {
		files, err := filepath.Glob("../../examples/" + name + "/*.ini")
		require.NoError(t, err)
		require.Len(t, files, 3+3+12+3+1)

		for _, f := range files {
			data, err := os.ReadFile(f)
			require.NoError(t, err)

			if filepath.Base(f) == "declaration.ini" {
				_, err = intent.Parse(f, data)
			} else {
				_, err = settings.Parse(f, data)
			}

			require.NoError(t, err)
		}
	}
}

// The settings reference in docs must match Reference. `make docs` regenerates it.
func TestReferenceIsUpToDate(t *testing.T) {
	t.Parallel()

	data, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	require.Equal(t, settings.Reference(), string(data))
}
