package view

import (
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Snapshot is the configuration in force for this process. It and the messages that it
// returns are immutable.
type Snapshot struct {
	// Version is the log index of the last change of the configuration; zero means
	// that none has been received yet.
	Version uint64
	// ValidUntil is the end of the lease. Until then, no decision missing from this
	// snapshot is reported as in force anywhere.
	ValidUntil time.Time

	config  *configuration
	targets func() map[string][]Target
}

func newSnapshot(version uint64, validUntil time.Time, c *configuration) *Snapshot {
	s := &Snapshot{Version: version, ValidUntil: validUntil, config: c}
	s.targets = sync.OnceValue(s.listTargets)

	return s
}

// withLease returns the same configuration with another end of the lease.
func (s *Snapshot) withLease(validUntil time.Time) *Snapshot {
	return &Snapshot{Version: s.Version, ValidUntil: validUntil, config: s.config, targets: s.targets}
}

// Valid reports whether the lease still holds at now.
func (s *Snapshot) Valid(now time.Time) bool { return now.Before(s.ValidUntil) }

// Service returns the declaration of a service, if it is declared.
func (s *Snapshot) Service(name string) (*wire.Service, bool) {
	v, ok := s.config.services[name]
	return v, ok
}

// Services returns all services, sorted by name.
func (s *Snapshot) Services() []*wire.Service { return sortedByName(s.config.services) }

// Zone returns an availability zone, if it is declared.
func (s *Snapshot) Zone(name string) (*wire.Zone, bool) {
	v, ok := s.config.zones[name]
	return v, ok
}

// Zones returns all availability zones, sorted by name.
func (s *Snapshot) Zones() []*wire.Zone { return sortedByName(s.config.zones) }

// ZoneInUse reports whether new work may go into the zone. An undeclared zone is not
// in use.
func (s *Snapshot) ZoneInUse(name string) bool {
	zone, ok := s.config.zones[name]
	return ok && !zone.GetOut()
}

// Retired reports whether operators retired the target of the agent.
func (s *Snapshot) Retired(agentID string) bool { return s.config.policies[agentID].GetRetired() }

// Stopping reports whether operators plan to stop the process.
func (s *Snapshot) Stopping(nodeID string) bool {
	_, ok := s.config.stops[nodeID]
	return ok
}

// Workspace returns the scheduling share of a workspace.
func (s *Snapshot) Workspace(name string) (*wire.Workspace, bool) {
	v, ok := s.config.workspaces[name]
	return v, ok
}

// Node returns a process in the directory.
func (s *Snapshot) Node(id string) (*wire.Node, bool) {
	v, ok := s.config.nodes[id]
	return v, ok
}

// Nodes returns all processes in the directory, sorted by ID.
func (s *Snapshot) Nodes() []*wire.Node { return sortedByName(s.config.nodes) }

// ExpertMap returns the committed map of a group.
func (s *Snapshot) ExpertMap(group string) (*wire.ExpertMap, bool) {
	v, ok := s.config.maps[group]
	return v, ok
}

// StagedMap returns the map that the ranks of a group are to stage.
func (s *Snapshot) StagedMap(group string) (*wire.ExpertMap, bool) {
	v, ok := s.config.staged[group]
	return v, ok
}

// Group returns the declaration of an expert group.
func (s *Snapshot) Group(name string) (*wire.Group, bool) {
	v, ok := s.config.groups[name]
	return v, ok
}

// Target is one target of a service, with the reasons for which it may get no new
// work.
type Target struct {
	Node *wire.Node
	// ZoneOut means that its availability zone is out or not declared.
	ZoneOut  bool
	Retired  bool
	Stopping bool
}

// Admissible reports whether the target may get new work.
func (t Target) Admissible() bool {
	return !t.ZoneOut && !t.Retired && !t.Stopping && !t.Node.GetLeaving() && t.Node.GetBootID() != ""
}

// Targets returns the targets of a service, sorted by agent ID. Callers must not
// modify the slice.
func (s *Snapshot) Targets(service string) []Target { return s.targets()[service] }

func (s *Snapshot) listTargets() map[string][]Target {
	out := map[string][]Target{}

	for _, node := range s.Nodes() {
		if node.GetKind() != wire.NodeKind_NodeAgent {
			continue
		}

		out[node.GetService()] = append(out[node.GetService()], Target{
			Node:     node,
			ZoneOut:  !s.ZoneInUse(node.GetZone()),
			Retired:  s.Retired(node.GetID()),
			Stopping: s.Stopping(node.GetID()),
		})
	}

	return out
}
