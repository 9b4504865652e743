package expertgroup_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against holds that outlive an aborted switch and stall the group. The engines hold
// for a switch, but their answers are lost, so the ranks refuse the switch and it is aborted.
// As no rank has promised the switch, the abort alone does not release the holds.
func TestUnansweredHoldsAreReleased(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 3)
		w.requireProgress()
		w.mu.Lock()
		w.dropHoldAnswers = true
		w.mu.Unlock()
		w.waitFor(10*time.Second, nil)

		steps := w.group.State().Steps
		require.True(t, w.waitFor(10*time.Second, func() bool { return w.group.State().Steps > steps+100 }), "the group must continue to compute steps")
		w.clearFaults()
		w.requireProgress()
	})
}
