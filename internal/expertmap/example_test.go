package expertmap_test

import (
	"fmt"
	"time"

	"github.com/parsleygate/parsleygate/internal/expertmap"
)

// A group of one rank switches from map 1 to map 2. The example plays the part
// of the caller that appends entries to the log and delivers messages.
func Example() {
	now := time.Unix(0, 0)
	c := &expertmap.Coordinator{Ranks: 1, SwitchLead: 10, StageTimeout: time.Minute, PrepareTimeout: time.Minute}
	p := &expertmap.Participant{Rank: 0, Incarnation: 1 << 32}
	c.Start(expertmap.Record{Current: expertmap.Activation{Version: 1}})

	index := expertmap.Fence(0)
	queue := append(c.Lead(now), p.Tick(now)...)
	proposed := false
	for len(queue) > 0 {
		a := queue[0]
		queue = queue[1:]
		switch a.Kind {
		case expertmap.ActionAppend:
			index++
			queue = append(queue, c.Apply(now, index, a.Entry)...)
		case expertmap.ActionOrder:
			queue = append(queue, p.Receive(now, a.Order)...)
		case expertmap.ActionStatus:
			queue = append(queue, c.Receive(now, a.Status)...)
			if a.Status.Confirmed && !proposed {
				proposed = true
				more, _ := c.Propose(now, 2)
				queue = append(queue, more...)
			}
		case expertmap.ActionLoad:
			queue = append(queue, p.Loaded(now, a.Version, true)...)
		case expertmap.ActionHold:
			fmt.Println("hold at step", a.Step)
			queue = append(queue, p.Held(now, a.Fence, true)...)
		case expertmap.ActionRun:
			fmt.Println("map", a.Activation.Version, "is in force from step", a.Activation.Step)
		}
	}
	// Output:
	// map 1 is in force from step 0
	// hold at step 10
	// map 2 is in force from step 10
}
