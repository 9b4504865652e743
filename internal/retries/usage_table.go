package retries

import "time"

// UsageTable sums what entries report of their retries. It does no I/O. StartedAt must be set before
// the first call.
type UsageTable struct {
	// StartedAt is since when reports have been recorded.
	StartedAt time.Time

	reports map[Source]sourceUsage
	// totals sums the reports as they were at totalsAt, and counted is the part of each source in it.
	totals   map[string]Usage
	counted  map[Source]map[string]Usage
	totalsAt time.Time
}

// Source is one incarnation of an entry.
type Source struct {
	ID          string
	Incarnation uint64
}

// sourceUsage is the last report of a source. It counts for a window after at, also if the source has
// ended: the targets have received the retries, or may still read them.
type sourceUsage struct {
	usage  map[string]Usage
	at     time.Time
	window time.Duration
}

const (
	// maxReportedServices bounds the services in a report.
	maxReportedServices = 64
	// totalsTTL is how long sums are used, since each entry of a large deployment requests them
	// several times a second.
	totalsTTL = 100 * time.Millisecond
)

// Record replaces the report of a source: what it counted by service in a window that ends now.
func (t *UsageTable) Record(now time.Time, source Source, window time.Duration, usage map[string]Usage) {
	if len(usage) == 0 || len(usage) > maxReportedServices || window <= 0 {
		delete(t.reports, source)

		return
	}

	if t.reports == nil {
		t.reports = make(map[Source]sourceUsage)
	}

	t.reports[source] = sourceUsage{usage: usage, at: now, window: window}
}

// Others returns the sum of the reports of all sources but one, by service.
func (t *UsageTable) Others(now time.Time, source Source) map[string]Usage {
	if now.Sub(t.totalsAt) >= totalsTTL {
		t.sum(now)
	}

	own := t.counted[source]
	out := make(map[string]Usage, len(t.totals))

	for service, total := range t.totals {
		u := own[service]
		if others := (Usage{Requests: total.Requests - u.Requests, Retries: total.Retries - u.Retries}); others != (Usage{}) {
			out[service] = others
		}
	}

	return out
}

// sum removes the reports whose windows have passed, and sums the others.
func (t *UsageTable) sum(now time.Time) {
	t.totals, t.counted, t.totalsAt = make(map[string]Usage), make(map[Source]map[string]Usage, len(t.reports)), now

	for source, r := range t.reports {
		counted := r.counted(now)
		if len(counted) == 0 {
			delete(t.reports, source)

			continue
		}

		for service, u := range counted {
			total := t.totals[service]
			t.totals[service] = Usage{Requests: total.Requests + u.Requests, Retries: total.Retries + u.Retries}
		}

		t.counted[source] = counted
	}
}

// counted returns what of a report counts now, by service. Retries that were unread at the report may be read for as
// long as entries wait for that, and then count for a window.
func (r *sourceUsage) counted(now time.Time) map[string]Usage {
	out := make(map[string]Usage, len(r.usage))
	left := r.remaining(now)

	for service, u := range r.usage {
		switch {
		case left > 0:
			out[service] = Usage{Requests: int(left * float64(u.Requests)), Retries: u.Retries}
		case u.Unread > 0 && now.Sub(r.at) < maxUnanswered+r.window:
			out[service] = Usage{Retries: min(u.Unread, u.Retries)}
		}
	}

	return out
}

// remaining returns the fraction of the window of a report that is still within a window that ends now. The
// requests outside it pay for no retries anymore, and those after it may be reported by the entries
// to which they have moved.
func (r *sourceUsage) remaining(now time.Time) float64 {
	return 1 - now.Sub(r.at).Seconds()/r.window.Seconds()
}
