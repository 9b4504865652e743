package expertgroup_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Engines hold for a switch, but their answers are lost, so the ranks refuse the
// switch and it is aborted. Nothing was promised, so nothing would lift the
// holds, and coopers would get no drafts any more.
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
		require.True(t, w.waitFor(10*time.Second, func() bool { return w.group.State().Steps > steps+100 }), "the group steps")
		w.clearFaults()
		w.requireProgress()
	})
}
