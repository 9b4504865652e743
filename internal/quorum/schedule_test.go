package quorum_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/quorum"
)

// TestMain fixes the seed and limits the number of schedules to what a CI run has time
// for. For more schedules: go test -rapid.seed=N -rapid.checks=N.
func TestMain(m *testing.M) {
	flag.Parse()

	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "300")
	}

	os.Exit(m.Run())
}

// schedule applies random faults and operations to a simulation.
type schedule struct {
	*simulation
	t            *rapid.T
	commandCount int
	// mayLackQuorum is set if the group may have lost its majority. See
	// isChangeInProgress.
	mayLackQuorum bool
}

func (s *schedule) randomHost() *host {
	return s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(s.t, "host")]
}

func (s *schedule) newCommand() string {
	s.commandCount++

	return fmt.Sprint("c", s.commandCount)
}

// randomAction applies one random fault or operation.
func (s *schedule) randomAction() {
	switch rapid.IntRange(0, 17).Draw(s.t, "act") {
	case 0, 1, 2:
		s.run(time.Duration(rapid.IntRange(1, 4000).Draw(s.t, "ms")) * time.Millisecond)
	case 3, 4:
		if h := s.leader(); h != nil {
			for range rapid.IntRange(1, 30).Draw(s.t, "burst") {
				s.propose(h, s.newCommand())
			}
		}
	case 5:
		s.propose(s.randomHost(), s.newCommand())
	case 6, 7:
		s.read(s.randomHost())
	case 8:
		s.kill(s.randomHost())
	case 9:
		s.randomHost().crashPoint = crashPoint(rapid.IntRange(1, 2).Draw(s.t, "point"))
	case 10:
		if h := s.randomHost(); h.core == nil {
			s.restart(h)
		}
	case 11:
		s.cutLinks[[2]string{s.randomHost().id, s.randomHost().id}] = true
	case 12:
		s.isolate(s.randomHost().id, true)
	case 13:
		s.dropRate = rapid.Float64Range(0, 0.4).Draw(s.t, "drop")
		s.duplicateRate = rapid.Float64Range(0, 0.4).Draw(s.t, "dup")
		s.maxDelay = time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "delay")) * time.Millisecond
	case 14:
		s.heal()
		s.run(2 * time.Second)
	case 15:
		s.compact(s.randomHost())
	case 16:
		h := s.randomHost()
		h.stalledUntil = s.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(s.t, "stall")) * time.Millisecond)
	case 17:
		s.operatorAction()
	}
}

// operatorAction applies a random action of an operator: replace a VM, change the members,
// transfer the leadership or ask whether a VM may be stopped.
func (s *schedule) operatorAction() {
	h := s.randomHost()

	switch rapid.IntRange(0, 7).Draw(s.t, "operate") {
	case 0:
		if s.isSafeToLose() {
			if len(h.founders) == 1 {
				h.founders = nil // as operators configure it once a group of one has grown
			}

			s.mayLackQuorum = s.mayLackQuorum || s.isChangeInProgress()
			s.wipe(h)
			s.restart(h)
		}
	case 1:
		s.change(quorum.Remove, h.id)
	case 2:
		s.change(quorum.AddLearner, h.id)
	case 3:
		s.change(quorum.Promote, h.id)
	case 4:
		if len(s.hosts) < 6 {
			h = s.addHost(fmt.Sprint("vm", len(s.hosts)), nil)
			s.addVoter(h)
		}
	case 5:
		if l := s.leader(); l != nil {
			id, _ := s.newOp(l, "members")
			s.step(l, quorum.TransferRequested{ID: id, To: rapid.SampledFrom([]string{"", h.id}).Draw(s.t, "to")})
		}
	case 6:
		s.change(quorum.Remove, h.id)
		s.run(time.Second)
		s.addVoter(h)
	case 7:
		s.change(quorum.CheckStop, h.id)
	}
}

func (s *schedule) addVoter(h *host) {
	s.change(quorum.AddLearner, h.id)
	s.run(time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "ms")) * time.Millisecond)
	s.change(quorum.Promote, h.id)
}

// isSafeToLose reports whether another VM may lose its disk: the leader reports that a
// stop is safe, and every voter that lost its disk has been replaced.
func (s *schedule) isSafeToLose() bool {
	l := s.leader()
	if l == nil || !l.core.Status().SafeToStop {
		return false
	}

	for _, m := range l.core.Members() {
		if m.Role == quorum.Voter && m.Birth != s.host(m.ID).creationID {
			return false
		}
	}

	return true
}

// isChangeInProgress reports whether a membership change is in progress. If a voter is
// lost during the change from three voters to two, only one of two voters remains. No
// protocol can prevent this: the group may end up without a leader, but no other check may
// fail.
func (s *schedule) isChangeInProgress() bool {
	for _, o := range s.ops {
		if o.command == "members" && o.returnTime == 0 && !o.notRun && s.now.Sub(o.startedAt) < quorum.DefaultElectionTimeout {
			return true
		}
	}

	return false
}

