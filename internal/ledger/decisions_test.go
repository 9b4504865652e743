package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Two operators take out different zones under number 7 at the same moment, and
// both send again, since their answers were lost in a restart. One of the two
// decisions stands; the other operator is told whose it is, each time.
func TestRacingOperators(t *testing.T) {
	t.Parallel()

	limits := ledger.DefaultLimits()
	b := newBed(t, limits)
	p1 := b.plan(b.zonePlan("ayutthaya", true))
	p2 := b.plan(b.zonePlan("saraburi", true))

	first := b.decide("may", 7, p1)
	require.Equal(t, wire.DecisionState_DecisionMade, first.GetState())

	for range 3 {
		b.restart(limits)

		again := b.decide("may", 7, p1)
		require.True(t, again.GetRepeated())
		require.Equal(t, first.GetVersion(), again.GetVersion())
		require.Equal(t, first.GetState(), again.GetState())

		lost := b.decide("non", 7, p2)
		require.Equal(t, wire.DecisionState_DecisionConflict, lost.GetState())
		require.Equal(t, "may", lost.GetWinner().GetOperator())
		require.Equal(t, p1, lost.GetWinner().GetPlanID())
	}

	require.Nil(t, b.ledger.Records().Get("Zone/saraburi"))
}

// An operator's answer is lost. She makes the plan again, now against a state
// in which it is carried out and then undone by another, and confirms under her
// old number: she gets her first answer, and the zone does not go out again.
func TestResendByANewPlan(t *testing.T) {
	t.Parallel()

	b := newBed(t, ledger.DefaultLimits())
	first := b.decide("may", 1, b.plan(b.zonePlan("ayutthaya", true)))
	b.decide("non", 2, b.plan(b.zonePlan("ayutthaya", false)))

	again := b.decide("may", 1, b.plan(b.zonePlan("ayutthaya", true)))
	require.True(t, again.GetRepeated())
	require.Equal(t, first.GetVersion(), again.GetVersion())
	require.False(t, b.ledger.Records().Get("Zone/ayutthaya").GetZone().GetOut())
}

// Two plans are each sound alone: taking out one of two zones. Confirmed one
// after the other they would leave no zone. The second is refused and names
// what changed; a plan that touches no capacity is not held up by it.
func TestPlanRace(t *testing.T) {
	t.Parallel()

	b := newBed(t, ledger.DefaultLimits())
	p1 := b.plan(b.zonePlan("ayutthaya", true))
	p2 := b.plan(b.zonePlan("saraburi", true))
	share := b.plan(&wire.Plan{Changes: []*wire.Change{{
		Key:   "Workspace/w",
		After: &wire.Record{Key: "Workspace/w", Value: &wire.Record_Workspace{Workspace: &wire.Workspace{Name: "w", Weight: 2}}},
	}}})

	require.Equal(t, wire.DecisionState_DecisionMade, b.decide("may", 1, p1).GetState())

	late := b.decide("non", 2, p2)
	require.Equal(t, wire.DecisionState_DecisionBaseChanged, late.GetState())
	require.Contains(t, late.GetDetails()[0], "Zone/ayutthaya changed")
	require.Equal(t, wire.DecisionState_DecisionMade, b.decide("non", 3, share).GetState())

	again := b.decide("non", 2, p2)
	require.True(t, again.GetRepeated(), "a refusal is an answer too")
	require.Equal(t, wire.DecisionState_DecisionBaseChanged, again.GetState())
}

// A plan found enough targets left. Before it is confirmed a rack goes, and
// what would remain cannot carry the load any more.
func TestTargetsLostBetweenPlanAndConfirm(t *testing.T) {
	t.Parallel()

	b := newBed(t, ledger.DefaultLimits())
	b.decide("may", 1, b.plan(b.zonePlan("ayutthaya", false)))
	b.report(agent("a", 1, 1), agent("b", 1, 1))

	plan := b.zonePlan("saraburi", true)
	plan.Needs = []*wire.NeedLine{{Service: "cooper-assist", Needed: 15, During: 20, After: 20, Reduces: true}}
	id := b.plan(plan)
	b.gone(agent("b", 1, 1))

	got := b.decide("may", 2, id)
	require.Equal(t, wire.DecisionState_DecisionBaseChanged, got.GetState())
	require.Contains(t, got.GetDetails()[0], "would bear 10 requests, needs 15")

	plan.Override = true
	require.Equal(t, wire.DecisionState_DecisionMade, b.decide("may", 3, b.plan(plan)).GetState())
}

func TestRefusedPlanNeedsItsOverride(t *testing.T) {
	t.Parallel()

	b := newBed(t, ledger.DefaultLimits())
	plan := b.zonePlan("ayutthaya", true)
	plan.Refusals = []string{"cooper-assist would have no target left"}

	got := b.decide("may", 1, b.plan(plan))
	require.Equal(t, wire.DecisionState_DecisionRefused, got.GetState())
	require.Equal(t, plan.GetRefusals(), got.GetDetails())
	require.Nil(t, b.ledger.Records().Get("Zone/ayutthaya"))
}

// Decisions are kept in bounded number. An old one that is sent again after it
// was forgotten must not be decided a second time.
func TestForgottenNumbersStayUsed(t *testing.T) {
	t.Parallel()

	limits := ledger.DefaultLimits()
	limits.MaxDecisions = 2
	b := newBed(t, limits)
	id := b.plan(b.zonePlan("ayutthaya", true))
	b.decide("may", 1, id)

	for n := uint64(2); n < 5; n++ {
		b.decide("may", n, b.plan(b.zonePlan("ayutthaya", n%2 == 0)))
	}

	b.restart(limits)

	got := b.decide("may", 1, id)
	require.Equal(t, wire.DecisionState_DecisionForgotten, got.GetState())
	require.EqualValues(t, 2, got.GetFloor())
	require.Equal(t, wire.DecisionState_DecisionNoPlan, b.decide("may", 9, "P999").GetState())
}

// Large plans that nobody confirms would fill the memory of the control VMs; the
// oldest are dropped, and a plan is dropped once it is decided.
func TestPlansAreBounded(t *testing.T) {
	t.Parallel()

	limits := ledger.DefaultLimits()
	limits.MaxPlanBytes = 300
	b := newBed(t, limits)
	first := b.plan(b.zonePlan("ayutthaya", true))

	for range 5 {
		b.plan(b.zonePlan("saraburi", true))
	}

	last := b.plan(b.zonePlan("saraburi", true))
	b.restart(limits)
	require.Equal(t, wire.DecisionState_DecisionNoPlan, b.decide("may", 1, first).GetState())
	require.Equal(t, wire.DecisionState_DecisionMade, b.decide("may", 1, last).GetState())
	require.Equal(t, wire.DecisionState_DecisionNoPlan, b.decide("may", 2, last).GetState())
	require.True(t, b.decide("may", 1, last).GetRepeated())
}
