package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

var start = time.Unix(1_000_000, 0)

// bench drives a core through time.
type bench struct {
	t    testing.TB
	core Core
	now  time.Time
	n    int
}

// newBench makes a core whose target is up, idle and warm at limit warm, with cold as its floor.
func newBench(t testing.TB, cold, warm uint32) *bench {
	t.Helper()

	b := &bench{t: t, now: start.Add(time.Second)}
	b.core = Core{AgentID: "agent-1", Incarnation: 3, Started: start}
	b.view(View{Version: 1, FreshUntil: start.Add(time.Hour), ColdLimit: cold, WarmLimit: warm})
	b.announce("boot-1", false)
	b.announce("boot-1", false)
	b.core.ramp.limit = float64(warm)

	return b
}

func (b *bench) view(v View) { b.core.ChangeView(b.now, v) }

func (b *bench) announce(boot string, cold bool) {
	b.core.Announce(b.now, Announcement{
		BootID: boot, Service: "assist", Cold: cold, InFlight: b.core.Load().InFlight, InFlightKnown: true,
	})
}

// pass lets d go by while the target keeps announcing itself.
func (b *bench) pass(d time.Duration) {
	for d > 0 {
		step := min(d, 100*time.Millisecond)
		b.now = b.now.Add(step)
		d -= step
		b.core.target.announcedAt = b.now
		b.core.Tick(b.now)
	}
}

func (b *bench) grant(entryID string, wanted uint32) Credit {
	return b.core.Grant(b.now, GrantRequest{EntryID: entryID, Wanted: wanted}).Credit
}

// arrival makes a request with a fresh attempt ID on c.
func (b *bench) arrival(c Credit) Request {
	b.n++

	return Request{AttemptID: "a" + strconv.Itoa(b.n), Credit: c, Service: "assist", ViewVersion: 1, ViewFresh: true}
}

// admit lets one request in, on a fresh credit.
func (b *bench) admit() Request {
	b.t.Helper()

	r := b.arrival(b.grant("entry-1", 64))
	d := b.core.Admit(b.now, r)
	require.True(b.t, d.Admitted, "%+v", d)

	return r
}

// serve lets n requests through at the same time, each with its first token after d.
func (b *bench) serve(n int, d time.Duration) {
	b.t.Helper()

	var in []Request

	for range n {
		r := b.arrival(b.grant("entry-1", 64))
		if b.core.Admit(b.now, r).Admitted {
			in = append(in, r)
		}
	}

	b.now = b.now.Add(d)
	b.core.target.announcedAt = b.now

	for _, r := range in {
		b.core.FirstToken(b.now, r.AttemptID)
		b.ran(r, nil)
	}
}

func (b *bench) ran(r Request, answer *wire.Answer) {
	b.core.Finish(b.now, r.AttemptID, Outcome{Verdict: verdict.Ran, Answer: answer})
}

func (b *bench) ask(r Request, closeIt bool) AttemptStatus {
	return b.core.QueryAttempt(b.now, AttemptQuery{
		AttemptID:           r.AttemptID,
		Incarnation:         r.Credit.Incarnation,
		CreditExpiresAtTick: r.Credit.ExpiresAtTick,
		Close:               closeIt,
	})
}

// requireRefused sends r and checks how it is refused.
func (b *bench) requireRefused(r Request, v verdict.Verdict, cause verdict.Cause) {
	b.t.Helper()

	d := b.core.Admit(b.now, r)
	require.False(b.t, d.Admitted)
	require.Equal(b.t, cause, d.Cause)
	require.Equal(b.t, v, d.Verdict)
}
