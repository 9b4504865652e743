package view

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/shares"
)

// Guards against entries that stay counted after the last control VM dropped them, or go
// missing while one still reports them: limits are then divided by the wrong number.
func TestMergedRosterIsUnionOfReports(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var merged mergedRoster

		reported := map[netip.AddrPort]map[string]shares.Node{}
		current := merged.nodes()
		drawNodes := func(name string) []shares.Node {
			var out []shares.Node
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 6), 0, 5, rapid.ID[int]).Draw(t, name) {
				out = append(out, shares.Node{ID: fmt.Sprint("e", i), Zone: "z"})
			}

			return out
		}

		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			control := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(1, 3).Draw(t, "control"))}), 1)

			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				nodes := drawNodes("all")
				reported[control] = map[string]shares.Node{}

				for _, n := range nodes {
					reported[control][n.ID] = n
				}

				merged.replace(control, nodes)
			case 1:
				nodes, gone := drawNodes("changed"), drawNodes("gone")
				if reported[control] == nil {
					reported[control] = map[string]shares.Node{}
				}

				var ids []string

				for _, n := range nodes {
					reported[control][n.ID] = n
				}

				for _, n := range gone {
					ids = append(ids, n.ID)
					delete(reported[control], n.ID)
				}

				merged.change(control, nodes, ids)
			default:
				delete(reported, control)
				merged.drop(control)
			}

			want := map[string]shares.Node{}
			for _, nodes := range reported {
				maps.Copy(want, nodes)
			}

			if merged.changed {
				current = merged.nodes()
			}

			require.Equal(t, slices.SortedFunc(maps.Values(want), func(a, b shares.Node) int { return strings.Compare(a.ID, b.ID) }), current)
		}
	})
}
