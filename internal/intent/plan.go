package intent

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// headroomDivisor sets the spare capacity below which a plan warns: 1/headroomDivisor
// of the current load.
const headroomDivisor = 4

// Plan returns the changes that the declaration would make against base, and their
// cost. An error is of type *Error.
func (d *Declaration) Plan(base Base, operator string, override bool) (*wire.Plan, error) {
	changes, err := d.Changes(base)
	if err != nil {
		return nil, err
	}

	p := &wire.Plan{
		BaseVersion:  base.Version,
		Operator:     operator,
		Changes:      changes,
		Override:     override,
		IntentDigest: d.Digest(override),
		Source:       d.Source,
	}

	newEstimate(base, changes).fill(p)
	checkNames(base, p)

	return p, nil
}

// estimate compares the usable targets before and after the changes.
type estimate struct {
	base         Base
	recordsAfter []*wire.Record
	usableBefore map[string]*wire.Node
	usableAfter  map[string]*wire.Node
	// reloading holds the services whose model changes: all their targets load it
	// cold.
	reloading map[string]bool
	// services holds the declarations after the changes.
	services map[string]*wire.Service
}

func newEstimate(base Base, changes []*wire.Change) *estimate {
	e := &estimate{
		base:         base,
		recordsAfter: ledger.Overlay(base.Records, changes),
		usableBefore: byID(ledger.Usable(base.Records)),
		reloading:    map[string]bool{},
		services:     map[string]*wire.Service{},
	}
	e.usableAfter = byID(ledger.Usable(e.recordsAfter))

	for _, r := range e.recordsAfter {
		if service := r.GetService(); service != nil {
			e.services[service.GetName()] = service
		}
	}

	for _, c := range changes {
		was, is := c.GetBefore().GetService(), c.GetAfter().GetService()
		if was != nil && is != nil && was.GetModel() != is.GetModel() {
			e.reloading[is.GetName()] = true
		}
	}

	return e
}

func byID(nodes []*wire.Node) map[string]*wire.Node {
	out := make(map[string]*wire.Node, len(nodes))
	for _, node := range nodes {
		out[node.GetID()] = node
	}

	return out
}

func (e *estimate) fill(p *wire.Plan) {
	p.Capacity = e.capacity()
	p.Drains = e.drains(p.GetChanges())
	p.Cost = e.cost()
	p.Needs = e.needs(p.GetCapacity())
	p.Warnings, p.Refusals = e.assess(p.GetNeeds())
}

// capacity returns the capacity of the targets, sorted by service and zone.
func (e *estimate) capacity() []*wire.CapacityLine {
	lines := map[[2]string]*wire.CapacityLine{}

	line := func(service, zone string) *wire.CapacityLine {
		key := [2]string{service, zone}
		if lines[key] == nil {
			lines[key] = &wire.CapacityLine{Service: service, Zone: zone}
		}

		return lines[key]
	}

	for _, sum := range ledger.WarmCapacities(e.base.Records) {
		line(sum.Service, sum.Zone).Before = sum.Requests
	}

	for _, sum := range ledger.WarmCapacities(e.recordsAfter) {
		line(sum.Service, sum.Zone).After = sum.Requests
	}

	for _, node := range e.usableAfter {
		line(node.GetService(), node.GetZone()).During += e.capacityDuring(node)
	}

	out := make([]*wire.CapacityLine, 0, len(lines))
	for _, line := range lines {
		out = append(out, line)
	}

	slices.SortFunc(out, func(a, b *wire.CapacityLine) int {
		return cmp.Or(cmp.Compare(a.GetService(), b.GetService()), cmp.Compare(a.GetZone(), b.GetZone()))
	})

	return out
}

// capacityDuring returns the capacity of a target right after the change: its cold
// limit if it starts cold.
func (e *estimate) capacityDuring(node *wire.Node) uint32 {
	service := e.services[node.GetService()]
	warm := ledger.WarmCapacity(node, service.GetWarmLimit())

	if load := e.base.Loads[node.GetID()]; load.GetCold() {
		return min(warm, load.GetLimit())
	}

	if e.startsCold(node) {
		return min(warm, max(service.GetColdLimit(), 1))
	}

	return warm
}

func (e *estimate) startsCold(node *wire.Node) bool {
	return e.usableBefore[node.GetID()] == nil || e.reloading[node.GetService()]
}

