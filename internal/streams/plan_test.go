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
		{"nearly finished", short, 0, dest, streams.Stay, false},
		{"long, transfer is faster than prefill", long, 0, dest, streams.Move, false},
		{"long, cache not exportable", edited(long, func(s *streams.Stream) { s.Exportable = false; s.Tokens = 400 }), 0, dest, streams.Recompute, false},
		{"large cache, short text", edited(long, func(s *streams.Stream) { s.Tokens = 100 }), 0, dest, streams.Recompute, false},
		{"neither resumable nor exportable", edited(long, func(s *streams.Stream) { s.Exportable, s.Resumable = false, false }), 20 * time.Second, dest, streams.Stay, true},
		{"no destination", long, 20 * time.Second, streams.Destination{}, streams.Stay, true},
		{"stall above MaxStall, no deadline", edited(long, func(s *streams.Stream) { s.KVBytes = 3 << 30; s.Resumable = false }), 0, dest, streams.Stay, false},
		{"stall above MaxStall, needed for the deadline", edited(long, func(s *streams.Stream) { s.KVBytes = 3 << 30; s.Resumable = false }), 20 * time.Second, dest, streams.Move, false},
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

// All streams of a plan share the capacity of the destinations and the export link.
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

// randomStreams returns n random streams with prompts of 500 to 8,000 tokens and 128
// KiB of KV cache per token. Half of them are resumable.
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

// BenchmarkPlan reports when a target with 64 streams is empty and how long its callers
// stall for that, with the default costs and with costs that make nearly all streams
// stay or move.
func BenchmarkPlan(b *testing.B) {
	planners := []struct {
		name string
		p    streams.Planner
	}{
		{"StayAll", streams.Planner{DelayCost: 1e-9}},
		{"MoveAll", streams.Planner{DelayCost: 1e3, MaxStall: time.Hour}},
		{"Default", streams.Planner{}},
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
