package relay

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxCountedWorkspaces is the number of workspaces that are counted at a time. A workspace with
	// more than one in so many requests is always among them.
	maxCountedWorkspaces = 256
	// shownWorkspaces is the number of workspaces in a dump and in the metrics.
	shownWorkspaces = 10
	// requestHalfLife is the time after which a request counts half in the choice of workspaces.
	requestHalfLife = time.Minute
)

// workspaceCounts counts the requests of the workspaces that had most lately. It is a space-saving
// counter: a workspace that is not counted replaces the one with the fewest requests, and inherits
// their number, so that a busy workspace is found although there are far more than it remembers.
type workspaceCounts struct {
	counted  []workspaceCount
	index    map[string]int // into counted
	halvedAt time.Time
	// waiting counts the waiting requests of all workspaces that have some.
	waiting map[string]int
}

type workspaceCount struct {
	name  string
	since time.Time
	// recent is the number of requests since then, and inherited that of the workspaces counted
	// before in this place; both are halved after each requestHalfLife.
	recent, inherited     float64
	placed, late, refused int64
}

// WorkspaceState is the state of a workspace in a dump.
type WorkspaceState struct {
	Workspace string
	// Since is when this entry began to count the workspace. A workspace with few requests may be
	// dropped meanwhile, and starts at 0 when it is counted again.
	Since time.Time
	// Recent is the number of requests, where one counts half after a minute.
	Recent                float64
	Waiting               int
	Placed, Late, Refused int64
}

// arrive counts a request.
func (c *workspaceCounts) arrive(now time.Time, name string) {
	c.halve(now)

	if i, ok := c.index[name]; ok {
		c.counted[i].recent++

		return
	}

	if c.index == nil {
		c.index = make(map[string]int, maxCountedWorkspaces)
	}

	if len(c.counted) < maxCountedWorkspaces {
		c.index[name] = len(c.counted)
		c.counted = append(c.counted, workspaceCount{name: name, since: now, recent: 1})

		return
	}

	fewest := 0

	for i := range c.counted {
		if c.counted[i].total() < c.counted[fewest].total() {
			fewest = i
		}
	}

	delete(c.index, c.counted[fewest].name)
	c.index[name] = fewest
	c.counted[fewest] = workspaceCount{name: name, since: now, recent: 1, inherited: c.counted[fewest].total()}
}

func (w *workspaceCount) total() float64 { return w.recent + w.inherited }

// halve applies the half-life for the time since the last call.
func (c *workspaceCounts) halve(now time.Time) {
	if c.halvedAt.IsZero() {
		c.halvedAt = now
	}

	n := now.Sub(c.halvedAt) / requestHalfLife
	if n <= 0 {
		return
	}

	c.halvedAt = c.halvedAt.Add(n * requestHalfLife)
	factor := math.Exp2(-float64(n))

	for i := range c.counted {
		c.counted[i].recent *= factor
		c.counted[i].inherited *= factor
	}
}

// get returns the counts of a workspace, or nil if it is not counted now.
func (c *workspaceCounts) get(name string) *workspaceCount {
	if i, ok := c.index[name]; ok {
		return &c.counted[i]
	}

	return nil
}

// wait adds n to the number of waiting requests of a workspace.
func (c *workspaceCounts) wait(name string, n int) {
	if c.waiting == nil {
		c.waiting = make(map[string]int)
	}

	if c.waiting[name] += n; c.waiting[name] <= 0 {
		delete(c.waiting, name)
	}
}

// top returns the workspaces with most requests lately, those with most first.
func (c *workspaceCounts) top(now time.Time) []WorkspaceState {
	c.halve(now)

	out := make([]WorkspaceState, 0, len(c.counted))

	for i := range c.counted {
		w := &c.counted[i]
		out = append(out, WorkspaceState{
			Workspace: w.name, Since: w.since, Recent: w.recent, Waiting: c.waiting[w.name], Placed: w.placed, Late: w.late, Refused: w.refused,
		})
	}

	slices.SortFunc(out, func(a, b WorkspaceState) int {
		return cmp.Or(cmp.Compare(b.Recent, a.Recent), cmp.Compare(a.Workspace, b.Workspace))
	})

	return out[:min(len(out), shownWorkspaces)]
}
