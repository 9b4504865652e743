package priority_test

import (
	"math"
	"testing"

	"github.com/parsleygate/parsleygate/internal/priority"
)

// Guards against a route's priority that overtakes another workspace's, and against a level out
// of range.
func TestLevelIsFormedFromWorkspaceThenRoute(t *testing.T) {
	t.Parallel()

	for _, c := range []struct {
		workspace, route uint32
		want             priority.Level
	}{
		{0, 0, 0},
		{0, 3, 3},
		{1, 0, 4},
		{3, 3, priority.NumLevels - 1},
		{0, math.MaxUint32, 3},
		{math.MaxUint32, 0, 12},
		{math.MaxUint32, math.MaxUint32, priority.NumLevels - 1},
	} {
		if got := priority.LevelOf(c.workspace, c.route); got != c.want {
			t.Errorf("workspace %d, route %d: level %d, want %d", c.workspace, c.route, got, c.want)
		}
	}
}
