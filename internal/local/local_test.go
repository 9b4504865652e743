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

// Callers send drafts and bookings to a deployment of three zones while a zone is
// taken out, its engines restart and it is brought back, an engine restarts under
// load, another turns cold without notice, and a zone fails. No answer may be
// truncated or wrong, no booking made twice, no cold engine overloaded, no request
// sent to the zone once the decision is in force, and no two maps used in a step.
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
