package local_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/local"
	"github.com/parsleygate/parsleygate/internal/logs"
)

// The whole path, with three control VMs, entries, agents and stand-ins: callers
// send drafts and bookings while a zone leaves, its engines restart, it returns,
// one engine restarts under load and another turns cold without a word. No
// answer is cut, wrong or doubled, no cold engine gets too much, the zone gets
// nothing once its leaving is in force, and no group mixes two maps in a step.
func TestExercise(t *testing.T) {
	t.Parallel()

	ctx, stop := context.WithCancel(t.Context())
	g, ctx := errgroup.WithContext(ctx)
	inst := &local.Instance{Deployment: local.TrustDeployment(), Logs: logs.Output{Writer: t.Output()}, Dir: t.TempDir()}
	require.NoError(t, inst.Start(ctx, g))

	var out bytes.Buffer

	x := &local.Exercise{Instance: inst, Duration: 8 * time.Second, Rate: 60, Seed: 7, Out: &out}
	err := x.Run(ctx)

	t.Log(out.String())
	stop()
	require.NoError(t, err)
	require.NoError(t, g.Wait())
}
