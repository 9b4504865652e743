package view

import (
	"bytes"
	"compress/flate"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// content is the configuration at one version. It is immutable: apply copies
// the tables that a change touches.
type content struct {
	services   map[string]*wire.Service
	zones      map[string]*wire.Zone
	policies   map[string]*wire.TargetPolicy
	workspaces map[string]*wire.Workspace
	maps       map[string]*wire.ExpertMap
	staged     map[string]*wire.ExpertMap
	nodes      map[string]*wire.Node
	stops      map[string]*wire.Stop
	groups     map[string]*wire.Group
}

// edit is a content in the making, with the tables that it has already copied.
type edit struct {
	content
	owned map[string]bool
}

func (c *content) apply(r *wire.PollResponse) (*content, error) {
	e := &edit{owned: map[string]bool{}}
	if !r.GetFull() {
		e.content = *c
	}

	records, err := decodeBase(r.GetBase())
	if err != nil {
		return nil, err
	}

	for _, record := range records {
		e.put(record)
	}

	for _, key := range r.GetRemoved() {
		e.remove(key)
	}

	for _, record := range r.GetChanged() {
		e.put(record)
	}

	return &e.content, nil
}

// maxBase bounds what one base may unpack to.
const maxBase = 64 << 20

func decodeBase(data []byte) ([]*wire.Record, error) {
	if len(data) == 0 {
		return nil, nil
	}

	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxBase+1))
	if err != nil {
		return nil, eris.Wrap(err, "unpack the base")
	}

	if len(plain) > maxBase {
		return nil, eris.Errorf("the base unpacks to more than %d bytes", maxBase)
	}

	set := &wire.RecordSet{}
	if err := proto.Unmarshal(plain, set); err != nil {
		return nil, eris.Wrap(err, "read the base")
	}

	return set.GetRecords(), nil
}

func (e *edit) put(record *wire.Record) {
	switch v := record.GetValue().(type) {
	case *wire.Record_Service:
		own(e, "Service", &e.services)[v.Service.GetName()] = v.Service
	case *wire.Record_Zone:
		own(e, "Zone", &e.zones)[v.Zone.GetName()] = v.Zone
	case *wire.Record_TargetPolicy:
		own(e, "Target", &e.policies)[v.TargetPolicy.GetAgentID()] = v.TargetPolicy
	case *wire.Record_Workspace:
		own(e, "Workspace", &e.workspaces)[v.Workspace.GetName()] = v.Workspace
	case *wire.Record_Node:
		own(e, "Node", &e.nodes)[v.Node.GetID()] = v.Node
	case *wire.Record_Stop:
		own(e, "Stop", &e.stops)[v.Stop.GetNodeID()] = v.Stop
	case *wire.Record_Group:
		own(e, "Group", &e.groups)[v.Group.GetName()] = v.Group
	case *wire.Record_ExpertMap:
		if v.ExpertMap.GetCommitted() {
			own(e, "ExpertMap", &e.maps)[v.ExpertMap.GetGroup()] = v.ExpertMap
		} else {
			own(e, "StagedMap", &e.staged)[v.ExpertMap.GetGroup()] = v.ExpertMap
		}
	}
}

func (e *edit) remove(key string) {
	kind, name, _ := strings.Cut(key, "/")

	switch kind {
	case "Service":
		delete(own(e, kind, &e.services), name)
	case "Zone":
		delete(own(e, kind, &e.zones), name)
	case "Target":
		delete(own(e, kind, &e.policies), name)
	case "Workspace":
		delete(own(e, kind, &e.workspaces), name)
	case "Node":
		delete(own(e, kind, &e.nodes), name)
	case "Stop":
		delete(own(e, kind, &e.stops), name)
	case "Group":
		delete(own(e, kind, &e.groups), name)
	case "ExpertMap":
		delete(own(e, kind, &e.maps), name)
	case "StagedMap":
		delete(own(e, kind, &e.staged), name)
	}
}

// own returns the table of a kind for writing, copied at its first write.
func own[T any](e *edit, kind string, table *map[string]*T) map[string]*T {
	if !e.owned[kind] {
		e.owned[kind] = true
		*table = maps.Clone(*table)

		if *table == nil {
			*table = map[string]*T{}
		}
	}

	return *table
}

func sorted[T any](table map[string]*T) []*T {
	out := make([]*T, 0, len(table))
	for _, name := range slices.Sorted(maps.Keys(table)) {
		out = append(out, table[name])
	}

	return out
}
