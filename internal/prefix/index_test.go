package prefix_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/prefix"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestCacheEvents runs the files in testdata, with late, duplicate and missing events.
func TestCacheEvents(t *testing.T) {
	t.Parallel()

	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Helper()

		x := &prefix.Index{}
		now := epoch

		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Helper()

			ev := prefix.Event{Target: "t1", Incarnation: 1}
			seconds := 0

			d.MaybeScanArgs(t, "seq", &ev.Sequence)
			d.MaybeScanArgs(t, "incarnation", &ev.Incarnation)
			d.MaybeScanArgs(t, "p", &ev.Prefixes)
			d.MaybeScanArgs(t, "s", &seconds)

			now = now.Add(time.Duration(seconds) * time.Second)

			switch d.Cmd {
			case "stored":
				x.Apply(ev)
			case "evicted":
				ev.Change = prefix.Evicted
				x.Apply(ev)
			case "cleared":
				ev.Change = prefix.Cleared
				x.Apply(ev)
			case "routed":
				x.RecordRouted(now, ev.Target, ev.Incarnation, ev.Prefixes)
			case "wait":
			}

			return formatMatch(x, now)
		})
	})
}

// formatMatch formats how much of the prompt 1 2 3 4 the index expects the target to
// hold.
func formatMatch(x *prefix.Index, now time.Time) string {
	m := x.Match(now, "t1", []uint64{1, 2, 3, 4})

	return strings.TrimSpace(fmt.Sprintf("held=%d certainty=%.2f", m.Blocks, m.Confidence)) + "\n"
}

func TestIndexSizeIsBounded(t *testing.T) {
	t.Parallel()

	x := &prefix.Index{MaxBlocks: 1000}
	for i := range uint64(100_000) {
		x.RecordRouted(epoch, fmt.Sprintf("t%d", i%10), 1, []uint64{i, i + 1})
		x.RecordRouted(epoch, "t0", 1, []uint64{7})
	}

	require.LessOrEqual(t, x.Size(), 1000)
	require.Equal(t, 1, x.Match(epoch, "t0", []uint64{7}).Blocks, "prefix in use was evicted")

	x.Retain(func(target string) bool { return target == "t0" })
	require.LessOrEqual(t, x.Size(), 100)
}
