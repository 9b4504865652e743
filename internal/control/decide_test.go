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

// Operators confirm different plans under one number at several control VMs concurrently,
// each several times. Exactly one plan must be carried out, and all answers must name it.
func TestConcurrentConfirmsOfOneNumberHaveOneWinner(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		vms := newControlVMs(t, 3)
		plans := make([]string, 2)

		for i, declaration := range []string{"[Zone \"a\"]\nOut = true\n", "[Zone \"b\"]\nOut = true\n"} {
			plan, err := vms.servers[i].Plan(t.Context(), &wire.PlanRequest{Operator: "may", Declaration: []byte(declaration)})
			require.NoError(t, err)
			plans[i] = plan.GetPlan().GetID()
		}

		answers := make([]*wire.DecisionAnswer, 8)

		var wg sync.WaitGroup

		for i := range answers {
			wg.Go(func() {
				r := &wire.ConfirmRequest{Operator: fmt.Sprint(i % 2), Number: 5, PlanID: plans[i%2]}
				if answer, err := vms.servers[i%3].Confirm(t.Context(), r); err == nil {
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

		vms.isolate(0, true)

		for i, plan := range plans {
			again, err := vms.servers[1].Confirm(t.Context(), &wire.ConfirmRequest{Operator: "may", Number: 5, PlanID: plan})
			require.NoError(t, err)
			require.Equal(t, answers[i].GetState(), again.GetAnswer().GetState(), "the answer changed with the leader")
			require.Equal(t, answers[i].GetVersion(), again.GetAnswer().GetVersion())
		}
	})
}

// A claim is committed but its answer is lost. The error must not read as a rejection: a
// retry with the same attempt ID must be granted, and another attempt must find the claim
// held. If nothing was proposed, the error must say so.
func TestProposalErrorsReportOutcome(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		vms := newControlVMs(t, 2)
		claim := func(attempt string) (*wire.ClaimResponse, error) {
			return vms.servers[0].Claim(t.Context(), &wire.ClaimRequest{
				Service: "job-desk", Key: "k", BodyDigest: []byte("d"), Holder: &wire.ClaimHolder{AttemptID: attempt},
			})
		}

		vms.isolate(0, true)

		_, err := claim("a1")
		require.Equal(t, control.OutcomeNotDone, outcomeOf(err))
		vms.isolate(0, false)

		vms.loseAnswers = true

		_, err = claim("a1")
		require.Equal(t, control.OutcomeUnknown, outcomeOf(err))

		vms.loseAnswers = false

		got, err := claim("a2")
		require.NoError(t, err)
		require.Equal(t, wire.ClaimState_ClaimOpen, got.GetState())

		got, err = claim("a1")
		require.NoError(t, err)
		require.Equal(t, wire.ClaimState_ClaimGranted, got.GetState())
	})
}

func outcomeOf(err error) string {
	var rpcError twirp.Error
	if !errors.As(err, &rpcError) {
		return ""
	}

	return rpcError.Meta(control.OutcomeKey)
}

// A control VM restarts from its snapshot after 200 decisions. A resent decision must get
// its first answer, and readers must continue from the version that they hold.
func TestControlVMRestartsFromItsSnapshot(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		vms := newControlVMs(t, 1)
		readers := newReaderSet(t, vms)
		defer readers.stopAll()

		r := readers.start(entryNode("entry-1", 1), 0)

		for n := range uint64(200) {
			vms.decide(t, 0, n+1, fmt.Sprintf("[Workspace \"w%d\"]\nWeight = %d\n", n%9, n+1))
		}

		time.Sleep(time.Second)

		version := r.Snapshot().Version
		vms.restart(t, 0)
		time.Sleep(2 * time.Second)

		repeated := vms.decide(t, 0, 150, "[Workspace \"w5\"]\nWeight = 150\n")
		require.True(t, repeated.GetRepeated())
		require.Equal(t, version, r.Snapshot().Version)
		require.True(t, r.Snapshot().Valid(time.Now()))

		vms.decide(t, 0, 201, "[Workspace \"w5\"]\nWeight = 7\n")
		time.Sleep(time.Second)

		w, _ := r.Snapshot().Workspace("w5")
		require.EqualValues(t, 7, w.GetWeight())
	})
}
