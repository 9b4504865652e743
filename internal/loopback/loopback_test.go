package loopback

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A role's test wrote a port into its settings, and another test was given the same
// port by the system before the role listened there. The role ended with "address
// already in use", in some three of a hundred runs.
func TestPortsAreNotReused(t *testing.T) {
	t.Parallel()

	var one, other Ports

	t.Cleanup(func() {
		require.NoError(t, one.Close())
		require.NoError(t, other.Close())
	})

	seen := make(map[netip.AddrPort]bool)

	for range 2 * portsPerBlock {
		for _, p := range []*Ports{&one, &other} {
			a, err := p.Address()
			require.NoError(t, err)
			require.False(t, seen[a], "%s is given out twice", a)
			seen[a] = true
		}
	}
}

// What the system picks by itself for listeners and callers stays apart.
func TestPortsAreBelowEphemeralRange(t *testing.T) {
	t.Parallel()

	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("this system does not tell its range:", err)
	}

	lowest, err := strconv.Atoi(strings.Fields(string(data))[0])
	require.NoError(t, err)
	require.Less(t, lastPort, lowest)

	a, err := Address()
	require.NoError(t, err)
	require.LessOrEqual(t, int(a.Port()), lastPort)
}
