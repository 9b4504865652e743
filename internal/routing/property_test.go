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

// books is what the outside of a Chooser knows of its targets.
type books struct {
	c       *routing.Chooser
	now     time.Time
	list    []routing.Target
	slots   []int
	ends    []time.Time
	flight  []int
	current map[string]int
}

// Whatever reports, credits, failures and changes come in whatever order: a cold
// target gets no more than its agent reserved for this entry, one that is out or
// leaving gets nothing, nor one that the request has tried, and no place leaks.
func TestChooserKeepsToCredits(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "targets")
		b := &books{
			list: targets(n), now: epoch, slots: make([]int, n), ends: make([]time.Time, n),
			flight: make([]int, n), current: map[string]int{},
		}
		for i := range b.list {
			b.list[i].Cold = true
			b.current[b.list[i].AgentID] = i
		}

		b.c = newChooser(rapid.Uint64().Draw(t, "seed"), b.list...)

		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			b.now = b.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			b.step(t, rapid.IntRange(0, n-1).Draw(t, "target"))
		}

		total := 0
		for _, f := range b.flight {
			total += f
		}

		require.Equal(t, total, b.c.Capacity(b.now, service).InFlight)
	})
}

func (b *books) step(t *rapid.T, i int) {
	d := &b.list[i]

	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0:
		b.slots[i] = rapid.IntRange(0, 3).Draw(t, "slots")
		b.ends[i] = b.now.Add(time.Second)
		b.c.ApplyCredit(routing.CreditChanged{AgentID: d.AgentID, Incarnation: d.Incarnation, Slots: b.slots[i], ExpiresAt: b.ends[i]})
	case 1:
		b.c.ApplyReport(routing.ReportReceived{
			AgentID: d.AgentID, Incarnation: d.Incarnation, TakenAt: b.now, Cold: true,
			InFlight: rapid.IntRange(0, 5).Draw(t, "load"), Limit: 3,
		})
	case 2:
		d.ZoneOut = rapid.Bool().Draw(t, "out")
		d.Leaving = rapid.Bool().Draw(t, "leaving")

		if rapid.Bool().Draw(t, "restarted") {
			d.Incarnation++
			b.slots[i], b.flight[i] = 0, 0
		}

		b.c.ChangeTargets(routing.TargetsChanged{Targets: b.list})
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

func (b *books) finish(t *rapid.T, i int) {
	if b.flight[i] == 0 {
		return
	}

	b.flight[i]--

	cause := rapid.SampledFrom([]verdict.Cause{
		"", "", verdict.CauseBroken, verdict.CauseTargetDown, verdict.CauseOverload, verdict.CauseZoneOut, verdict.CauseCredit,
	}).Draw(t, "cause")
	if cause == verdict.CauseCredit {
		b.slots[i] = 0
	}

	b.c.Finish(b.now, routing.Finished{AgentID: b.list[i].AgentID, Incarnation: b.list[i].Incarnation, Cause: cause})
}

func (b *books) choose(t *rapid.T, tried int) {
	got, none := b.c.Choose(b.now, routing.Request{
		Service: service, Zone: "saraburi", Region: "central-th",
		Idempotent: rapid.Bool().Draw(t, "idempotent"), Excluded: []string{b.list[tried].AgentID},
	})
	if none != nil {
		require.True(t, none.RetryAt.After(b.now))

		return
	}

	i := b.current[got.AgentID]
	require.NotEqual(t, tried, i)
	require.False(t, b.list[i].ZoneOut || b.list[i].Leaving, "chosen although out or leaving")
	require.True(t, b.now.Before(b.ends[i]), "chosen without a credit")
	require.Less(t, b.flight[i], b.slots[i], "chosen beyond its credit")
	require.Equal(t, b.list[i].Incarnation, got.Incarnation)

	b.flight[i]++
}

// Requests, reports and configuration come from many goroutines at once.
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
