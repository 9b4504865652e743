package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Two operators confirm different plans under the same number and both resend after a
// restart lost their answers. Exactly one decision is made; the other operator gets
// the conflict and the first operator's name every time.
func TestRacingDecisionsUnderOneNumber(t *testing.T) {
	t.Parallel()

	limits := ledger.DefaultLimits()
	h := newHarness(t, limits)
	p1 := h.plan(h.zonePlan("ayutthaya", true))
	p2 := h.plan(h.zonePlan("saraburi", true))

	first := h.decide("may", 7, p1)
	require.Equal(t, wire.DecisionState_DecisionMade, first.GetState())

	for range 3 {
		h.restart(limits)

		again := h.decide("may", 7, p1)
		require.True(t, again.GetRepeated())
		require.Equal(t, first.GetVersion(), again.GetVersion())
		require.Equal(t, first.GetState(), again.GetState())

		lost := h.decide("non", 7, p2)
		require.Equal(t, wire.DecisionState_DecisionConflict, lost.GetState())
		require.Equal(t, "may", lost.GetWinner().GetOperator())
		require.Equal(t, p1, lost.GetWinner().GetPlanID())
	}

	require.Nil(t, h.ledger.Records().Get("Zone/saraburi"))
}

// An operator's answer is lost, and another operator reverts the decision. The first
// one makes the plan again and confirms it under the old number. The first answer is
// repeated, and the zone is not taken out again.
func TestResendWithNewPlanRepeatsFirstAnswer(t *testing.T) {
	t.Parallel()

	h := newHarness(t, ledger.DefaultLimits())
	first := h.decide("may", 1, h.plan(h.zonePlan("ayutthaya", true)))
	h.decide("non", 2, h.plan(h.zonePlan("ayutthaya", false)))

	again := h.decide("may", 1, h.plan(h.zonePlan("ayutthaya", true)))
	require.True(t, again.GetRepeated())
	require.Equal(t, first.GetVersion(), again.GetVersion())
	require.False(t, h.ledger.Records().Get("Zone/ayutthaya").GetZone().GetOut())
}

// Two plans each take out one of two zones and are safe alone. Applied one after the
// other they would leave no zone, so the second is refused and names the change that
// conflicts. A plan that does not affect capacity is still accepted.
func TestPlanIsRefusedAfterConflictingDecision(t *testing.T) {
	t.Parallel()

	h := newHarness(t, ledger.DefaultLimits())
	p1 := h.plan(h.zonePlan("ayutthaya", true))
	p2 := h.plan(h.zonePlan("saraburi", true))
	share := h.plan(&wire.Plan{Changes: []*wire.Change{{
		Key:   "Workspace/w",
		After: &wire.Record{Key: "Workspace/w", Value: &wire.Record_Workspace{Workspace: &wire.Workspace{Name: "w", Weight: 2}}},
	}}})

	require.Equal(t, wire.DecisionState_DecisionMade, h.decide("may", 1, p1).GetState())

	late := h.decide("non", 2, p2)
	require.Equal(t, wire.DecisionState_DecisionBaseChanged, late.GetState())
	require.Contains(t, late.GetDetails()[0], "Zone/ayutthaya changed")
	require.Equal(t, wire.DecisionState_DecisionMade, h.decide("non", 3, share).GetState())

	again := h.decide("non", 2, p2)
	require.True(t, again.GetRepeated(), "a refusal is stored and repeated as well")
	require.Equal(t, wire.DecisionState_DecisionBaseChanged, again.GetState())
}

// A plan leaves enough targets when it is made. Some targets are removed before it is
// confirmed, and the remaining ones could no longer serve the load, so the decision is
// refused.
func TestTargetsLostBetweenPlanAndConfirm(t *testing.T) {
	t.Parallel()

	h := newHarness(t, ledger.DefaultLimits())
	h.decide("may", 1, h.plan(h.zonePlan("ayutthaya", false)))
	h.report(agent("a", 1, 1), agent("b", 1, 1))

	plan := h.zonePlan("saraburi", true)
	plan.Needs = []*wire.NeedLine{{Service: "cooper-assist", Needed: 15, During: 20, After: 20, Reduces: true}}
	id := h.plan(plan)
	h.reportEnded(agent("b", 1, 1))

	got := h.decide("may", 2, id)
	require.Equal(t, wire.DecisionState_DecisionBaseChanged, got.GetState())
	require.Contains(t, got.GetDetails()[0], "would bear 10 requests, needs 15")

	plan.Override = true
	require.Equal(t, wire.DecisionState_DecisionMade, h.decide("may", 3, h.plan(plan)).GetState())
}

func TestRefusedPlanNeedsOverride(t *testing.T) {
	t.Parallel()

	h := newHarness(t, ledger.DefaultLimits())
	plan := h.zonePlan("ayutthaya", true)
	plan.Refusals = []string{"cooper-assist would have no target left"}

	got := h.decide("may", 1, h.plan(plan))
	require.Equal(t, wire.DecisionState_DecisionRefused, got.GetState())
	require.Equal(t, plan.GetRefusals(), got.GetDetails())
	require.Nil(t, h.ledger.Records().Get("Zone/ayutthaya"))
}

// The number of stored decisions is limited. A decision that is resent after it was
// dropped must not be made a second time.
func TestDroppedDecisionNumbersAreNotReused(t *testing.T) {
	t.Parallel()

	limits := ledger.DefaultLimits()
	limits.MaxDecisions = 2
	h := newHarness(t, limits)
	id := h.plan(h.zonePlan("ayutthaya", true))
	h.decide("may", 1, id)

	for n := uint64(2); n < 5; n++ {
		h.decide("may", n, h.plan(h.zonePlan("ayutthaya", n%2 == 0)))
	}

	h.restart(limits)

	got := h.decide("may", 1, id)
	require.Equal(t, wire.DecisionState_DecisionForgotten, got.GetState())
	require.EqualValues(t, 2, got.GetFloor())
	require.Equal(t, wire.DecisionState_DecisionNoPlan, h.decide("may", 9, "P999").GetState())
}

// Large plans that are never confirmed would fill the memory of the control VMs. The
// oldest plans are dropped above the limit, and every plan once it is decided.
func TestStoredPlansAreBounded(t *testing.T) {
	t.Parallel()

	limits := ledger.DefaultLimits()
	limits.MaxPlanBytes = 300
	h := newHarness(t, limits)
	first := h.plan(h.zonePlan("ayutthaya", true))

	for range 5 {
		h.plan(h.zonePlan("saraburi", true))
	}

	last := h.plan(h.zonePlan("saraburi", true))
	h.restart(limits)
	require.Equal(t, wire.DecisionState_DecisionNoPlan, h.decide("may", 1, first).GetState())
	require.Equal(t, wire.DecisionState_DecisionMade, h.decide("may", 1, last).GetState())
	require.Equal(t, wire.DecisionState_DecisionNoPlan, h.decide("may", 2, last).GetState())
	require.True(t, h.decide("may", 1, last).GetRepeated())
}
