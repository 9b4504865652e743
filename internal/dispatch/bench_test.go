package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleygate/parsleygate/internal/dispatch"
)

// BenchmarkReportLoad records load reports of 600 targets of one service, ten times a second
// each. A report took 16.3 µs when each one caused a scan of the slowdowns of all targets,
// and takes 0.07 µs with a scan only on changes.
func BenchmarkReportLoad(b *testing.B) {
	const targets = 600

	d := &dispatch.Dispatcher{Settings: dispatch.DefaultSettings(), Rand: rand.New(rand.NewPCG(1, 2))}
	all := make([]dispatch.Target, targets)

	for i := range all {
		all[i] = dispatch.Target{ID: fmt.Sprintf("t%d", i), Service: "drafts", Slots: 12}
	}

	d.Update(startTime, []dispatch.Service{{Name: "drafts", Streams: true}}, all)

	now, n := startTime, 0

	for b.Loop() {
		now = now.Add(100 * time.Millisecond / targets)
		d.ReportLoad(now, "drafts", all[n%targets].ID, dispatch.Load{Running: 4, Slowdown: 1})

		n++
	}
}
