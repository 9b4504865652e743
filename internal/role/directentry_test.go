package role

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/loadreport"
	"github.com/parsleygate/parsleygate/internal/priority"
	"github.com/parsleygate/parsleygate/internal/view"
)

// Guards against counts that go to the agent beside another rank, or beside an earlier incarnation of
// rank 0, and against entries that leave out a rank 0 that they do not use.
func TestCountsGoToTheAgentBesideRankZero(t *testing.T) {
	t.Parallel()

	target := func(address, group string, rank int, epoch uint64, startTime int64) directory.Target {
		return directory.Target{Address: netip.MustParseAddrPort(address), StartTime: startTime, Group: directory.Group{Name: group, Rank: rank, Epoch: epoch}}
	}
	state := &view.ClusterState{Entries: 14, Targets: []directory.Target{
		target("10.0.0.1:80", "g", 1, 7, 1),
		target("10.0.0.2:80", "g", 0, 6, 9),
		target("10.0.0.3:80", "g", 0, 7, 2),
		target("10.0.0.4:80", "h", 0, 7, 3),
		target("10.0.0.5:80", "", 0, 0, 4),
	}}
	counts := priority.Counts{3: {Demand: 1}}
	r := &DirectEntry{AgentPort: 7341}

	require.Equal(t, []loadreport.GroupReport{
		{Agent: netip.MustParseAddrPort("10.0.0.3:7341"), Group: "g", Counts: counts, Entries: 14, Pressed: true},
	}, r.groupReports(state, []dispatch.LevelReport{{Group: "g", Counts: counts, Pressed: true}, {Group: "unknown"}}))
	require.Empty(t, r.groupReports(state, nil))
}
