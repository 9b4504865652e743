package priority_test

import (
	"testing"

	"github.com/parsleygate/parsleygate/internal/priority"
)

// Guards against a value that puts a request before a more urgent one in engines, and against values
// that engines do not know.
func TestEnginesGetAValueForEachPairOfPriorities(t *testing.T) {
	t.Parallel()

	want := [4][4]int{{0, 1, 2, 2}, {3, 4, 5, 5}, {6, 7, 8, 8}, {6, 7, 8, 8}}

	for workspace := range want {
		for route := range want[workspace] {
			if got := priority.LevelOf(uint32(workspace), uint32(route)).EngineValue(); got != want[workspace][route] {
				t.Errorf("workspace %d, route %d: value %d, want %d", workspace, route, got, want[workspace][route])
			}
		}
	}

	if got := priority.Level(255).EngineValue(); got != 8 {
		t.Errorf("a level out of range: value %d, want 8", got)
	}
}
