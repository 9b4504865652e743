package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Guards against new work for a zone that was taken out of service, or for a target that
// is retired or draining. The agent or the entry was cut off from the control VMs when
// the operators decided, or the agent stops.
func TestViewDecidesAdmission(t *testing.T) {
	t.Parallel()

	valid := start.Add(time.Hour)
	expired := start
	cases := []struct {
		name             string
		view             View
		entryViewValid   bool
		entryViewVersion uint64
		drain            bool
		want             verdict.Cause
	}{
		{name: "agent view valid", view: View{Version: 5, FreshUntil: valid}},
		{name: "agent view valid, entry view older", view: View{Version: 5, FreshUntil: valid}, entryViewVersion: 2},
		{name: "agent view expired, entry view valid", view: View{Version: 5, FreshUntil: expired}, entryViewValid: true, entryViewVersion: 5},
		{
			name: "agent view expired, entry view valid but older", view: View{Version: 5, FreshUntil: expired}, entryViewValid: true, entryViewVersion: 4,
			want: verdict.CauseStale,
		},
		{name: "both views expired", view: View{Version: 5, FreshUntil: expired}, entryViewVersion: 5, want: verdict.CauseStale},
		{name: "zone out of service", view: View{Version: 5, FreshUntil: valid, ZoneOut: true}, want: verdict.CauseZoneOut},
		{
			name: "zone out of service, agent view expired", view: View{Version: 5, FreshUntil: expired, ZoneOut: true}, entryViewValid: true, entryViewVersion: 9,
			want: verdict.CauseZoneOut,
		},
		{name: "target retired", view: View{Version: 5, FreshUntil: valid, Retired: true}, want: verdict.CauseLeaving},
		{name: "agent draining", view: View{Version: 5, FreshUntil: valid}, drain: true, want: verdict.CauseStopping},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			h := newHarness(t, 8, 8)
			before := h.admit()
			r := h.request(h.grant("entry-1", 4))
			r.ViewFresh, r.ViewVersion = tc.entryViewValid, tc.entryViewVersion
			tc.view.ColdLimit, tc.view.WarmLimit = 8, 8
			h.view(tc.view)

			if tc.drain {
				h.core.Drain()
			}

			if tc.want == "" {
				require.True(t, h.core.Admit(h.now, r).Admitted)
				return
			}

			h.requireRejected(r, verdict.NotRun, tc.want)

			if tc.want != verdict.CauseStale {
				require.Zero(t, h.grant("entry-2", 4).Slots)
			}

			require.False(t, h.core.Drained())
			h.complete(before, nil)
			require.Equal(t, tc.drain, h.core.Drained())
		})
	}
}

// Guards against new work for a zone that was taken out of service, when a view with an
// older version arrives after the newer one.
func TestViewNeverReverts(t *testing.T) {
	t.Parallel()

	h := newHarness(t, 8, 8)
	h.view(View{Version: 6, FreshUntil: start.Add(time.Hour), ZoneOut: true})
	h.view(View{Version: 5, FreshUntil: start.Add(2 * time.Hour)})
	h.requireRejected(h.request(h.grant("entry-1", 1)), verdict.NotRun, verdict.CauseZoneOut)
}

// Guards against requests to a target that is down or provides another service.
func TestTargetDownOrOtherService(t *testing.T) {
	t.Parallel()

	h := newHarness(t, 8, 8)
	c := h.grant("entry-1", 4)
	other := h.request(c)
	other.Service = "desk"
	h.requireRejected(other, verdict.NotRun, verdict.CauseUnknownService)

	h.now = h.now.Add(DefaultAnnounceTimeout)
	c = h.core.Grant(h.now, GrantRequest{EntryID: "entry-1", Wanted: 4}).Credit
	h.requireRejected(h.request(c), verdict.NotRun, verdict.CauseTargetDown)
	h.core.Tick(h.now)
	require.Zero(t, h.core.Load().Limit)

	restarted := Core{AgentID: "agent-1", Incarnation: 3, Started: start}
	h.core = restarted
	h.view(View{Version: 1, FreshUntil: start.Add(time.Hour)})
	h.requireRejected(h.request(h.grant("entry-1", 4)), verdict.NotRun, verdict.CauseTargetDown)
}
