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

// BenchmarkRequest is the cost of a request of a service with several groups of 32: it is
// placed, has some events, and ends, while each target reports its load once.
func BenchmarkRequest(b *testing.B) {
	const (
		ranks  = 32
		events = 20
	)

	for _, c := range []struct {
		groups      int
		prioritized bool
	}{{1, false}, {1, true}, {2, false}, {16, false}} {
		groups := c.groups

		b.Run(fmt.Sprintf("Groups=%d/Prioritized=%t", groups, c.prioritized), func(b *testing.B) {
			d := &dispatch.Dispatcher{Settings: dispatch.DefaultSettings(), Rand: rand.New(rand.NewPCG(1, 2))}
			all := make([]dispatch.Target, groups*ranks)

			for i := range all {
				all[i] = dispatch.Target{ID: fmt.Sprintf("t%04d", i), Service: "drafts", Group: fmt.Sprintf("g%d", i/ranks), Slots: 10}
			}

			d.Update(startTime, []dispatch.Service{{Name: "drafts", Streams: true, Prioritized: c.prioritized}}, all)

			now, id := startTime, uint64(0)

			for b.Loop() {
				now = now.Add(5 * time.Millisecond)
				id++

				placed := d.Submit(now, dispatch.Request{ID: id, Service: "drafts", SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Minute)})[0]

				for range events {
					d.ReportEventGap(now, placed, 0.4)
				}

				d.ReportLoad(now, "drafts", all[id%uint64(len(all))].ID, dispatch.Load{Running: 2, Slowdown: 1})
				d.Finish(now, placed, 1, dispatch.Completed)
			}
		})
	}
}
