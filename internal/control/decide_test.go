package control_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Operators on two control VMs confirm different plans under one number at the
// same moment, several times each. Exactly one plan is carried out, and each of
// them is told so.
func TestRacingOperatorsOnTwoControlVMs(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		plans := make([]string, 2)

		for i, declaration := range []string{"[Zone \"a\"]\nOut = true\n", "[Zone \"b\"]\nOut = true\n"} {
			plan, err := g.servers[i].Plan(t.Context(), &wire.PlanRequest{Operator: "may", Declaration: []byte(declaration)})
			require.NoError(t, err)
			plans[i] = plan.GetPlan().GetID()
		}

		answers := make([]*wire.DecisionAnswer, 8)

		var wg sync.WaitGroup

		for i := range answers {
			wg.Go(func() {
				r := &wire.ConfirmRequest{Operator: fmt.Sprint(i % 2), Number: 5, PlanID: plans[i%2]}
				if answer, err := g.servers[i%3].Confirm(t.Context(), r); err == nil {
					answers[i] = answer.GetAnswer()
				}
			})
		}

		wg.Wait()

		winner := answers[0].GetWinner().GetPlanID()

		for i, a := range answers {
			require.Equal(t, winner, a.GetWinner().GetPlanID())

			want := wire.DecisionState_DecisionConflict
			if plans[i%2] == winner {
				want = wire.DecisionState_DecisionMade
			}

			require.Equal(t, want, a.GetState())
		}

		g.isolate(0, true)

		for i, plan := range plans {
			again, err := g.servers[1].Confirm(t.Context(), &wire.ConfirmRequest{Operator: "may", Number: 5, PlanID: plan})
			require.NoError(t, err)
			require.Equal(t, answers[i].GetState(), again.GetAnswer().GetState(), "after a change of leader")
			require.Equal(t, answers[i].GetVersion(), again.GetAnswer().GetVersion())
		}
	})
}

// A claim is committed and its answer lost on the way. The error must not read
// as a refusal; asked again for the same attempt, the claim is granted, and for
// another it is held. Where nothing was proposed, the error says that.
func TestFateOfProposals(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2)
		claim := func(attempt string) (*wire.ClaimResponse, error) {
			return g.servers[0].Claim(t.Context(), &wire.ClaimRequest{
				Service: "job-desk", Key: "k", BodyDigest: []byte("d"), Holder: &wire.ClaimHolder{AttemptID: attempt},
			})
		}

		g.isolate(0, true)

		_, err := claim("a1")
		require.Equal(t, control.OutcomeNotDone, fateOf(err))
		g.isolate(0, false)

		g.lose = true

		_, err = claim("a1")
		require.Equal(t, control.OutcomeUnknown, fateOf(err))

		g.lose = false

		got, err := claim("a2")
		require.NoError(t, err)
		require.Equal(t, wire.ClaimState_ClaimOpen, got.GetState())

		got, err = claim("a1")
		require.NoError(t, err)
		require.Equal(t, wire.ClaimState_ClaimGranted, got.GetState())
	})
}

func fateOf(err error) string {
	var fault twirp.Error
	if !errors.As(err, &fault) {
		return ""
	}

	return fault.Meta(control.OutcomeKey)
}

// A control VM restarts from its snapshot, in a group that took hundreds of
// decisions. Resent decisions get their first answers, and readers go on from
// the version that they hold.
func TestControlVMRestartsFromItsSnapshot(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1)
		f := newFleet(t, g)
		defer f.endAll()

		r := f.start(entry("entry-1", 1), 0)

		for n := range uint64(200) {
			g.decide(t, 0, n+1, fmt.Sprintf("[Workspace \"w%d\"]\nWeight = %d\n", n%9, n+1))
		}

		time.Sleep(time.Second)

		held := r.Snapshot().Version
		g.restart(t, 0)
		time.Sleep(2 * time.Second)

		again := g.decide(t, 0, 150, "[Workspace \"w5\"]\nWeight = 150\n")
		require.True(t, again.GetRepeated())
		require.Equal(t, held, r.Snapshot().Version)
		require.True(t, r.Snapshot().Valid(time.Now()))

		g.decide(t, 0, 201, "[Workspace \"w5\"]\nWeight = 7\n")
		time.Sleep(time.Second)

		w, _ := r.Snapshot().Workspace("w5")
		require.EqualValues(t, 7, w.GetWeight())
	})
}
