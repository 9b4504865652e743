package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/forecast"
)

// ForecastState describes the forecast of a group's passes, for operators. Its numbers are 0 while the
// forecast is not in use.
type ForecastState struct {
	// InUse is set while the forecast limits the requests of the group. Problem says what is wrong
	// with the published figures if it cannot.
	InUse   bool
	Problem string `json:",omitempty"`
	// Slow is set while a rank is slow, so that the forecast is not used.
	Slow bool
	Aim  forecast.Aim
	// Limit is the number of requests per target that all entries together may have.
	Limit float64
	// WorkFactor is by how much uneven demand for experts multiplies the work of a pass now, Peak
	// the largest such factor in the shifts of demand that are remembered.
	WorkFactor, Peak float64
}

func (g *group) forecastState(now time.Time) *ForecastState {
	// The plan is of the last request, which may be long ago.
	d := g.forecast.Decide(now, g.plan.load/max(1, g.plan.usable))
	slow := g.isSlow(now)

	return &ForecastState{
		InUse: d.Valid && !slow, Problem: g.forecast.Problem(), Slow: slow, Aim: d.Aim, Limit: d.Limit, WorkFactor: d.Factor, Peak: d.Peak,
	}
}

// String describes the forecast for logs.
func (f *ForecastState) String() string {
	switch {
	case f.Problem != "":
		return "no forecast: " + f.Problem
	case f.Slow:
		return "no forecast: a rank is slow"
	case !f.InUse:
		return "no forecast yet"
	default:
		return fmt.Sprintf("forecast limit %.1f, aim %s, work factor %.2f, peak %.2f", f.Limit, f.Aim, f.WorkFactor, f.Peak)
	}
}

// ForecastProblem is why the requests of a group are not limited by a forecast; empty if they are,
// or if too little has been observed yet.
type ForecastProblem struct{ Service, Group, Problem string }

// ForecastChanges returns the groups of prioritized services whose forecast has become invalid or
// valid since the last call.
func (d *Dispatcher) ForecastChanges() []ForecastProblem {
	var out []ForecastProblem

	for _, s := range d.services {
		if !s.Prioritized {
			continue
		}

		for _, g := range s.groups {
			if problem := g.forecast.Problem(); problem != g.reportedProblem {
				g.reportedProblem = problem
				out = append(out, ForecastProblem{Service: s.Name, Group: g.name, Problem: problem})
			}
		}
	}

	slices.SortFunc(out, func(a, b ForecastProblem) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Group, b.Group))
	})

	return out
}
