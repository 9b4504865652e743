package ledger

import (
	"cmp"
	"slices"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// ZoneCapacity is how many concurrent requests the usable targets of a service in a
// zone can serve when warm.
type ZoneCapacity struct {
	Service, Zone string
	Requests      uint32
	Targets       uint32
}

// Overlay returns records with changes applied.
func Overlay(records []*wire.Record, changes []*wire.Change) []*wire.Record {
	changed := map[string]bool{}
	for _, c := range changes {
		changed[c.GetKey()] = true
	}

	out := make([]*wire.Record, 0, len(records)+len(changes))

	for _, r := range records {
		if !changed[r.GetKey()] {
			out = append(out, r)
		}
	}

	for _, c := range changes {
		if c.GetKind() == wire.ChangeKind_ChangePut {
			out = append(out, c.GetAfter())
		}
	}

	return out
}

// Usable returns the agents that may get new work: their zone is declared and in use,
// their target has announced itself, and they are not leaving, retired or being
// stopped.
func Usable(records []*wire.Record) []*wire.Node {
	excluded := map[string]bool{}
	zones := map[string]bool{}

	for _, r := range records {
		switch v := r.GetValue().(type) {
		case *wire.Record_Zone:
			zones[v.Zone.GetName()] = !v.Zone.GetOut()
		case *wire.Record_TargetPolicy:
			excluded[v.TargetPolicy.GetAgentID()] = excluded[v.TargetPolicy.GetAgentID()] || v.TargetPolicy.GetRetired()
		case *wire.Record_Stop:
			excluded[v.Stop.GetNodeID()] = true
		}
	}

	var out []*wire.Node

	for _, r := range records {
		node := r.GetNode()
		if node.GetKind() != wire.NodeKind_NodeAgent || node.GetLeaving() || node.GetBootID() == "" {
			continue
		}

		if zones[node.GetZone()] && !excluded[node.GetID()] {
			out = append(out, node)
		}
	}

	return out
}

// WarmCapacities returns the capacity of the usable targets, sorted by service and
// zone.
func WarmCapacities(records []*wire.Record) []ZoneCapacity {
	warmLimits := map[string]uint32{}

	for _, r := range records {
		if service := r.GetService(); service != nil {
			warmLimits[service.GetName()] = service.GetWarmLimit()
		}
	}

	sums := map[[2]string]ZoneCapacity{}

	for _, node := range Usable(records) {
		key := [2]string{node.GetService(), node.GetZone()}
		sum := sums[key]
		sum.Service, sum.Zone = node.GetService(), node.GetZone()
		sum.Targets++
		sum.Requests += WarmCapacity(node, warmLimits[node.GetService()])
		sums[key] = sum
	}

	out := make([]ZoneCapacity, 0, len(sums))
	for _, sum := range sums {
		out = append(out, sum)
	}

	slices.SortFunc(out, func(a, b ZoneCapacity) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})

	return out
}

// WarmCapacity returns how many concurrent requests one target can serve when warm:
// the smaller of its reported capacity and the service's declared limit. Zero means
// not set.
func WarmCapacity(node *wire.Node, warmLimit uint32) uint32 {
	if warmLimit == 0 {
		return node.GetCapacity()
	}

	if node.GetCapacity() == 0 {
		return warmLimit
	}

	return min(node.GetCapacity(), warmLimit)
}
