package ledger

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// decisionTable keeps the plans that await confirmation, and the decisions with their
// answers. All operators share one number space, so of two operators who race under
// one number only one succeeds.
type decisionTable struct {
	limits    Limits
	plans     []*wire.Plan
	planBytes int
	byNumber  map[uint64]*wire.DecisionEntry
	// entries holds the decisions in the order in which they were made. It is only
	// appended to or replaced, so that readers can share it.
	entries []*wire.DecisionEntry
	// floor is the largest number whose answer was dropped. Numbers up to it are
	// refused, since it is unknown whether they were decided.
	floor uint64
}

func newDecisionTable(limits Limits) decisionTable {
	return decisionTable{limits: limits, byNumber: map[uint64]*wire.DecisionEntry{}}
}

// storePlan stores a plan under a unique ID.
func (t *decisionTable) storePlan(index uint64, plan *wire.Plan) string {
	stored := proto.CloneOf(plan)
	stored.ID = fmt.Sprintf("P%d", index)
	t.plans = append(t.plans, stored)
	t.planBytes += proto.Size(stored)

	for len(t.plans) > t.limits.MaxPlans || len(t.plans) > 1 && t.planBytes > t.limits.MaxPlanBytes {
		t.dropPlan(0)
	}

	return stored.GetID()
}

func (t *decisionTable) dropPlan(i int) {
	t.planBytes -= proto.Size(t.plans[i])
	t.plans = slices.Delete(t.plans, i, i+1)
}

func (t *decisionTable) plan(id string) *wire.Plan {
	for _, plan := range t.plans {
		if plan.GetID() == id {
			return plan
		}
	}

	return nil
}

// previousAnswer returns the answer for a number that was already decided or lies at
// or below the floor, or nil if the number is free. A resend matches if it confirms
// the same plan or another plan of the same intent: an operator whose answer was lost
// may make a new plan before confirming again. The answer names the operator who used
// the number first.
func (t *decisionTable) previousAnswer(d *wire.Decision, plan *wire.Plan) *wire.DecisionAnswer {
	if d.GetNumber() <= t.floor {
		return &wire.DecisionAnswer{State: wire.DecisionState_DecisionForgotten, Floor: t.floor}
	}

	entry := t.byNumber[d.GetNumber()]
	if entry == nil {
		return nil
	}

	if !sameContent(entry, d, plan) {
		return &wire.DecisionAnswer{State: wire.DecisionState_DecisionConflict, Winner: entry, Floor: t.floor}
	}

	answer := answerOf(entry)
	answer.Repeated = true

	return answer
}

func sameContent(entry *wire.DecisionEntry, d *wire.Decision, plan *wire.Plan) bool {
	if entry.GetPlanID() == d.GetPlanID() {
		return true
	}

	return plan != nil && bytes.Equal(plan.GetIntentDigest(), entry.GetIntentDigest())
}

func answerOf(entry *wire.DecisionEntry) *wire.DecisionAnswer {
	return &wire.DecisionAnswer{
		State:   entry.GetState(),
		Version: entry.GetVersion(),
		Details: entry.GetDetails(),
		Winner:  entry,
	}
}

// record stores the first answer to a number. Above the limit the smallest number is
// dropped and raises the floor, so that it cannot be decided again.
func (t *decisionTable) record(entry *wire.DecisionEntry) {
	t.byNumber[entry.GetNumber()] = entry
	t.entries = append(t.entries, entry)

	if len(t.byNumber) <= t.limits.MaxDecisions {
		return
	}

	smallest := slices.Min(slices.Collect(maps.Keys(t.byNumber)))
	t.floor = smallest
	t.entries = slices.DeleteFunc(slices.Clone(t.entries), func(e *wire.DecisionEntry) bool {
		return e.GetNumber() == smallest
	})

	delete(t.byNumber, smallest)
}

// lastIndex returns the log index of the latest decision, or zero.
func (t *decisionTable) lastIndex() uint64 {
	if len(t.entries) == 0 {
		return 0
	}

	return t.entries[len(t.entries)-1].GetIndex()
}

// decide applies the plan that d confirms, at most once, and stores the answer. It
// drops the plan, which may be large; the answer names it.
func (l *Ledger) decide(index uint64, d *wire.Decision) *wire.DecisionAnswer {
	plan := l.decisions.plan(d.GetPlanID())

	if answer := l.decisions.previousAnswer(d, plan); answer != nil {
		return answer
	}

	if plan == nil {
		return &wire.DecisionAnswer{State: wire.DecisionState_DecisionNoPlan}
	}

	entry := &wire.DecisionEntry{
		Operator:     d.GetOperator(),
		Number:       d.GetNumber(),
		PlanID:       d.GetPlanID(),
		IntentDigest: plan.GetIntentDigest(),
		AtUnixMillis: d.GetAtUnixMillis(),
		Source:       plan.GetSource(),
		Index:        index,
	}
	entry.State, entry.Details = l.checkPlan(plan)

	if entry.GetState() == wire.DecisionState_DecisionMade {
		l.applyPlan(index, plan)
		entry.Details = changeTexts(plan.GetChanges())
	}

	entry.Version = l.records.version
	l.decisions.record(entry)
	l.decisions.dropPlan(slices.Index(l.decisions.plans, plan))

	return answerOf(entry)
}

// checkPlan returns whether the plan may still be applied, and the reasons if not.
func (l *Ledger) checkPlan(plan *wire.Plan) (state wire.DecisionState, details []string) {
	if details = l.conflictingChanges(plan); len(details) > 0 {
		return wire.DecisionState_DecisionBaseChanged, details
	}

	if plan.GetOverride() {
		return wire.DecisionState_DecisionMade, nil
	}

	if len(plan.GetRefusals()) > 0 {
		return wire.DecisionState_DecisionRefused, plan.GetRefusals()
	}

	if details = l.capacityShortfalls(plan); len(details) > 0 {
		return wire.DecisionState_DecisionBaseChanged, details
	}

	return wire.DecisionState_DecisionMade, nil
}

func (l *Ledger) applyPlan(index uint64, plan *wire.Plan) {
	for _, c := range plan.GetChanges() {
		if c.GetKind() == wire.ChangeKind_ChangeRemove {
			l.records.remove(index, c.GetKey())
			continue
		}

		record := proto.CloneOf(c.GetAfter())
		record.Key = c.GetKey()
		l.records.put(index, record)
	}
}

// maxDetailLines limits the lines that are stored with one decision.
const maxDetailLines = 40

func changeTexts(changes []*wire.Change) []string {
	var out []string

	for i, c := range changes {
		if i == maxDetailLines {
			return append(out, fmt.Sprintf("and %d more changes", len(changes)-i))
		}

		out = append(out, c.GetText())
	}

	return out
}
