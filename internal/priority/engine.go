package priority

// enginePriorities is the number of distinct values that a priority of a workspace or a route has for
// an engine, which knows ten priorities in all.
const enginePriorities = 3

// EngineValue returns the priority of a request of this level for an engine: 0 is admitted first, and
// engines take 5 for a request without a value. Engines tell fewer priorities apart than levels do, so
// the two last values of each priority are the same to them.
func (l Level) EngineValue() int {
	workspace, route := min(int(l)/priorities, enginePriorities-1), min(int(l)%priorities, enginePriorities-1)

	return workspace*enginePriorities + route
}
