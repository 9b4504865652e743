package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Messages of a planner arrive late, duplicated, or from a planner that was replaced.
// If a version could get a second placement, or an old version return, ranks of a
// group would run different maps in one step.
func TestMapVersionKeepsItsPlacement(t *testing.T) {
	t.Parallel()

	h := newHarness(t, ledger.DefaultLimits())
	put := func(version uint64, placement string, committed bool) *wire.MapAnswer {
		h.restart(ledger.DefaultLimits())

		return h.apply(&wire.Command{Kind: &wire.Command_ExpertMap{ExpertMap: &wire.ExpertMap{
			Group: "g", MapVersion: version, Placement: []byte(placement), Committed: committed, Step: 7,
		}}}).GetMap()
	}
	committed := func() *wire.ExpertMap { return h.ledger.Records().Get("ExpertMap/g").GetExpertMap() }

	steps := []struct {
		name      string
		version   uint64
		placement string
		commit    bool
		accepted  bool
		inForce   string
	}{
		{"commit before staging", 1, "", true, false, ""},
		{"stage", 1, "one", false, true, ""},
		{"stage the same version again", 1, "other", false, false, ""},
		{"commit another version", 2, "", true, false, ""},
		{"commit", 1, "", true, true, "one"},
		{"commit again", 1, "", true, false, "one"},
		{"stage an old version", 1, "late", false, false, "one"},
		{"stage the next version", 3, "three", false, true, "one"},
		{"stage a version in between", 2, "two", false, false, "one"},
		{"replace it by a newer version", 4, "four", false, true, "one"},
		{"commit the replaced version", 3, "", true, false, "one"},
		{"commit the newer version", 4, "", true, true, "four"},
	}

	fencing := uint64(0)

	for _, s := range steps {
		got := put(s.version, s.placement, s.commit)
		require.Equal(t, s.accepted, got.GetAccepted(), s.name)
		require.Equal(t, s.inForce, string(committed().GetPlacement()), s.name)

		if s.accepted {
			require.Greater(t, got.GetCurrent().GetFencingNumber(), fencing, s.name)
			fencing = got.GetCurrent().GetFencingNumber()
		}
	}

	require.Nil(t, h.ledger.Records().Get("StagedMap/g"))
}