// drains returns the processes that the changes take out of use or stop, with the work that
// each must finish first.
func (e *estimate) drains(changes []*wire.Change) []*wire.DrainLine {
	draining := map[string]*wire.Node{}

	for id, node := range e.usableBefore {
		if e.usableAfter[id] == nil {
			draining[id] = node
		}
	}

	for _, c := range changes {
		if stop := c.GetAfter().GetStop(); stop != nil {
			for _, r := range e.base.Records {
				if r.GetNode().GetID() == stop.GetNodeID() {
					draining[stop.GetNodeID()] = r.GetNode()
				}
			}
		}
	}

	out := make([]*wire.DrainLine, 0, len(draining))
	for _, node := range draining {
		out = append(out, e.drain(node))
	}

	slices.SortFunc(out, func(a, b *wire.DrainLine) int { return cmp.Compare(a.GetNodeID(), b.GetNodeID()) })

	return out
}

func (e *estimate) drain(node *wire.Node) *wire.DrainLine {
	load := e.base.Loads[node.GetID()]
	line := &wire.DrainLine{
		NodeID:        node.GetID(),
		Service:       node.GetService(),
		Zone:          node.GetZone(),
		InFlight:      load.GetInFlight() + load.GetQueued(),
		LongestMillis: load.GetLongestMillis(),
	}

	if line.InFlight > 0 && line.LongestMillis == 0 {
		line.LongestMillis = e.services[node.GetService()].GetLongestMillis()
	}

	return line
}

func (e *estimate) cost() *wire.Cost {
	out := &wire.Cost{}

	for _, node := range e.usableAfter {
		if !e.startsCold(node) {
			continue
		}

		bytes := e.services[node.GetService()].GetWeightBytes()
		out.ColdStarts++
		out.WeightBytes += bytes
		out.WeightsUnknown = out.WeightsUnknown || bytes == 0
	}

	return out
}

// needs compares the capacity during and after the changes with the current load, for
// each service whose capacity changes.
func (e *estimate) needs(capacity []*wire.CapacityLine) []*wire.NeedLine {
	needed := map[string]uint32{}
	for id, node := range e.usableBefore {
		needed[node.GetService()] += e.base.Loads[id].GetInFlight() + e.base.Loads[id].GetQueued()
	}

	var out []*wire.NeedLine

	before := map[string]uint32{}

	for _, line := range capacity {
		if len(out) == 0 || out[len(out)-1].GetService() != line.GetService() {
			out = append(out, &wire.NeedLine{Service: line.GetService(), Needed: needed[line.GetService()]})
		}

		need := out[len(out)-1]
		need.During += line.GetDuring()
		need.After += line.GetAfter()
		before[line.GetService()] += line.GetBefore()
	}

	out = slices.DeleteFunc(out, func(n *wire.NeedLine) bool {
		was := before[n.GetService()]
		n.Reduces = n.GetDuring() < was || n.GetAfter() < was

		return n.GetDuring() == was && n.GetAfter() == was
	})

	return out
}

func (e *estimate) assess(needs []*wire.NeedLine) (warnings, refusals []string) {
	for _, n := range needs {
		if !n.GetReduces() {
			continue
		}

		remaining := min(n.GetDuring(), n.GetAfter())

		switch {
		case remaining == 0:
			refusals = append(refusals, fmt.Sprintf("%s would have no target left", n.GetService()))
		case remaining < n.GetNeeded():
			refusals = append(refusals, fmt.Sprintf("%s would bear %d requests at once and has %d in hand now",
				n.GetService(), remaining, n.GetNeeded()))
		case remaining-n.GetNeeded() < n.GetNeeded()/headroomDivisor:
			warnings = append(warnings, fmt.Sprintf("%s would have only %d requests to spare over the %d in hand now",
				n.GetService(), remaining-n.GetNeeded(), n.GetNeeded()))
		}
	}

	if unknown := e.withoutLoad(); unknown > 0 && len(needs) > 0 {
		warnings = append(warnings, fmt.Sprintf("the load of %d of %d targets is not known", unknown, len(e.usableBefore)))
	}

	return warnings, refusals
}

func (e *estimate) withoutLoad() int {
	n := 0

	for id := range e.usableBefore {
		if e.base.Loads[id] == nil {
			n++
		}
	}

	return n
}
