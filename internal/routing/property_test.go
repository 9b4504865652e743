package routing_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// expectedState is the state of the targets as derived from the calls of a Chooser.
type expectedState struct {
	c               *routing.Chooser
	now             time.Time
	targets         []routing.Target
	slots           []int
	creditExpiresAt []time.Time
	inFlight        []int
	index           map[string]int
}

// Reports, credits, failures and configuration changes come in any order. A cold target
// must get no more than its agent reserved for this entry. A target that is draining, in
// a zone that is out, or excluded by the request must get nothing. No slot may leak.
func TestColdTargetIsNotChosenBeyondItsCredit(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "targets")
		b := &expectedState{
			targets: targets(n), now: epoch, slots: make([]int, n), creditExpiresAt: make([]time.Time, n),
			inFlight: make([]int, n), index: map[string]int{},
		}
		for i := range b.targets {
			b.targets[i].Cold = true
			b.index[b.targets[i].AgentID] = i
		}

		b.c = newChooser(rapid.Uint64().Draw(t, "seed"), b.targets...)

		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			b.now = b.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			b.step(t, rapid.IntRange(0, n-1).Draw(t, "target"))
		}

		total := 0
		for _, f := range b.inFlight {
			total += f
		}

		require.Equal(t, total, b.c.Capacity(b.now, service).InFlight)
	})
}

func (b *expectedState) step(t *rapid.T, i int) {
	d := &b.targets[i]

	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0:
		b.slots[i] = rapid.IntRange(0, 3).Draw(t, "slots")
		b.creditExpiresAt[i] = b.now.Add(time.Second)
		b.c.ApplyCredit(routing.CreditChanged{AgentID: d.AgentID, Incarnation: d.Incarnation, Slots: b.slots[i], ExpiresAt: b.creditExpiresAt[i]})
	case 1:
		b.c.ApplyReport(routing.ReportReceived{
			AgentID: d.AgentID, Incarnation: d.Incarnation, TakenAt: b.now, Cold: true,
			InFlight: rapid.IntRange(0, 5).Draw(t, "load"), Limit: 3,
		})
	case 2:
		d.ZoneOut = rapid.Bool().Draw(t, "out")
		d.Draining = rapid.Bool().Draw(t, "leaving")

		if rapid.Bool().Draw(t, "restarted") {
			d.Incarnation++
			b.slots[i], b.inFlight[i] = 0, 0
		}

		b.c.ChangeTargets(routing.TargetsChanged{Targets: b.targets})
	case 3:
		b.finish(t, i)
	case 4:
		b.c.RecordUnresponsive(b.now, routing.ConnectionUnresponsive{AgentID: d.AgentID, Incarnation: d.Incarnation})
	case 5:
		b.c.CreditRequests(b.now)
	default:
		b.choose(t, i)
	}
}

func (b *expectedState) finish(t *rapid.T, i int) {
	if b.inFlight[i] == 0 {
		return
	}

	b.inFlight[i]--

	cause := rapid.SampledFrom([]verdict.Cause{
		"", "", verdict.CauseBroken, verdict.CauseTargetDown, verdict.CauseOverload, verdict.CauseZoneOut, verdict.CauseCredit,
	}).Draw(t, "cause")
	if cause == verdict.CauseCredit {
		b.slots[i] = 0
	}

	b.c.Finish(b.now, routing.Finished{AgentID: b.targets[i].AgentID, Incarnation: b.targets[i].Incarnation, Cause: cause})
}

func (b *expectedState) choose(t *rapid.T, excluded int) {
	got, none := b.c.Choose(b.now, routing.Request{
		Service: service, Zone: "saraburi", Region: "central-th",
		Idempotent: rapid.Bool().Draw(t, "idempotent"), Excluded: []string{b.targets[excluded].AgentID},
	})
	if none != nil {
		require.True(t, none.RetryAt.After(b.now))

		return
	}

	i := b.index[got.AgentID]
	require.NotEqual(t, excluded, i)
	require.False(t, b.targets[i].ZoneOut || b.targets[i].Draining, "chosen although leaving or in a zone that is out")
	require.True(t, b.now.Before(b.creditExpiresAt[i]), "chosen without a credit")
	require.Less(t, b.inFlight[i], b.slots[i], "chosen beyond its credit")
	require.Equal(t, b.targets[i].Incarnation, got.Incarnation)

	b.inFlight[i]++
}

// Requests, reports and configuration changes come from several goroutines at once.
func TestChooserConcurrently(t *testing.T) {
	t.Parallel()

	c := newChooser(1, targets(6)...)

	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 200 {
				got, none := c.Choose(epoch, routing.Request{Service: service})
				if none == nil {
					c.ApplyReport(routing.ReportReceived{AgentID: got.AgentID, Incarnation: 1, TakenAt: epoch, Limit: 100})
					c.Finish(epoch, routing.Finished{AgentID: got.AgentID, Incarnation: 1})
				}

				c.ChangeTargets(routing.TargetsChanged{Targets: targets(6)})
			}
		})
	}

	wg.Wait()
	require.Zero(t, c.Capacity(epoch, service).InFlight)
}
