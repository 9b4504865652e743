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

// harness drives a core with simulated time.
type harness struct {
	t    testing.TB
	core Core
	now  time.Time
	n    int
}

// newHarness returns a harness whose target is up, idle and warm, with the given cold
// and warm limits.
func newHarness(t testing.TB, cold, warm uint32) *harness {
	t.Helper()

	h := &harness{t: t, now: start.Add(time.Second)}
	h.core = Core{AgentID: "agent-1", Incarnation: 3, Started: start}
	h.view(View{Version: 1, FreshUntil: start.Add(time.Hour), ColdLimit: cold, WarmLimit: warm})
	h.announce("boot-1", false)
	h.announce("boot-1", false)
	h.core.ramp.limit = float64(warm)

	return h
}

func (h *harness) view(v View) { h.core.ChangeView(h.now, v) }

func (h *harness) announce(boot string, cold bool) {
	h.core.Announce(h.now, Announcement{
		BootID: boot, Service: "assist", Cold: cold, InFlight: h.core.Load().InFlight, InFlightKnown: true,
	})
}

// advance moves the time forward by d in steps of at most 100 ms. The target announces
// itself at each step.
func (h *harness) advance(d time.Duration) {
	for d > 0 {
		step := min(d, 100*time.Millisecond)
		h.now = h.now.Add(step)
		d -= step
		h.core.target.announcedAt = h.now
		h.core.Tick(h.now)
	}
}

func (h *harness) grant(entryID string, wanted uint32) Credit {
	return h.core.Grant(h.now, GrantRequest{EntryID: entryID, Wanted: wanted}).Credit
}

// request returns a request with a new attempt ID on credit c.
func (h *harness) request(c Credit) Request {
	h.n++

	return Request{AttemptID: "a" + strconv.Itoa(h.n), Credit: c, Service: "assist", ViewVersion: 1, ViewFresh: true}
}

// admit admits one request on a new credit.
func (h *harness) admit() Request {
	h.t.Helper()

	r := h.request(h.grant("entry-1", 64))
	d := h.core.Admit(h.now, r)
	require.True(h.t, d.Admitted, "%+v", d)

	return r
}

// completeConcurrent admits up to n requests at the same time. After d each gets its first
// token and completes.
func (h *harness) completeConcurrent(n int, d time.Duration) {
	h.t.Helper()

	var admitted []Request

	for range n {
		r := h.request(h.grant("entry-1", 64))
		if h.core.Admit(h.now, r).Admitted {
			admitted = append(admitted, r)
		}
	}

	h.now = h.now.Add(d)
	h.core.target.announcedAt = h.now

	for _, r := range admitted {
		h.core.FirstToken(h.now, r.AttemptID)
		h.complete(r, nil)
	}
}

func (h *harness) complete(r Request, answer *wire.Answer) {
	h.core.Finish(h.now, r.AttemptID, Outcome{Verdict: verdict.Ran, Answer: answer})
}

func (h *harness) query(r Request, closeUnknown bool) AttemptStatus {
	return h.core.QueryAttempt(h.now, AttemptQuery{
		AttemptID:           r.AttemptID,
		Incarnation:         r.Credit.Incarnation,
		CreditExpiresAtTick: r.Credit.ExpiresAtTick,
		Close:               closeUnknown,
	})
}

// requireRejected checks that r is rejected with the given verdict and cause.
func (h *harness) requireRejected(r Request, v verdict.Verdict, cause verdict.Cause) {
	h.t.Helper()

	d := h.core.Admit(h.now, r)
	require.False(h.t, d.Admitted)
	require.Equal(h.t, cause, d.Cause)
	require.Equal(h.t, v, d.Verdict)
}
