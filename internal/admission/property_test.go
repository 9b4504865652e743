package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// TestMain fixes the random seed. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}

	os.Exit(m.Run())
}

// modelTarget is the actual state of the target, which may differ from the agent's view.
type modelTarget struct {
	bootID string
	cold   bool
	// running maps each request in progress to the time at which the target drops it
	// by itself, or to zero while the agent's connection is open.
	running map[string]time.Time
	// reported is the number of requests in progress at some time since the last
	// announcement.
	reported int
}

// simulation drives the target and one core, which is replaced when the agent restarts,
// with random events.
type simulation struct {
	t       *rapid.T
	now     time.Time
	core    Core
	view    View
	target  modelTarget
	credits []Credit
	sent    []Request
	// open holds the attempts that the current incarnation has admitted and that have
	// not ended.
	open []string
	// admitted counts the admissions of each attempt. notRun holds the attempts that
	// were reported as NotRun and must never run afterwards.
	admitted map[string]int
	notRun   map[string]bool
	n        int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: start, admitted: map[string]int{}, notRun: map[string]bool{}}
	s.view = View{Version: 1, FreshUntil: start.Add(time.Hour), ColdLimit: 2, WarmLimit: 12}
	s.target = modelTarget{bootID: "boot-0", running: map[string]time.Time{}}
	s.core = Core{AgentID: "agent-1", Incarnation: 1, Started: start, Settings: s.settings()}
	s.core.ChangeView(s.now, s.view)

	return s
}

// settings returns a short retention and a small store, so that simulations exceed both.
func (s *simulation) settings() Settings {
	return Settings{AttemptRetention: 3 * time.Second, MaxAttempts: 8}
}

func (s *simulation) pick(n int, what string) int { return rapid.IntRange(0, n-1).Draw(s.t, what) }

func (s *simulation) advance() {
	d := time.Duration(rapid.SampledFrom([]int{1, 10, 60, 300, 1100, 2500}).Draw(s.t, "ms")) * time.Millisecond
	s.now = s.now.Add(d)
	s.expireAbandoned()

	if s.pick(3, "tick") > 0 {
		s.core.Tick(s.now)
	}
}

// expireAbandoned removes the requests that the target has dropped by itself.
func (s *simulation) expireAbandoned() {
	for id, until := range s.target.running {
		if !until.IsZero() && !until.After(s.now) {
			delete(s.target.running, id)
		}
	}
}

func (s *simulation) announce() {
	s.core.Announce(s.now, Announcement{
		BootID: s.target.bootID, Service: "assist", Cold: s.target.cold,
		InFlight: uint32(s.target.reported), InFlightKnown: s.pick(4, "counted") > 0,
	})
	s.countInFlight()
}

// countInFlight sets the number of requests that the next announcement reports.
func (s *simulation) countInFlight() { s.target.reported = len(s.target.running) }

func (s *simulation) grant() {
	id := fmt.Sprintf("entry-%d", s.pick(20, "entry"))
	g := s.core.Grant(s.now, GrantRequest{EntryID: id, Wanted: uint32(s.pick(6, "wanted"))})
	s.credits = append(s.credits, g.Credit)
}

// send sends a new request on a recent credit, or a duplicate of an earlier request.
func (s *simulation) send() {
	if len(s.credits) == 0 {
		return
	}

	var r Request
	if len(s.sent) > 0 && s.pick(4, "again") == 0 {
		r = s.sent[len(s.sent)-1-s.pick(min(len(s.sent), 20), "old")]
	} else {
		s.n++
		c := s.credits[len(s.credits)-1-s.pick(min(len(s.credits), 4), "credit")]
		r = Request{AttemptID: fmt.Sprint(s.n), Credit: c, Service: "assist", ViewVersion: s.view.Version}
		s.sent = append(s.sent, r)
	}

	s.admit(r)
}

func (s *simulation) admit(r Request) {
	id := r.AttemptID
	cold := s.core.Load().Cold
	d := s.core.Admit(s.now, r)

	if !d.Admitted {
		sameAgent := r.Credit.Incarnation == s.core.Incarnation
		if d.Verdict == verdict.NotRun && sameAgent {
			require.Zero(s.t, s.admitted[id]*s.toInt(!s.notRun[id]), "NotRun reported for an admitted attempt")
			s.notRun[id] = true
		}

		return
	}

	require.False(s.t, s.notRun[id], "attempt admitted after it was reported as NotRun")
	s.admitted[id]++
	require.Equal(s.t, 1, s.admitted[id], "attempt admitted twice")
	require.False(s.t, s.view.ZoneOut)

	s.target.running[id] = time.Time{}
	s.open = append(s.open, id)
	s.checkLimit(cold)
}

func (s *simulation) toInt(b bool) int {
	if b {
		return 1
	}

	return 0
}

