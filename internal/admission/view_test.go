package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// New work would go to a zone that was taken out or to a target that leaves. The
// agent or the entry was cut off when the operators decided, or the agent stops.
func TestViewGovernsAdmission(t *testing.T) {
	t.Parallel()

	fresh := start.Add(time.Hour)
	stale := start
	cases := []struct {
		name       string
		view       View
		entryFresh bool
		entryView  uint64
		leave      bool
		want       verdict.Cause
	}{
		{name: "agent fresh", view: View{Version: 5, FreshUntil: fresh}},
		{name: "agent fresh, entry behind", view: View{Version: 5, FreshUntil: fresh}, entryView: 2},
		{name: "agent stale, entry fresh", view: View{Version: 5, FreshUntil: stale}, entryFresh: true, entryView: 5},
		{
			name: "agent stale, entry fresh but behind", view: View{Version: 5, FreshUntil: stale}, entryFresh: true, entryView: 4,
			want: verdict.CauseStale,
		},
		{name: "both stale", view: View{Version: 5, FreshUntil: stale}, entryView: 5, want: verdict.CauseStale},
		{name: "zone out", view: View{Version: 5, FreshUntil: fresh, ZoneOut: true}, want: verdict.CauseZoneOut},
		{
			name: "zone out, agent stale", view: View{Version: 5, FreshUntil: stale, ZoneOut: true}, entryFresh: true, entryView: 9,
			want: verdict.CauseZoneOut,
		},
		{name: "retired", view: View{Version: 5, FreshUntil: fresh, Retired: true}, want: verdict.CauseLeaving},
		{name: "agent leaving", view: View{Version: 5, FreshUntil: fresh}, leave: true, want: verdict.CauseStopping},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			b := newBench(t, 8, 8)
			before := b.admit()
			r := b.arrival(b.grant("entry-1", 4))
			r.ViewFresh, r.ViewVersion = tc.entryFresh, tc.entryView
			tc.view.ColdLimit, tc.view.WarmLimit = 8, 8
			b.view(tc.view)

			if tc.leave {
				b.core.Drain()
			}

			if tc.want == "" {
				require.True(t, b.core.Admit(b.now, r).Admitted)
				return
			}

			b.requireRefused(r, verdict.NotRun, tc.want)

			if tc.want != verdict.CauseStale {
				require.Zero(t, b.grant("entry-2", 4).Slots)
			}

			require.False(t, b.core.Drained())
			b.ran(before, nil)
			require.Equal(t, tc.leave, b.core.Drained())
		})
	}
}

// A zone that was taken out would get work again: a view of an older version comes
// late, after the newer one.
func TestViewNeverReverts(t *testing.T) {
	t.Parallel()

	b := newBench(t, 8, 8)
	b.view(View{Version: 6, FreshUntil: start.Add(time.Hour), ZoneOut: true})
	b.view(View{Version: 5, FreshUntil: start.Add(2 * time.Hour)})
	b.requireRefused(b.arrival(b.grant("entry-1", 1)), verdict.NotRun, verdict.CauseZoneOut)
}

// Requests would go to a target that is gone or carries another service.
func TestTargetGone(t *testing.T) {
	t.Parallel()

	b := newBench(t, 8, 8)
	c := b.grant("entry-1", 4)
	other := b.arrival(c)
	other.Service = "desk"
	b.requireRefused(other, verdict.NotRun, verdict.CauseUnknownService)

	b.now = b.now.Add(DefaultAnnounceTimeout)
	c = b.core.Grant(b.now, GrantRequest{EntryID: "entry-1", Wanted: 4}).Credit
	b.requireRefused(b.arrival(c), verdict.NotRun, verdict.CauseTargetDown)
	b.core.Tick(b.now)
	require.Zero(t, b.core.Load().Limit)

	fresh := Core{AgentID: "agent-1", Incarnation: 3, Started: start}
	b.core = fresh
	b.view(View{Version: 1, FreshUntil: start.Add(time.Hour)})
	b.requireRefused(b.arrival(b.grant("entry-1", 4)), verdict.NotRun, verdict.CauseTargetDown)
}
