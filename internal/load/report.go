package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and the precision of the latency histograms.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
)

// Row counts the outcomes of one kind of request in one phase.
type Row struct {
	Phase string
	Kind  string
	// Counts is the number of requests by outcome, Causes that of refusals by cause.
	Counts map[string]int
	Causes map[string]int
	// FirstToken is the time to the first token of answered drafts, Total the time to
	// the end of answered requests, both in microseconds.
	FirstToken *hdrhistogram.Histogram
	Total      *hdrhistogram.Histogram
}

// Report is the result of a run.
type Report struct {
	Rows []*Row
	// Duplicated contains the bookings that ran more than once.
	Duplicated []string
	// RanAfterNotRun contains the bookings that ran although their last outcome was
	// NotRun.
	RanAfterNotRun []string
	// AnsweredNotRun contains the bookings that were answered and did not run.
	AnsweredNotRun []string
}

func newReport() *Report { return &Report{} }

// HasViolations reports whether a guarantee to a caller was violated.
func (r *Report) HasViolations() bool {
	n := len(r.Duplicated) + len(r.RanAfterNotRun) + len(r.AnsweredNotRun)
	for _, row := range r.Rows {
		n += row.Counts[string(wrongAnswer)]
	}

	return n > 0
}

// Count returns the number of requests with the named outcome, over all rows.
func (r *Report) Count(name string) int {
	n := 0
	for _, row := range r.Rows {
		n += row.Counts[name]
	}

	return n
}

func (r *Report) row(phase, kind string) *Row {
	for _, row := range r.Rows {
		if row.Phase == phase && row.Kind == kind {
			return row
		}
	}

	row := &Row{
		Phase: phase, Kind: kind, Counts: make(map[string]int), Causes: make(map[string]int),
		FirstToken: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		Total:      hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
	r.Rows = append(r.Rows, row)

	return row
}

func (g *Generator) record(q *request, res result) {
	g.mu.Lock()
	defer g.mu.Unlock()

	kind := "Draft"
	if q.booking {
		kind = "Booking"
		g.bookingOutcomes[q.ref] = res.outcome
	}

	row := g.report.row(q.phase, kind)
	row.Counts[string(res.outcome)]++

	if res.cause != "" {
		row.Causes[res.cause]++
	}

	if res.outcome != answered {
		return
	}

	_ = row.Total.RecordValue(max(1, res.total.Microseconds()))
	if res.firstToken > 0 {
		_ = row.FirstToken.RecordValue(res.firstToken.Microseconds())
	}
}

// checkBookings compares the outcomes of bookings with the runs counted by the targets.
func (g *Generator) checkBookings(runs map[string]int) {
	for ref, last := range g.bookingOutcomes {
		switch n := runs[ref]; {
		case n > 1:
			g.report.Duplicated = append(g.report.Duplicated, ref)
		case n == 1 && last == notRun:
			g.report.RanAfterNotRun = append(g.report.RanAfterNotRun, ref)
		case n == 0 && last == answered:
			g.report.AnsweredNotRun = append(g.report.AnsweredNotRun, ref)
		}
	}

	slices.Sort(g.report.Duplicated)
	slices.Sort(g.report.RanAfterNotRun)
	slices.Sort(g.report.AnsweredNotRun)
}

var reportColumns = []outcome{answered, notRun, mayHaveRun, truncated, timedOut, wrongAnswer, failed, notSent}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(t, "Phase\tKind\t")

	for _, c := range reportColumns {
		_, _ = fmt.Fprintf(t, "%s\t", c)
	}

	_, _ = fmt.Fprint(t, "FirstP50\tFirstP95\tTotalP50\tTotalP95\tTotalP99\t\n")

	for _, row := range r.Rows {
		row.print(t)
	}

	_ = t.Flush()
	r.printCauses(w)
	_, _ = fmt.Fprintf(w, "Bookings: %d doubled, %d ran after NotRun, %d answered but not run\n",
		len(r.Duplicated), len(r.RanAfterNotRun), len(r.AnsweredNotRun))
}

func (row *Row) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t", row.Phase, row.Kind)
	for _, c := range reportColumns {
		_, _ = fmt.Fprintf(w, "%d\t", row.Counts[string(c)])
	}

	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t\n",
		quantileMillis(row.FirstToken, 50), quantileMillis(row.FirstToken, 95), quantileMillis(row.Total, 50), quantileMillis(row.Total, 95), quantileMillis(row.Total, 99))
}

func quantileMillis(h *hdrhistogram.Histogram, q float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}

	return fmt.Sprintf("%.1fms", float64(h.ValueAtQuantile(q))/1000)
}

func (r *Report) printCauses(w io.Writer) {
	for _, row := range r.Rows {
		for _, cause := range slices.Sorted(maps.Keys(row.Causes)) {
			_, _ = fmt.Fprintf(w, "%s %s refused for %s: %d\n", row.Phase, row.Kind, cause, row.Causes[cause])
		}
	}
}
