package priority_test

import (
	"testing"

	"github.com/parsleygate/parsleygate/internal/priority"
)

// Guards against serving by priority where operators did not ask for it, as earlier deployments
// must be served as before.
func TestOnlyDeclaredPrioritiesSelectAService(t *testing.T) {
	t.Parallel()

	for _, c := range []struct {
		control                 priority.Control
		declared, engines, want bool
	}{
		{priority.Auto, true, true, true},
		{priority.Auto, false, true, false},
		{priority.Auto, true, false, false},
		{priority.All, false, true, true},
		{priority.All, true, false, false},
		{priority.None, true, true, false},
	} {
		if got := c.control.Selects(c.declared, c.engines); got != c.want {
			t.Errorf("control %d, declared %t, engines %t: selected %t, want %t", c.control, c.declared, c.engines, got, c.want)
		}
	}
}
