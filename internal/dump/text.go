package dump

import (
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles written for each histogram.
var quantiles = []struct { //nolint:gochecknoglobals // a constant table
	name     string
	fraction float64
}{{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}}

// WriteText writes the metrics as "name value" lines, sorted by name.
func WriteText(w io.Writer, r metrics.Registry) {
	var lines []string

	r.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			lines = append(lines, name+" "+strconv.FormatInt(m.Count(), 10))
		case metrics.Gauge:
			lines = append(lines, name+" "+strconv.FormatInt(m.Value(), 10))
		case metrics.Histogram:
			h := m.Snapshot()
			lines = append(
				lines, fmt.Sprintf("%s.count %d", name, h.Count()), fmt.Sprintf("%s.min %d", name, h.Min()),
				fmt.Sprintf("%s.max %d", name, h.Max()), fmt.Sprintf("%s.mean %.1f", name, h.Mean()),
			)

			for _, q := range quantiles {
				lines = append(lines, fmt.Sprintf("%s.%s %.0f", name, q.name, h.Percentile(q.fraction)))
			}
		}
	})

	slices.Sort(lines)

	for _, l := range lines {
		// A write fails only if the client has disconnected.
		_, _ = io.WriteString(w, l+"\n")
	}
}
