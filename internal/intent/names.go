package intent

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// checkNames warns of targets and processes that the directory does not hold,
// which may be mistyped, and refuses stops that the control VMs cannot bear yet.
func checkNames(base Base, p *wire.Plan) {
	nodes := map[string]bool{}

	for _, r := range base.Records {
		if node := r.GetNode(); node != nil {
			nodes[node.GetID()] = true
		}
	}

	for _, c := range p.GetChanges() {
		id := c.GetAfter().GetStop().GetNodeID()
		if id != "" && base.StopUnsafe != nil {
			if why := base.StopUnsafe(id); why != "" {
				p.Refusals = append(p.Refusals, fmt.Sprintf("stopping %s is not safe yet: %s", id, why))
			}
		}

		if id == "" {
			id = c.GetAfter().GetTargetPolicy().GetAgentID()
		}

		if id != "" && !nodes[id] {
			p.Warnings = append(p.Warnings, fmt.Sprintf("no process %s is in the directory now", id))
		}
	}
}

// Undeclared returns the keys of operators' records that the declaration does
// not mention. They stay as they are.
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

// fieldsOf returns the fields of a record's value, for people to read. Those of
// a record that does not exist are empty.
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
