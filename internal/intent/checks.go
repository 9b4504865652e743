package intent

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// checkNames adds a warning for each target that is not in the directory and may be
// mistyped, and a refusal for each stop of an unknown process.
func checkNames(base Base, p *wire.Plan) {
	nodes := map[string]*wire.Node{}

	for _, r := range base.Records {
		if node := r.GetNode(); node != nil {
			nodes[node.GetID()] = node
		}
	}

	for _, c := range p.GetChanges() {
		if id := c.GetAfter().GetTargetPolicy().GetAgentID(); id != "" && nodes[id] == nil {
			p.Warnings = append(p.Warnings, fmt.Sprintf("no process %s is in the directory now", id))
		}

		if id := c.GetAfter().GetStop().GetNodeID(); id != "" && nodes[id] == nil {
			p.Refusals = append(p.Refusals, fmt.Sprintf("no process %s is in the directory now, so none can be stopped", id))
		}
	}

	checkControlStops(base, nodes, p)
}

// checkControlStops adds refusals for unsafe stops of control VMs. Two stops may each
// be safe alone, but a second one before the first has ended could leave too few VMs
// for a quorum. Once the first VM has stopped, StopBlocker reports the missing
// replica.
func checkControlStops(base Base, nodes map[string]*wire.Node, p *wire.Plan) {
	var pending []string

	for _, r := range base.Records {
		if id := r.GetStop().GetNodeID(); nodes[id].GetKind() == wire.NodeKind_NodeControl {
			pending = append(pending, id)
		}
	}

	for _, c := range p.GetChanges() {
		id := c.GetAfter().GetStop().GetNodeID()
		if id == "" {
			continue
		}

		if base.StopBlocker != nil {
			if why := base.StopBlocker(id); why != "" {
				p.Refusals = append(p.Refusals, fmt.Sprintf("stopping %s is not safe yet: %s", id, why))
			}
		}

		if nodes[id].GetKind() != wire.NodeKind_NodeControl {
			continue
		}

		others := slices.DeleteFunc(slices.Clone(pending), func(other string) bool { return other == id })
		if len(others) > 0 {
			p.Refusals = append(p.Refusals, fmt.Sprintf("stopping %s is not safe yet: the stop of %s is not over",
				id, strings.Join(others, ", ")))
		}

		pending = append(pending, id)
	}
}

// Undeclared returns the keys of the operators' records that the declaration does not
// mention. They stay unchanged.
func (d *Declaration) Undeclared(base Base) []string {
	declared := map[string]bool{}
	for _, s := range d.sections {
		declared[s.key()] = true
	}

	var out []string

	for _, r := range base.Records {
		if ledger.OperatorOwned(r.GetKey()) && !declared[r.GetKey()] {
			out = append(out, r.GetKey())
		}
	}

	return out
}

// fieldsOf returns the fields of a record's value as readable text, by name. It is
// empty for a nil record.
func fieldsOf(r *wire.Record) map[string]string {
	out := map[string]string{}
	value := valueOf(r)

	if value == nil {
		return out
	}

	fields := value.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		out[string(fd.Name())] = valueText(fd, value.Get(fd))
	}

	return out
}

func valueOf(r *wire.Record) protoreflect.Message {
	message := r.ProtoReflect()

	fd := message.WhichOneof(message.Descriptor().Oneofs().ByName("Value"))
	if fd == nil {
		return nil
	}

	return message.Get(fd).Message()
}

func valueText(fd protoreflect.FieldDescriptor, v protoreflect.Value) string {
	if !fd.IsList() {
		return v.String()
	}

	items := make([]string, 0, v.List().Len())
	for i := range v.List().Len() {
		items = append(items, v.List().Get(i).String())
	}

	return strings.Join(items, "; ")
}
