package priority_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/priority"
)

// turnsRun lets workspaces request at level 1 at the given rates per second for 20 s, of which the
// demand over all entries is half admitted. It returns the admitted part by workspace, and that of
// all.
func turnsRun(rates []int) (parts []float64, all float64) {
	a := priority.Admission{Phase: 0.1}
	arrived, admitted := make([]float64, len(rates)), make([]float64, len(rates))

	for ms := range 20_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)

		if ms%200 == 0 {
			// Level 1 is admitted to (1.05 x 200 - 100 - 0.05 x 200) / 190 of what exceeds its floor.
			a.SetSums(now, "g", priority.Counts{0: {Demand: 100, Placed: 100}, 1: {Demand: 200, Placed: 100, Refused: 100}}, groups)
		}

		for i, rate := range rates {
			// Workspaces request at different moments.
			if (ms+137*i)%(1000/rate) != 0 {
				continue
			}

			workspace := fmt.Sprint("w", i)
			a.Arrive(now, 1, workspace)

			arrived[i]++

			if a.Admit(now, 1, workspace) {
				admitted[i]++
			}
		}
	}

	sumArrived, sumAdmitted := 0.0, 0.0

	for i := range rates {
		parts = append(parts, admitted[i]/arrived[i])
		sumArrived += arrived[i]
		sumAdmitted += admitted[i]
	}

	return parts, sumAdmitted / sumArrived
}

// Guards against a workspace that takes the turns of others by requesting more, and against turns
// that admit another part than the level's.
func TestWorkspacesTakeTurns(t *testing.T) {
	t.Parallel()

	const part = 0.05 + 0.95*100./190

	parts, all := turnsRun([]int{10, 10, 10, 10})
	require.InDelta(t, part, all, 0.02)

	for _, p := range parts {
		require.InDelta(t, part, p, 0.05)
	}

	parts, all = turnsRun([]int{50, 5, 5, 5, 5})
	require.InDelta(t, part, all, 0.03)
	require.Less(t, parts[0], part)

	for _, p := range parts[1:] {
		require.Greater(t, p, 0.95)
	}

	// Requests of many workspaces, each with few of them.
	rates := make([]int, 100)
	for i := range rates {
		rates[i] = 1
	}

	_, all = turnsRun(rates)
	require.InDelta(t, part, all, 0.03)
}

// BenchmarkAdmit is the cost of a request of a level that is admitted in part, of one of 13,000
// workspaces.
func BenchmarkAdmit(b *testing.B) {
	for _, workspaces := range []int{10, 1000, 13_000} {
		b.Run(fmt.Sprintf("Workspaces=%d", workspaces), func(b *testing.B) {
			var a priority.Admission

			names := make([]string, workspaces)
			for i := range names {
				names[i] = fmt.Sprint("workspace-", i)
			}

			now := start
			a.SetSums(now, "g", overload(), groups)

			for i := 0; b.Loop(); i++ {
				if now = now.Add(100 * time.Microsecond); i%2000 == 0 {
					a.SetSums(now, "g", overload(), groups)
				}

				a.Arrive(now, 1, names[i%workspaces])
				a.Admit(now, 1, names[i%workspaces])
			}
		})
	}
}
