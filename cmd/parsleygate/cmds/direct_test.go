package cmds

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against connections of callers that leave no descriptors for targets, control VMs and the log.
func TestCallersLeaveDescriptorsForTargets(t *testing.T) {
	t.Parallel()

	for _, descriptors := range []uint64{2048, 4100, 1 << 40} {
		n := callerDescriptors(descriptors, 256)
		require.Positive(t, n)
		require.LessOrEqual(t, uint64(2*n+256+reservedDescriptors), descriptors)
	}

	require.Equal(t, 1842, callerDescriptors(4100, 256))
	require.Equal(t, 816, callerDescriptors(2048, 256))
	require.Equal(t, 100, callerConnections(100, 0, 1<<20))
	require.Equal(t, minCallerConnections, callerConnections(0, 0, 1))
}
