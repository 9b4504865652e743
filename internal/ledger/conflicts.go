package ledger

import (
	"fmt"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// conflictingChanges says what operators changed since the plan was made that matters
// to it: the records it writes, and where it touches what services bear, every
// record of that kind. It guards against two plans that were each sound alone,
// such as two zones taken out at once. Processes that come and go do not count;
// shortfalls looks at what they leave.
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

// capacityShortfalls says for which services too few targets are left since the plan
// was made, though the plan found enough.
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