// healAndCheck ends all faults and checks that the group commits again and that all
// members have the same state.
func (s *schedule) healAndCheck() {
	s.heal()
	s.run(20 * time.Second)

	l := s.leader()
	if l == nil && s.mayLackQuorum {
		return
	}

	if l == nil {
		s.recordViolation("no leader after healing")

		return
	}

	last := s.propose(l, "last")
	s.run(5 * time.Second)

	if last.returnTime == 0 && s.mayLackQuorum {
		return
	}

	if last.returnTime == 0 {
		s.recordViolation("no commit after healing")

		return
	}

	for _, m := range l.core.Members() {
		h := s.host(m.ID)
		if m.Birth != 0 && m.Birth != h.creationID {
			continue // lost its disk and has not been replaced yet
		}

		s.read(h)
		s.run(2 * time.Second)

		if fmt.Sprint(h.state) != fmt.Sprint(l.state) {
			s.recordViolation("after healing, state of %s differs from that of %s: %+v, %+v", h.id, l.id, h.core.Status(), l.core.Status())
		}
	}
}

// checkRejections checks that no operation with the verdict NotRun was applied.
func (s *schedule) checkRejections() {
	for id, o := range s.ops {
		if index := s.appliedAt[o.command]; o.notRun && index != 0 && o.command != "members" {
			s.recordViolation("operation %d was rejected as NotRun and applied at index %d", id, index)
		}
	}
}

// runSchedule runs one random schedule on a simulation and returns the violations that it
// found. The function tune may make hosts faulty.
func runSchedule(t *rapid.T, tune func(*host)) []string {
	founders := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "founders")
	s := &schedule{t: t, simulation: newSimulation(rapid.Uint64().Draw(t, "seed"), founders)}

	// With small messages an older entry can be synced on other replicas before it is
	// synced on the leader.
	s.appendBytes = rapid.SampledFrom([]int{0, 1}).Draw(t, "appendBytes")

	for _, h := range s.hosts {
		tune(h)
		s.kill(h)
		s.restart(h)
	}

	s.run(5 * time.Second)

	for range rapid.IntRange(10, 60).Draw(t, "acts") {
		s.randomAction()
	}

	if len(s.violations) == 0 {
		s.healAndCheck()
	}

	s.checkRejections()

	if r := s.checkHistory(); r != porcupine.Ok {
		s.recordViolation("history of the clients is not linearizable: %v", r)
	}

	return s.violations
}

// Messages, processes and disks fail in any order. The invariants: at most one leader per
// term, the same log and state on all replicas, no acknowledged entry is lost, no rejected
// operation is applied, no read is stale, and the history of the clients is linearizable.
func TestFaultSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		require.Empty(t, runSchedule(t, func(*host) {}))
	})
}

// The fault schedules are only useful if they detect a replica that violates its
// durability guarantees. Each case is a violation that a faulty caller of the core or a
// faulty disk would cause.
func TestDurabilityViolationsAreDetected(t *testing.T) {
	t.Parallel()

	for name, tune := range map[string]func(*host){
		"sync of entries is skipped": func(h *host) { h.loseEntries = true },
		"term and vote are not kept": func(h *host) { h.loseVotes = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			violations := rapid.Custom(func(t *rapid.T) []string { return runSchedule(t, tune) })

			for seed := range maxSeeds {
				if found := violations.Example(seed); len(found) > 0 {
					t.Logf("seed %d: %s", seed, found[0])

					return
				}
			}

			require.Fail(t, "no schedule detected the violation")
		})
	}
}

// A VM loses its disk and restarts as the same voter, with the previous creation ID. This
// shows that the case lost_disk_gets_no_vote would lose a committed entry without creation
// IDs.
func TestReusedCreationIDLosesCommittedEntry(t *testing.T) {
	t.Parallel()

	w := newSimulation(1, 3)
	w.run(5 * time.Second)
	w.isolate("vm2", true)

	booked := w.propose(w.leader(), "booked")
	w.run(time.Second)
	require.NotZero(t, booked.returnTime)

	wiped := w.host("vm1")
	wiped.keepCreationID = true
	members := quorum.Snapshot{Members: w.leader().core.Members()}
	w.wipe(wiped)
	wiped.disk.Snapshot = members
	w.restart(wiped)
	w.kill(w.leader())
	w.isolate("vm2", false)
	w.run(time.Minute)
	require.NotEmpty(t, w.violations)
}

// A caller has received its answer and the leader fails before the other replicas are
// informed of the commit. The next leader holds the entry without knowing that it is
// committed. A read must not be answered before an entry of the new term is committed, or
// it misses the entry.
func TestReadWaitsForCommitInCurrentTerm(t *testing.T) {
	t.Parallel()

	for seed := range uint64(maxSeeds / 4) {
		w := newSimulation(seed, 3)
		w.run(5 * time.Second)

		old := w.leader()
		for answered := w.propose(old, "answered"); answered.returnTime == 0; {
			w.run(100 * time.Microsecond)
		}

		w.kill(old)

		w.inFlight = nil
		for w.leader() == nil {
			w.run(100 * time.Microsecond)
		}

		w.maxDelay = 800 * time.Millisecond
		read := w.read(w.leader())
		w.run(20 * time.Second)
		require.Empty(t, w.violations)
		require.Equal(t, "answered", read.value)
	}
}

// maxSeeds is the maximum number of schedules tried to detect a durability violation.
const maxSeeds = 60
