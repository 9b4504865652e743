package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/routes"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/internal/view"
)

// Guards against an entry that takes the whole slack while it does not know the others, or for a service
// that is not in its table anymore.
func TestUnknownBudgetShareIsNotTheWhole(t *testing.T) {
	t.Parallel()

	const slack = 40

	now := time.Unix(1000, 0)
	e := &entryShares{self: shares.Node{ID: "e0"}}
	e.subsets.SubsetSize = shares.SubsetSize

	require.Zero(t, e.budgetShare("drafts").Units(now, slack))

	table, err := routes.NewTable(routes.Declaration{Services: []routes.Service{{Name: "drafts"}}})
	require.NoError(t, err)

	state := &view.ClusterState{Table: table, RosterIncomplete: true, Entries: 1}
	e.update(now, state)
	require.Zero(t, e.budgetShare("drafts").Units(now, slack))

	state.RosterIncomplete = false
	state.Sharers = []shares.Node{{ID: "e0"}, {ID: "e1"}, {ID: "e2"}, {ID: "e3"}}
	e.update(now, state)
	require.Equal(t, slack/4, e.budgetShare("drafts").Units(now, slack))
	require.Equal(t, slack/4, e.budgetShare("removed").Units(now, slack))

	// What was known stays known.
	state.RosterIncomplete = true
	e.update(now, state)
	require.Equal(t, slack/4, e.budgetShare("drafts").Units(now, slack))
}
