package streams_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/streams"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func drainingTarget(deadline time.Duration) streams.DrainingTarget {
	l := streams.DrainingTarget{TokensPerSecond: 20, BytesPerSecond: 1 << 30}
	if deadline > 0 {
		l.Deadline = epoch.Add(deadline)
	}

	return l
}

func TestPlan(t *testing.T) {
	t.Parallel()

	dest := streams.Destination{AgentID: "t2", Free: 1, PrefillPerSecond: 8000, CanImport: true}
	long := streams.Stream{ID: "s", Tokens: 4000, Remaining: 1000, KVBytes: 512 << 20, Exportable: true, Resumable: true}
	short := long
	short.Remaining = 20

	edited := func(s streams.Stream, f func(*streams.Stream)) streams.Stream {
		f(&s)

		return s
	}

	tests := []struct {
		name    string
		s       streams.Stream
		by      time.Duration
		to      streams.Destination
		want    streams.Kind
		overrun bool
	}{
		{"nearly done", short, 0, dest, streams.Stay, false},
		{"long, cache moves faster", long, 0, dest, streams.Move, false},
		{"long, no export", edited(long, func(s *streams.Stream) { s.Exportable = false; s.Tokens = 400 }), 0, dest, streams.Recompute, false},
		{"large cache, small text", edited(long, func(s *streams.Stream) { s.Tokens = 100 }), 0, dest, streams.Recompute, false},
		{"may not run twice and no export", edited(long, func(s *streams.Stream) { s.Exportable, s.Resumable = false, false }), 20 * time.Second, dest, streams.Stay, true},
		{"no place elsewhere", long, 20 * time.Second, streams.Destination{}, streams.Stay, true},
		{"a long stall without need", edited(long, func(s *streams.Stream) { s.KVBytes = 3 << 30; s.Resumable = false }), 0, dest, streams.Stay, false},
		{"a long stall to be gone in time", edited(long, func(s *streams.Stream) { s.KVBytes = 3 << 30; s.Resumable = false }), 20 * time.Second, dest, streams.Move, false},
	}

	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			got := streams.Planner{}.Plan(epoch, drainingTarget(tc.by), []streams.Stream{tc.s}, []streams.Destination{tc.to})
			require.Len(t, got, 1)
			require.Equal(t, tc.want, got[0].Kind)
			require.Equal(t, tc.overrun, got[0].Overrun)
			require.Equal(t, tc.want != streams.Stay, got[0].To != "")
			require.Equal(t, tc.want != streams.Stay, got[0].Stall > 0)
		})
	}
}

// Destinations and the export link are shared by all streams of a plan.
func TestPlanSharesDestinationsAndExportLink(t *testing.T) {
	t.Parallel()

	list, to := randomStreams(64, 1)
	assigned := map[string]int{}
	linkFree := epoch

	for _, d := range (streams.Planner{}).Plan(epoch, drainingTarget(0), list, to) {
		if d.Kind == streams.Stay {
			continue
		}

		assigned[d.To]++

		if d.Kind == streams.Move {
			require.False(t, d.StartAt.Before(linkFree), "two exports at once")
			linkFree = d.DoneAt
		}
	}

	for _, d := range to {
		require.LessOrEqual(t, assigned[d.AgentID], d.Free)
	}
}

// randomStreams draws streams: prompts of 500 to 8,000 tokens, 128 KB of cache a token,
// half of them may be computed anew.
func randomStreams(n int, seed uint64) ([]streams.Stream, []streams.Destination) {
	r := rand.New(rand.NewPCG(seed, seed))
	list := make([]streams.Stream, n)

	for i := range list {
		tokens := 500 + r.IntN(7500)
		list[i] = streams.Stream{
			ID: fmt.Sprint(i), Tokens: tokens, Remaining: int(r.ExpFloat64() * 400),
			KVBytes: int64(tokens) << 17, Exportable: true, Resumable: i%2 == 0,
		}
	}

	return list, []streams.Destination{
		{AgentID: "a", Free: n / 3, PrefillPerSecond: 8000, CanImport: true},
		{AgentID: "b", Free: n / 3, PrefillPerSecond: 8000, CanImport: true},
	}
}

// BenchmarkPlan measures when a target with 64 streams is empty and what its
// callers wait for that, against letting all finish and moving all that can.
func BenchmarkPlan(b *testing.B) {
	planners := []struct {
		name string
		p    streams.Planner
	}{
		{"StayAll", streams.Planner{DelayCost: 1e-9}},
		{"MoveAll", streams.Planner{DelayCost: 1e3, MaxStall: time.Hour}},
		{"Ours", streams.Planner{}},
	}

	for _, tc := range planners {
		b.Run(tc.name, func(b *testing.B) {
			var got []streams.Decision

			list, to := randomStreams(64, 1)

			b.ReportAllocs()

			for b.Loop() {
				got = tc.p.Plan(epoch, drainingTarget(0), list, to)
			}

			empty, stall, moved := 0.0, 0.0, 0.0

			for _, d := range got {
				empty = max(empty, d.DoneAt.Sub(epoch).Seconds())
				stall += d.Stall.Seconds()

				if d.Kind != streams.Stay {
					moved++
				}
			}

			b.ReportMetric(empty, "empty-after-s")
			b.ReportMetric(stall/64, "stall-s/stream")
			b.ReportMetric(moved, "left")
		})
	}
}
