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

// configuration is the configuration at one version. It is immutable: apply copies the
// tables that it changes.
type configuration struct {
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

// configEdit is a configuration that is being built, with the tables already copied.
type configEdit struct {
	configuration
	copied map[string]bool
}

func (c *configuration) apply(r *wire.PollResponse) (*configuration, error) {
	e := &configEdit{copied: map[string]bool{}}
	if !r.GetFull() {
		e.configuration = *c
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

	return &e.configuration, nil
}

// maxBaseBytes limits the decompressed size of the base records of one answer.
const maxBaseBytes = 64 << 20

func decodeBase(data []byte) ([]*wire.Record, error) {
	if len(data) == 0 {
		return nil, nil
	}

	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxBaseBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress base records")
	}

	if len(plain) > maxBaseBytes {
		return nil, eris.Errorf("decompressed base records exceed %d bytes", maxBaseBytes)
	}

	set := &wire.RecordSet{}
	if err := proto.Unmarshal(plain, set); err != nil {
		return nil, eris.Wrap(err, "decode base records")
	}

	return set.GetRecords(), nil
}

func (e *configEdit) put(record *wire.Record) {
	switch v := record.GetValue().(type) {
	case *wire.Record_Service:
		writable(e, "Service", &e.services)[v.Service.GetName()] = v.Service
	case *wire.Record_Zone:
		writable(e, "Zone", &e.zones)[v.Zone.GetName()] = v.Zone
	case *wire.Record_TargetPolicy:
		writable(e, "Target", &e.policies)[v.TargetPolicy.GetAgentID()] = v.TargetPolicy
	case *wire.Record_Workspace:
		writable(e, "Workspace", &e.workspaces)[v.Workspace.GetName()] = v.Workspace
	case *wire.Record_Node:
		writable(e, "Node", &e.nodes)[v.Node.GetID()] = v.Node
	case *wire.Record_Stop:
		writable(e, "Stop", &e.stops)[v.Stop.GetNodeID()] = v.Stop
	case *wire.Record_Group:
		writable(e, "Group", &e.groups)[v.Group.GetName()] = v.Group
	case *wire.Record_ExpertMap:
		if v.ExpertMap.GetCommitted() {
			writable(e, "ExpertMap", &e.maps)[v.ExpertMap.GetGroup()] = v.ExpertMap
		} else {
			writable(e, "StagedMap", &e.staged)[v.ExpertMap.GetGroup()] = v.ExpertMap
		}
	}
}

func (e *configEdit) remove(key string) {
	kind, name, _ := strings.Cut(key, "/")

	switch kind {
	case "Service":
		delete(writable(e, kind, &e.services), name)
	case "Zone":
		delete(writable(e, kind, &e.zones), name)
	case "Target":
		delete(writable(e, kind, &e.policies), name)
	case "Workspace":
		delete(writable(e, kind, &e.workspaces), name)
	case "Node":
		delete(writable(e, kind, &e.nodes), name)
	case "Stop":
		delete(writable(e, kind, &e.stops), name)
	case "Group":
		delete(writable(e, kind, &e.groups), name)
	case "ExpertMap":
		delete(writable(e, kind, &e.maps), name)
	case "StagedMap":
		delete(writable(e, kind, &e.staged), name)
	}
}

// writable returns a table for writing. It copies the table before the first write.
func writable[T any](e *configEdit, kind string, table *map[string]*T) map[string]*T {
	if !e.copied[kind] {
		e.copied[kind] = true
		*table = maps.Clone(*table)

		if *table == nil {
			*table = map[string]*T{}
		}
	}

	return *table
}

func sortedByName[T any](table map[string]*T) []*T {
	out := make([]*T, 0, len(table))
	for _, name := range slices.Sorted(maps.Keys(table)) {
		out = append(out, table[name])
	}

	return out
}
