package retries

import (
	"net/netip"
	"time"

	"github.com/parsleygate/parsleygate/internal/shares"
)

const (
	// reportsPerWindow is how often an entry reports early while it uses its part of the budget.
	reportsPerWindow = 16
	// demandWeight is the fraction of what is left of the budget that is divided by the requests of the
	// entries. The rest is divided evenly, so that entries with few requests have a part.
	demandWeight = 0.8
	// reportLag is the time after which the retries of an entry are in the reports that the others
	// receive, apart from lost polls.
	reportLag = time.Second
	// reportTTL is how long the report of a control VM is current. It exceeds the time between two
	// answers to polls.
	reportTTL = 4 * time.Second
)

// Report is what a control VM has recorded of the other entries.
type Report struct {
	// Usage is the sum over the other entries, by service. It includes earlier incarnations of this
	// entry.
	Usage map[string]Usage
	// RecordedSince is since when the control VM has recorded it.
	RecordedSince time.Time
}

type receivedReport struct {
	Report

	at time.Time
}

// Reported returns what this entry counted in the last window for each service of which a request
// was retried in it, by any entry.
func (s *SharedBudget) Reported(now time.Time) map[string]Usage {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.expireUnanswered(now)

	out := make(map[string]Usage)

	for service, a := range s.accounts {
		a.expire(now, s.Window)

		others := s.othersUsage(now, service)
		if u := a.usage(now.Add(-s.Window)); u.Retries+others.Retries > 0 {
			out[service] = u
		}

		a.unreported = 0
	}

	return out
}

// SetReport records the report of a control VM.
func (s *SharedBudget) SetReport(now time.Time, control netip.AddrPort, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.reports == nil {
		s.reports = make(map[netip.AddrPort]receivedReport)
	}

	// A control VM that has just started does not know what was spent before.
	if now.Sub(r.RecordedSince) >= s.Window {
		s.reports[control] = receivedReport{Report: r, at: now}
	}
}

// othersUsage is what the other entries had counted for a service at a time.
type othersUsage struct {
	Usage

	at time.Time
	// isCurrent says whether a control VM has reported lately.
	isCurrent bool
}

// othersUsage returns the latest report for a service. Reports that differ miss retries that another one
// has, so the highest counts.
func (s *SharedBudget) othersUsage(now time.Time, service string) othersUsage {
	var out othersUsage

	for control, r := range s.reports {
		age := now.Sub(r.at)
		if age >= s.Window {
			delete(s.reports, control)

			continue
		}

		out.isCurrent = out.isCurrent || age <= reportTTL

		if u := r.Usage[service]; u.Retries > out.Retries {
			u.Requests = int(float64(u.Requests) * (1 - age.Seconds()/s.Window.Seconds()))
			out.Usage, out.at = u, r.at
		}
	}

	return out
}

// hasUsedPart reports whether this entry has used its part of what all entries together left of the
// budget at the report about the others. All of them may use their parts before they hear of it.
func (s *SharedBudget) hasUsedPart(now time.Time, a *account, others *othersUsage, share shares.Share) bool {
	own := a.usage(now.Add(-s.Window))
	total := usableFraction * (s.Ratio*float64(own.Requests+others.Requests) + s.Slack)
	unreported := others.at.Add(-reportLag)
	recent := len(after(a.decidedAt, unreported))
	left := total - float64(others.Retries+own.Retries-recent)

	part := 0.0
	if share.Entries > 0 {
		part = 1 / float64(share.Entries)
	}

	if others.isCurrent {
		requests := float64(own.Requests) / float64(max(1, own.Requests+others.Requests))
		part = demandWeight*requests + (1-demandWeight)*part
	}

	return float64(recent+1) > left*part+a.initial
}
