package fairness_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/parsleygate/parsleygate/internal/fairness"
)

// TestDecisions runs the files in testdata. Each line of output shows the action on an
// item and, for a refusal, when the caller may retry.
func TestDecisions(t *testing.T) {
	t.Parallel()

	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Helper()

		q := newQueue(1)
		now := epoch

		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Helper()

			id, n, ms, deadline := uint64(0), 1, 0, 0
			it := fairness.Item{Workspace: "w"}

			d.MaybeScanArgs(t, "id", &id)
			d.MaybeScanArgs(t, "n", &n)
			d.MaybeScanArgs(t, "ms", &ms)
			d.MaybeScanArgs(t, "ws", &it.Workspace)
			d.MaybeScanArgs(t, "weight", &it.Weight)
			d.MaybeScanArgs(t, "priority", &it.Priority)
			d.MaybeScanArgs(t, "deadline", &deadline)

			now = now.Add(time.Duration(ms) * time.Millisecond)
			if deadline > 0 {
				it.Deadline = now.Add(time.Duration(deadline) * time.Millisecond)
			}

			var out []fairness.Action

			switch d.Cmd {
			case "capacity":
				out = q.SetCapacity(now, n)
			case "offer":
				for i := range uint64(n) {
					it.ID = id + i
					itemAction, otherActions := q.Submit(now, it)
					out = append(append(out, itemAction), otherActions...)
				}
			case "finish":
				for i := range uint64(n) {
					out = append(out, q.Finish(now, id+i)...)
				}
			case "cancel":
				out = q.Cancel(now, id)
			case "putback":
				out = q.Requeue(now, id)
			case "tick":
				out = q.Tick(now)
			}

			return formatActions(now, out)
		})
	})
}

func formatActions(now time.Time, actions []fairness.Action) string {
	var b strings.Builder

	for _, a := range actions {
		fmt.Fprintf(&b, "%d %s", a.ID, a.Kind)

		if a.Kind == fairness.Refuse {
			fmt.Fprintf(&b, " %s, again in %v", a.Cause, a.RetryAt.Sub(now).Round(100*time.Millisecond))
		}

		b.WriteString("\n")
	}

	return b.String()
}
