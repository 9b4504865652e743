package intent_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/intent"
	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// TestPlans runs the cases in testdata against a small deployment: "base" builds the
// state, "plan" prints the plan of a declaration, "undeclared" the records that it
// does not mention.
func TestPlans(t *testing.T) {
	t.Parallel()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var base intent.Base

		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			declaration, err := intent.Parse("f.ini", []byte(d.Input))
			if err != nil {
				return err.Error() + "\n"
			}

			switch d.Cmd {
			case "base":
				base = newBase(t, declaration, d.HasArg("busy"))
				return ""
			case "undeclared":
				return strings.Join(declaration.Undeclared(base), "\n") + "\n"
			default:
				p, err := declaration.Plan(base, "may", d.HasArg("override"))
				if err != nil {
					return err.Error() + "\n"
				}

				return formatPlan(p)
			}
		})
	})
}

// newBase returns a state with two agents of cooper-assist in each of three zones.
func newBase(t *testing.T, declaration *intent.Declaration, busy bool) intent.Base {
	t.Helper()

	base := intent.Base{Version: 9, Loads: map[string]*wire.NodeLoad{}, StopBlocker: stopBlocker}

	for _, zone := range []string{"ang-thong", "ayutthaya", "saraburi"} {
		for i := range 2 {
			node := &wire.Node{
				ID: fmt.Sprintf("%s-%d", zone, i), Kind: wire.NodeKind_NodeAgent, Zone: zone,
				Service: "cooper-assist", BootID: "b", Incarnation: 5, Capacity: 10,
			}
			key := "Node/" + node.GetID()
			base.Records = append(base.Records, &wire.Record{Key: key, Version: 8, Value: &wire.Record_Node{Node: node}})
			base.Loads[node.GetID()] = &wire.NodeLoad{InFlight: 2, LongestMillis: 40_000}

			if busy {
				base.Loads[node.GetID()] = &wire.NodeLoad{InFlight: 8}
			}
		}
	}

	for i := range 3 {
		node := &wire.Node{ID: fmt.Sprintf("control-%d", i+1), Kind: wire.NodeKind_NodeControl, Zone: "saraburi", Incarnation: 5}
		base.Records = append(base.Records, &wire.Record{Key: "Node/" + node.GetID(), Version: 8, Value: &wire.Record_Node{Node: node}})
	}

	changes, err := declaration.Changes(base)
	require.NoError(t, err)

	base.Records = ledger.Overlay(base.Records, changes)

	return base
}

func stopBlocker(name string) string {
	if name == "control-2" {
		return "control-1 is still catching up"
	}

	return ""
}

func formatPlan(p *wire.Plan) string {
	var b strings.Builder

	for _, c := range p.GetChanges() {
		fmt.Fprintln(&b, "change", c.GetText())
	}

	for _, c := range p.GetCapacity() {
		fmt.Fprintf(&b, "capacity %s %s %d %d %d\n", c.GetService(), c.GetZone(), c.GetBefore(), c.GetDuring(), c.GetAfter())
	}

	for _, d := range p.GetDrains() {
		fmt.Fprintf(&b, "drain %s %d in flight, longest %d ms\n", d.GetNodeID(), d.GetInFlight(), d.GetLongestMillis())
	}

	for _, n := range p.GetNeeds() {
		fmt.Fprintf(&b, "need %s %d, during %d, after %d, reduces %t\n", n.GetService(), n.GetNeeded(), n.GetDuring(), n.GetAfter(), n.GetReduces())
	}

	fmt.Fprintf(&b, "cost %d bytes, unknown %t, %d cold starts\n", p.GetCost().GetWeightBytes(), p.GetCost().GetWeightsUnknown(), p.GetCost().GetColdStarts())

	for _, w := range p.GetWarnings() {
		fmt.Fprintln(&b, "warning", w)
	}

	for _, r := range p.GetRefusals() {
		fmt.Fprintln(&b, "refusal", r)
	}

	return b.String()
}
