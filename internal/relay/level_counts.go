package relay

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/priority"
	"github.com/parsleygate/parsleygate/internal/routes"
)

// maxCountedGroups is the number of groups whose requests are counted: those used last.
const maxCountedGroups = 1024

// levelCounts counts the requests to prioritized services, for operators. It is safe for concurrent
// use. The zero value is ready to use.
type levelCounts struct {
	mu         sync.Mutex
	services   map[string]*serviceCounts
	groups     *simplelru.LRU[groupID, *groupCounts]
	workspaces workspaceCounts
}

type groupID struct{ service, group string }

// serviceCounts counts the requests that have no group, by level.
type serviceCounts struct {
	waiting [priority.NumLevels]int
	refused [priority.NumLevels]int64
}

// groupCounts counts the requests of a group, by level.
type groupCounts struct{ placed, late [priority.NumLevels]int64 }

// ServiceLevels is the state of the requests of a prioritized service in a dump. Counters are totals
// since the start of the process.
type ServiceLevels struct {
	Service string
	// Levels holds the levels that had requests. Requests that wait or are refused have no group.
	Levels []LevelState
	Groups []GroupLevels
}

// LevelState counts the requests of one level of a service.
type LevelState struct {
	Level   priority.Level
	Waiting int
	Refused int64
}

// GroupLevels is the state of one group of a prioritized service.
type GroupLevels struct {
	Group string
	// Levels holds the levels that had requests.
	Levels []GroupLevelState
}

// GroupLevelState counts the requests of one level in a group: how often one was placed there, and
// those whose first event was later than the latency target of their route, or a gap between two
// events longer than the route's.
type GroupLevelState struct {
	Level        priority.Level
	Placed, Late int64
}

// service returns the counts of a service. The caller holds mu.
func (c *levelCounts) service(name string) *serviceCounts {
	s := c.services[name]
	if s == nil {
		if c.services == nil {
			c.services = make(map[string]*serviceCounts)
		}

		s = &serviceCounts{}
		c.services[name] = s
	}

	return s
}

// group returns the counts of a group. The caller holds mu.
func (c *levelCounts) group(id groupID) *groupCounts {
	if c.groups == nil {
		c.groups, _ = simplelru.NewLRU[groupID, *groupCounts](maxCountedGroups, nil) // The only error is a size below 1.
	}

	g, ok := c.groups.Get(id)
	if !ok {
		g = &groupCounts{}
		c.groups.Add(id, g)
	}

	return g
}

// arrive counts a request of a workspace.
func (c *levelCounts) arrive(now time.Time, workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.workspaces.arrive(now, workspace)
}

// wait adds n to the number of waiting requests.
func (c *levelCounts) wait(service, workspace string, l priority.Level, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.service(service).waiting[l] += n
	c.workspaces.wait(workspace, n)
}

func (c *levelCounts) refuse(service, workspace string, l priority.Level) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.service(service).refused[l]++

	if w := c.workspaces.get(workspace); w != nil {
		w.refused++
	}
}

func (c *levelCounts) place(id groupID, workspace string, l priority.Level) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.group(id).placed[l]++

	if w := c.workspaces.get(workspace); w != nil {
		w.placed++
	}
}

func (c *levelCounts) lateAt(id groupID, workspace string, l priority.Level) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.group(id).late[l]++

	if w := c.workspaces.get(workspace); w != nil {
		w.late++
	}
}

// retain drops the services that are no longer prioritized and have no waiting request, and the groups
// that no target is in.
func (c *levelCounts) retain(prioritized func(service string) bool, hasTargets func(id groupID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for name, s := range c.services {
		if !prioritized(name) && s.waiting == ([priority.NumLevels]int{}) {
			delete(c.services, name)
		}
	}

	if c.groups == nil {
		return
	}

	for _, id := range c.groups.Keys() {
		if !prioritized(id.service) || !hasTargets(id) {
			c.groups.Remove(id)
		}
	}
}

// state returns the counts of all services, sorted by name.
func (c *levelCounts) state() []ServiceLevels {
	c.mu.Lock()
	defer c.mu.Unlock()

	byName := make(map[string]*ServiceLevels, len(c.services))

	for name, s := range c.services {
		out := &ServiceLevels{Service: name}

		for l := range priority.Level(priority.NumLevels) {
			if s.waiting[l] != 0 || s.refused[l] != 0 {
				out.Levels = append(out.Levels, LevelState{Level: l, Waiting: s.waiting[l], Refused: s.refused[l]})
			}
		}

		byName[name] = out
	}

	if c.groups != nil {
		for _, id := range c.groups.Keys() {
			g, _ := c.groups.Peek(id)

			if byName[id.service] == nil {
				byName[id.service] = &ServiceLevels{Service: id.service}
			}

			byName[id.service].Groups = append(byName[id.service].Groups, g.state(id.group))
		}
	}

	out := make([]ServiceLevels, 0, len(byName))

	for _, name := range slices.Sorted(maps.Keys(byName)) {
		s := byName[name]
		slices.SortFunc(s.Groups, func(a, b GroupLevels) int { return cmp.Compare(a.Group, b.Group) })
		out = append(out, *s)
	}

	return out
}

func (g *groupCounts) state(name string) GroupLevels {
	out := GroupLevels{Group: name}

	for l := range priority.Level(priority.NumLevels) {
		if g.placed[l] != 0 || g.late[l] != 0 {
			out.Levels = append(out.Levels, GroupLevelState{Level: l, Placed: g.placed[l], Late: g.late[l]})
		}
	}

	return out
}

// workspaceState returns the workspaces with most requests lately.
func (c *levelCounts) workspaceState(now time.Time) []WorkspaceState {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.workspaces.top(now)
}

// isPrioritized reports whether the requests of a service are served by declared priorities.
func (r *Relay) isPrioritized(table *routes.Table, s *routes.Service) bool {
	return r.PriorityControl.Selects(table.HasPriorities(s.Name), s.Slots > 0)
}

// setPrioritized determines whether the request's service is prioritized, and what follows from it.
func (p *proxiedRequest) setPrioritized(table *routes.Table) {
	s := table.Service(p.service)
	if s == nil || !p.relay.isPrioritized(table, s) {
		return
	}

	p.prioritized, p.engine = true, &s.Engine
	p.expectedWork = p.estimateWork()
	p.relay.levels.arrive(p.arrivedAt, p.workspaceName())
}

// level returns the level of the request.
func (p *proxiedRequest) level() priority.Level {
	workspace := uint32(0)
	if p.workspace != nil {
		workspace = p.workspace.Priority
	}

	return priority.LevelOf(workspace, p.route.Priority)
}

func (p *proxiedRequest) beginWaiting() {
	if p.prioritized {
		p.relay.levels.wait(p.service, p.workspaceName(), p.level(), 1)
	}
}

func (p *proxiedRequest) endWaiting() {
	if p.prioritized {
		p.relay.levels.wait(p.service, p.workspaceName(), p.level(), -1)
	}
}

func (p *proxiedRequest) countPlaced(a dispatch.Action) {
	if p.prioritized {
		p.relay.levels.place(groupID{p.service, a.Target.Group}, p.workspaceName(), p.level())
	}
}

func (p *proxiedRequest) countRefused() {
	if p.prioritized {
		p.relay.levels.refuse(p.service, p.workspaceName(), p.level())
	}
}

// countLate counts the request as late, once.
func (p *proxiedRequest) countLate() {
	if p.prioritized && !p.late {
		p.late = true
		p.relay.levels.lateAt(groupID{p.service, p.placed.Target.Group}, p.workspaceName(), p.level())
	}
}
