package priority

const (
	// priorities is the number of distinct values that a priority of a workspace or a route has in
	// a level.
	priorities = 4
	// NumLevels is the number of levels.
	NumLevels = priorities * priorities
)

// Level is the position of a request in the order of urgency. Level 0 comes first.
type Level uint8

// LevelOf returns the level of a request. The workspace's priority counts first, the route's within
// it: a route may be more urgent than another one of the same customer, never than another
// customer's that operators put before it.
func LevelOf(workspace, route uint32) Level {
	return Level(min(workspace, priorities-1)*priorities + min(route, priorities-1))
}
