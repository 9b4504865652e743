package loopback

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against "address already in use": when a test wrote a system-chosen port into the
// settings of a process, another test could get the same port before that process listened
// on it. This failed about 3 of 100 runs.
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
			require.False(t, seen[a], "%s was allocated twice", a)
			seen[a] = true
		}
	}
}

// Allocated ports must not overlap with the ephemeral ports that the system chooses for
// listeners and outgoing connections.
func TestPortsAreBelowEphemeralRange(t *testing.T) {
	t.Parallel()

	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("the ephemeral port range of this system is not readable:", err)
	}

	lowest, err := strconv.Atoi(strings.Fields(string(data))[0])
	require.NoError(t, err)
	require.Less(t, lastPort, lowest)

	a, err := Address()
	require.NoError(t, err)
	require.LessOrEqual(t, int(a.Port()), lastPort)
}
