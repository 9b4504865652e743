package control_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/control"
)

// Guards against announcements and removals of ever new targets that end a control VM by what they make it hold.
func TestTargetsThatAreKnownAreBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const limit = 3

		s := newDocumentServer()
		s.MaxTargets = limit
		runDocumentServer(t, s)

		ctx := t.Context()
		for n := range limit {
			require.NoError(t, s.Announce(ctx, newTarget(fmt.Sprint("i", n), "desk", "a")))
		}

		var full *control.TooManyTargetsError

		require.ErrorAs(t, s.Announce(ctx, newTarget("new", "desk", "a")), &full)
		require.ErrorAs(t, s.Leave(ctx, "unknown"), &full)
		require.EqualValues(t, 2, s.TargetsRefused())

		require.NoError(t, s.Announce(ctx, newTarget("i0", "desk", "a")), "it is known")
		require.NoError(t, s.Leave(ctx, "i1"), "it is known")

		time.Sleep(6 * time.Minute)
		require.NoError(t, s.Announce(ctx, newTarget("new", "desk", "a")), "the others are silent")
	})
}
