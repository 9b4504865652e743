package admission_test

import (
	"fmt"
	"time"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// A cold target may hold one request at a time. A second request is rejected, and so is
// a duplicate of the first.
func ExampleCore() {
	now := time.Unix(0, 0)
	c := admission.Core{AgentID: "agent-1", Incarnation: 1, Started: now}
	c.ChangeView(now, admission.View{Version: 1, FreshUntil: now.Add(time.Minute), ColdLimit: 1, WarmLimit: 8})

	// The second announcement shows that no request of an earlier agent incarnation
	// is left.
	for range 2 {
		now = now.Add(time.Second)
		c.Announce(now, admission.Announcement{BootID: "boot-1", Service: "assist", Capacity: 8, InFlightKnown: true})
	}

	credit := c.Grant(now, admission.GrantRequest{EntryID: "entry-1", Wanted: 4}).Credit
	first := admission.Request{AttemptID: "first", Credit: credit, Service: "assist"}
	second := admission.Request{AttemptID: "second", Credit: credit, Service: "assist"}

	fmt.Println("slots:", credit.Slots)
	fmt.Println("first:", c.Admit(now, first).Admitted)

	d := c.Admit(now, second)
	fmt.Println("second:", d.Cause, d.Verdict)

	c.Finish(now, "first", admission.Outcome{Verdict: verdict.Ran})

	d = c.Admit(now, first)
	fmt.Println("copy:", d.Cause, d.Verdict)
	// Output:
	// slots: 1
	// first: true
	// second: ColdLimit NotRun
	// copy: DuplicateAttempt Ran
}
