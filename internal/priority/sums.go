package priority

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// ReportTTL is how long the report of an entry counts, and how long sums do. It covers three
	// lost datagrams in a row.
	ReportTTL = time.Second
	// maxReports is the maximum number of entries whose reports are summed. More would make the
	// sums little more accurate: with 64 of 289 uneven entries they are off by about 5%.
	maxReports = 64
	// minCompared is the number of reports from which one of them is compared with the others.
	minCompared = 4
	// maxToMedian is the ratio to the median of the other reports above which a report is
	// excluded, if it also exceeds a maxToSum part of their sum. Ordinary unevenness stays below:
	// of 14 entries whose logarithm of demand deviates by 1, the largest has 5.5 times the median.
	maxToMedian = 8
	maxToSum    = 0.25
)

// Sums sums what the entries report for one group, at the agent beside its rank 0.
//
// Load pattern: entries report every 250 ms while the group is overloaded, some datagrams are
// lost, and a faulty entry may report counts that no entry has. If these entered the sums at an
// urgent level, all entries would refuse the requests of the levels after it.
type Sums struct {
	reports map[netip.AddrPort]report
}

type report struct {
	counts     Counts
	entries    int
	validUntil time.Time
}

// size is the number by which reports are compared.
func (r *report) size() float64 {
	t := r.counts.Total()

	return float64(max(t.Demand, t.Placed))
}

// Report records the report of an entry, which replaces its previous one. entries is the number of
// entries that it knows.
func (s *Sums) Report(now time.Time, from netip.AddrPort, c Counts, entries int) {
	if s.reports == nil {
		s.reports = make(map[netip.AddrPort]report)
	}

	if _, known := s.reports[from]; !known && len(s.reports) >= maxReports {
		s.expire(now)

		if len(s.reports) >= maxReports {
			return
		}
	}

	s.reports[from] = report{counts: c, entries: entries, validUntil: now.Add(ReportTTL)}
}

// Reset forgets all reports.
func (s *Sums) Reset() { clear(s.reports) }

func (s *Sums) expire(now time.Time) {
	for from, r := range s.reports {
		if !now.Before(r.validUntil) {
			delete(s.reports, from)
		}
	}
}

// Sum is the sum of the valid reports.
type Sum struct {
	Counts Counts
	// Reports is the number of reports that were summed.
	Reports int
	// Excluded lists the entries whose reports are too large to be true.
	Excluded []netip.AddrPort
}

// At returns the sum of the reports that are valid at now. If there are more entries than reports
// are kept, it is scaled by the number of entries.
func (s *Sums) At(now time.Time) Sum {
	s.expire(now)

	var (
		out     Sum
		sizes   = make([]float64, 0, len(s.reports))
		entries = make([]int, 0, len(s.reports))
		total   = 0.0
	)

	for _, r := range s.reports {
		sizes = append(sizes, r.size())
		entries = append(entries, r.entries)
		total += r.size()
	}

	slices.Sort(sizes)
	slices.Sort(entries)

	for from, r := range s.reports {
		if isAbsurd(r.size(), sizes, total) {
			out.Excluded = append(out.Excluded, from)

			continue
		}

		out.Counts.Add(&r.counts)
		out.Reports++
	}

	// The median, so that no single entry decides the number.
	if len(s.reports) == maxReports && out.Reports > 0 {
		out.Counts.scale(max(1, float64(entries[len(entries)/2])/float64(out.Reports)))
	}

	return out
}

// isAbsurd reports whether a report is too large, compared with the others. sorted holds the sizes
// of all reports, total their sum.
func isAbsurd(size float64, sorted []float64, total float64) bool {
	if len(sorted) < minCompared || size <= maxToSum*(total-size) {
		return false
	}

	i, _ := slices.BinarySearch(sorted, size)
	others := slices.Delete(slices.Clone(sorted), i, i+1)

	return size > maxToMedian*max(1, others[len(others)/2])
}

func (c *Counts) scale(factor float64) {
	for i := range c {
		n := &c[i]
		n.Demand, n.Placed, n.Refused = scaled(n.Demand, factor), scaled(n.Placed, factor), scaled(n.Refused, factor)
	}
}

func scaled(n uint32, factor float64) uint32 { return uint32(min(float64(n)*factor, 1<<32-1)) }
