package relay

import (
	"bytes"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/priority"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/view"
)

// Guards against an entry that decides alone without an operator seeing it, and against a log line
// for each report. A single entry reports nothing.
func TestMissingSumsAreLoggedOnce(t *testing.T) {
	t.Parallel()

	var (
		logged bytes.Buffer
		now    = time.Unix(1000, 0)
		state  = &view.ClusterState{Entries: 2}
	)

	r := &Relay{
		State: func() *view.ClusterState { return state }, Budget: &retries.SharedBudget{}, Rand: rand.New(rand.NewPCG(1, 2)),
		Now: func() time.Time { return now }, Logger: slog.New(slog.NewTextHandler(&logged, nil)),
	}
	r.Init()
	r.queue.update([]dispatch.Service{{Name: "drafts", Streams: true, Prioritized: true}}, []dispatch.Target{{ID: "a", Service: "drafts", Group: "g", Slots: 1}}, nil, false)

	submit := func() {
		now = now.Add(100 * time.Millisecond)
		r.queue.dispatcher.Submit(now, dispatch.Request{ID: uint64(now.UnixNano()), Service: "drafts", SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Minute)})
		require.Len(t, r.LevelReports(), 1)
	}

	for range 40 {
		submit()
	}

	require.Equal(t, 1, strings.Count(logged.String(), "No sums by level"))
	require.Contains(t, logged.String(), "group=g")
	require.NoError(t, r.UpdateLevels("g", priority.Counts{0: {Demand: 1, Placed: 1}}))
	submit()
	require.Equal(t, 1, strings.Count(logged.String(), "reports sums by level again"))

	// Absurd sums do not count.
	require.Error(t, r.UpdateLevels("g", priority.Counts{0: {Demand: 1 << 30}}))

	for range 40 {
		submit()
	}

	require.Equal(t, 2, strings.Count(logged.String(), "No sums by level"))

	state = &view.ClusterState{Entries: 1}

	require.Empty(t, r.LevelReports())
}