// checkLimit checks the limits after an admission.
func (s *simulation) checkLimit(cold bool) {
	l := s.core.Load()
	require.LessOrEqual(s.t, l.InFlight, l.Limit)
	require.LessOrEqual(s.t, l.Limit, s.view.WarmLimit)

	if cold {
		require.LessOrEqual(s.t, len(s.target.running), int(l.Limit), "ramping target exceeds its limit")
	}

	if s.target.cold && s.core.ramp.engineCold {
		require.LessOrEqual(s.t, l.Limit, s.view.ColdLimit)
	}
}

// finish ends an open attempt: with a complete answer, with a connection refused by the
// target, or abandoned.
func (s *simulation) finish() {
	if len(s.open) == 0 {
		return
	}

	i := s.pick(len(s.open), "open")
	id := s.open[i]
	s.open = append(s.open[:i], s.open[i+1:]...)

	switch s.pick(6, "how") {
	case 0:
		s.core.Finish(s.now, id, Outcome{Abandoned: true})
		s.target.running[id] = s.now.Add(time.Duration(s.pick(1000, "lingers")) * time.Millisecond)
	case 1:
		s.core.Finish(s.now, id, Outcome{Verdict: verdict.NotRun})
		delete(s.target.running, id)
		s.notRun[id] = true
	default:
		s.core.FirstToken(s.now, id)
		s.core.Finish(s.now, id, Outcome{Verdict: verdict.Ran})
		delete(s.target.running, id)
	}

	s.expireAbandoned()
}

func (s *simulation) query() {
	if len(s.credits) == 0 {
		return
	}

	var r Request
	if len(s.sent) > 0 && s.pick(2, "known") == 0 {
		r = s.sent[s.pick(len(s.sent), "sent")]
	} else {
		s.n++
		r = Request{AttemptID: fmt.Sprint(s.n), Credit: s.credits[len(s.credits)-1], Service: "assist"}
		s.sent = append(s.sent, r)
	}

	f := s.core.QueryAttempt(s.now, AttemptQuery{
		AttemptID: r.AttemptID, Incarnation: r.Credit.Incarnation,
		CreditExpiresAtTick: r.Credit.ExpiresAtTick, Close: s.pick(2, "close") == 0,
	})

	switch f.State {
	case wire.AskState_AskClosed:
		require.Zero(s.t, s.admitted[r.AttemptID]*s.toInt(!s.notRun[r.AttemptID]), "admitted attempt reported as closed")
		s.notRun[r.AttemptID] = true
	case wire.AskState_AskRan, wire.AskState_AskRunning:
		require.Equal(s.t, 1, s.admitted[r.AttemptID])
	}
}

// bootTarget restarts the target, which then may or may not report that it is cold.
func (s *simulation) bootTarget() {
	s.target.bootID += "+"
	s.target.cold = s.pick(2, "cold") == 0
	s.target.running = map[string]time.Time{}
	s.target.reported = 0

	for _, id := range s.open {
		s.core.Finish(s.now, id, Outcome{Abandoned: true})
	}

	s.open = nil
	s.announce()
}

// restartAgent restarts the agent. The target drops the requests of the old incarnation
// after a random time.
func (s *simulation) restartAgent() {
	for _, id := range s.open {
		s.target.running[id] = s.now.Add(time.Duration(s.pick(10_000, "lingers")) * time.Millisecond)
	}

	s.open = nil
	s.now = s.now.Add(time.Millisecond)
	s.core = Core{AgentID: "agent-1", Incarnation: s.core.Incarnation + 1, Started: s.now, Settings: s.settings()}
	s.core.ChangeView(s.now, s.view)
	s.announce()
}

func (s *simulation) changeView() {
	s.view.Version++
	s.view.ZoneOut = s.pick(3, "out") == 0
	s.view.ColdLimit = uint32(1 + s.pick(4, "cold limit"))
	s.view.WarmLimit = uint32(1 + s.pick(16, "warm limit"))
	s.core.ChangeView(s.now, s.view)
}

// Checks under random events that a cold target is never overloaded and that no request
// runs twice or runs after it was reported as NotRun. The events include restarts of the
// agent and of a target with requests in flight, targets that turn cold, many entries,
// lowered limits, a zone that goes out of service and returns, and late duplicates.
func TestAdmissionInvariantsUnderRandomEvents(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.announce()

		weighted := []func(){
			s.send, s.send, s.send, s.send, s.send, s.send, s.grant, s.grant, s.grant,
			s.finish, s.finish, s.finish, s.advance, s.advance, s.announce, s.announce, s.countInFlight,
			s.query, s.query, s.changeView, s.bootTarget,
		}
		if s.pick(2, "restarts") == 0 {
			weighted = append(weighted, s.restartAgent)
		}

		for range 300 {
			weighted[s.pick(len(weighted), "event")]()
		}
	})
}
