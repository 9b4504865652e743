package ledger

import (
	"strings"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Prefixes of record keys.
const (
	ServicePrefix   = "Service/"
	ZonePrefix      = "Zone/"
	TargetPrefix    = "Target/"
	WorkspacePrefix = "Workspace/"
	ExpertMapPrefix = "ExpertMap/"
	StagedMapPrefix = "StagedMap/"
	NodePrefix      = "Node/"
	StopPrefix      = "Stop/"
	GroupPrefix     = "Group/"
)

// KeyOf returns the key of a record, or "" for a record without a value.
func KeyOf(record *wire.Record) string {
	switch v := record.GetValue().(type) {
	case *wire.Record_Service:
		return ServicePrefix + v.Service.GetName()
	case *wire.Record_Zone:
		return ZonePrefix + v.Zone.GetName()
	case *wire.Record_TargetPolicy:
		return TargetPrefix + v.TargetPolicy.GetAgentID()
	case *wire.Record_Workspace:
		return WorkspacePrefix + v.Workspace.GetName()
	case *wire.Record_ExpertMap:
		return mapKey(v.ExpertMap)
	case *wire.Record_Node:
		return NodePrefix + v.Node.GetID()
	case *wire.Record_Stop:
		return StopPrefix + v.Stop.GetNodeID()
	case *wire.Record_Group:
		return GroupPrefix + v.Group.GetName()
	default:
		return ""
	}
}

func mapKey(m *wire.ExpertMap) string {
	if m.GetCommitted() {
		return ExpertMapPrefix + m.GetGroup()
	}

	return StagedMapPrefix + m.GetGroup()
}

// operatorPrefixes are the prefixes of records that only operators' decisions write.
var operatorPrefixes = []string{
	ServicePrefix, ZonePrefix, TargetPrefix, WorkspacePrefix, StopPrefix, GroupPrefix,
}

// OperatorOwned reports whether only operators' decisions write the record at key.
func OperatorOwned(key string) bool { return hasAnyPrefix(key, operatorPrefixes) }

// capacityPrefixes are the prefixes of records that affect the capacity of a service.
var capacityPrefixes = []string{ServicePrefix, ZonePrefix, TargetPrefix, StopPrefix}

// AffectsCapacity reports whether the record at key affects the capacity of a service.
func AffectsCapacity(key string) bool { return hasAnyPrefix(key, capacityPrefixes) }

func hasAnyPrefix(key string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}

	return false
}
