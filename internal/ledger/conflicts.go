package ledger

import (
	"fmt"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// conflictingChanges returns the operators' changes since the plan's base version that
// conflict with the plan: changes of a record that the plan writes, and, if the plan
// changes capacity, of any record that affects capacity. Without it, two plans that
// are each safe alone could both be applied, such as two that each take out one of two
// zones. Processes that join or leave do not count here; capacityShortfalls covers
// them.
func (l *Ledger) conflictingChanges(plan *wire.Plan) []string {
	written := map[string]bool{}
	capacity := false

	for _, c := range plan.GetChanges() {
		written[c.GetKey()] = true
		capacity = capacity || AffectsCapacity(c.GetKey())
	}

	records := l.records.current()
	if plan.GetBaseVersion() < records.horizon {
		return []string{fmt.Sprintf("the plan's base %d is too old to compare with", plan.GetBaseVersion())}
	}

	var out []string

	for _, c := range lastPerKey(records.changes, plan.GetBaseVersion()) {
		if written[c.key] || capacity && AffectsCapacity(c.key) {
			out = append(out, fmt.Sprintf("%s changed at version %d, after the plan's base %d",
				c.key, c.version, plan.GetBaseVersion()))
		}
	}

	return out
}

// capacityShortfalls returns the services whose targets no longer suffice after the
// plan, although they did when the plan was made.
func (l *Ledger) capacityShortfalls(plan *wire.Plan) []string {
	if len(plan.GetNeeds()) == 0 {
		return nil
	}

	after := Overlay(l.records.current().All(), plan.GetChanges())
	capacity := map[string]uint32{}

	for _, line := range WarmCapacities(after) {
		capacity[line.Service] += line.Requests
	}

	var out []string

	for _, need := range plan.GetNeeds() {
		remaining := capacity[need.GetService()]
		if need.GetReduces() && remaining < need.GetNeeded() && need.GetAfter() >= need.GetNeeded() {
			out = append(out, fmt.Sprintf("targets left since the plan: %s would bear %d requests, needs %d",
				need.GetService(), remaining, need.GetNeeded()))
		}
	}

	return out
}
