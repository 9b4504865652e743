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

// TestMain fixes the seed and a number of schedules that a CI run can bear. More: go test -rapid.seed=N -rapid.checks=N.
func TestMain(m *testing.M) {
	flag.Parse()

	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "300")
	}

	os.Exit(m.Run())
}

// schedule does one random thing after another to the world.
type schedule struct {
	*world
	t *rapid.T
	n int
	// stuck says that the group may have lost its majority; see changing.
	stuck bool
}

func (s *schedule) pick() *host {
	return s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(s.t, "host")]
}

func (s *schedule) command() string {
	s.n++

	return fmt.Sprint("c", s.n)
}

// act is one line of a fault schedule.
func (s *schedule) act() {
	switch rapid.IntRange(0, 17).Draw(s.t, "act") {
	case 0, 1, 2:
		s.run(time.Duration(rapid.IntRange(1, 4000).Draw(s.t, "ms")) * time.Millisecond)
	case 3, 4:
		if h := s.leader(); h != nil {
			for range rapid.IntRange(1, 30).Draw(s.t, "burst") {
				s.propose(h, s.command())
			}
		}
	case 5:
		s.propose(s.pick(), s.command())
	case 6, 7:
		s.read(s.pick())
	case 8:
		s.kill(s.pick())
	case 9:
		s.pick().crash = crashPoint(rapid.IntRange(1, 2).Draw(s.t, "point"))
	case 10:
		if h := s.pick(); h.core == nil {
			s.restart(h)
		}
	case 11:
		s.cut[[2]string{s.pick().id, s.pick().id}] = true
	case 12:
		s.isolate(s.pick().id, true)
	case 13:
		s.drop = rapid.Float64Range(0, 0.4).Draw(s.t, "drop")
		s.dup = rapid.Float64Range(0, 0.4).Draw(s.t, "dup")
		s.delay = time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "delay")) * time.Millisecond
	case 14:
		s.heal()
		s.run(2 * time.Second)
	case 15:
		s.compact(s.pick())
	case 16:
		h := s.pick()
		h.stalled = s.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(s.t, "stall")) * time.Millisecond)
	case 17:
		s.operate()
	}
}

// operate is what operators do: replace a VM, or hand leadership over.
func (s *schedule) operate() {
	h := s.pick()

	switch rapid.IntRange(0, 7).Draw(s.t, "operate") {
	case 0:
		if s.mayLose() {
			if len(h.found) == 1 {
				h.found = nil // as the operators' page asks for once a group of one has grown
			}

			s.stuck = s.stuck || s.changing()
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
			h = s.add(fmt.Sprint("vm", len(s.hosts)), nil)
			s.grow(h)
		}
	case 5:
		if l := s.leader(); l != nil {
			id, _ := s.newOp(l, "members")
			s.step(l, quorum.TransferRequested{ID: id, To: rapid.SampledFrom([]string{"", h.id}).Draw(s.t, "to")})
		}
	case 6:
		s.change(quorum.Remove, h.id)
		s.run(time.Second)
		s.grow(h)
	case 7:
		s.change(quorum.CheckStop, h.id)
	}
}

func (s *schedule) grow(h *host) {
	s.change(quorum.AddLearner, h.id)
	s.run(time.Duration(rapid.IntRange(1, 3000).Draw(s.t, "ms")) * time.Millisecond)
	s.change(quorum.Promote, h.id)
}

// mayLose says that another VM may be lost for good: the leader says that it is
// safe, and no voter is lost that is not yet replaced.
func (s *schedule) mayLose() bool {
	l := s.leader()
	if l == nil || !l.core.Status().SafeToStop {
		return false
	}

	for _, m := range l.core.Members() {
		if m.Role == quorum.Voter && m.Birth != s.host(m.ID).birth {
			return false
		}
	}

	return true
}

// changing says that a change of the members is under way. A voter lost in the
// very moment in which three become two leaves one of two. No order of steps
// could save such a group: it may end up without a leader, but nothing else.
func (s *schedule) changing() bool {
	for _, o := range s.ops {
		if o.command == "members" && o.ret == 0 && !o.notRun && s.now.Sub(o.at) < quorum.DefaultElectionTimeout {
			return true
		}
	}

	return false
}

// finish heals everything and checks that the group goes on as one.
func (s *schedule) finish() {
	s.heal()
	s.run(20 * time.Second)

	l := s.leader()
	if l == nil && s.stuck {
		return
	}

	if l == nil {
		s.fail("no leader after healing")

		return
	}

	last := s.propose(l, "last")
	s.run(5 * time.Second)

	if last.ret == 0 && s.stuck {
		return
	}

	if last.ret == 0 {
		s.fail("no commit after healing")

		return
	}

	for _, m := range l.core.Members() {
		h := s.host(m.ID)
		if m.Birth != 0 && m.Birth != h.birth {
			continue // its disk is lost and nobody has replaced it yet
		}

		s.read(h)
		s.run(2 * time.Second)

		if fmt.Sprint(h.state) != fmt.Sprint(l.state) {
			s.fail("%s ends with other state than %s: %+v, %+v", h.id, l.id, h.core.Status(), l.core.Status())
		}
	}
}

// checkRefusals checks that nothing ran that was refused as not run.
func (s *schedule) checkRefusals() {
	for id, o := range s.ops {
		if index := s.seen[o.command]; o.notRun && index != 0 && o.command != "members" {
			s.fail("operation %d was refused as not run and ran at %d", id, index)
		}
	}
}

// play runs one random schedule on a world that tune may have broken, and
// returns what did not hold.
func play(t *rapid.T, tune func(*host)) []string {
	founders := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "founders")
	s := &schedule{t: t, world: newWorld(rapid.Uint64().Draw(t, "seed"), founders)}

	// With small messages an older entry can reach others before the leader's own.
	s.appendBytes = rapid.SampledFrom([]int{0, 1}).Draw(t, "appendBytes")

	for _, h := range s.hosts {
		tune(h)
		s.kill(h)
		s.restart(h)
	}

	s.run(5 * time.Second)

	for range rapid.IntRange(10, 60).Draw(t, "acts") {
		s.act()
	}

	if len(s.broken) == 0 {
		s.finish()
	}

	s.checkRefusals()

	if r := s.history(); r != porcupine.Ok {
		s.fail("history of the clients: %v", r)
	}

	return s.broken
}

// Whatever happens to messages, processes and disks, in whatever order: one
// leader a term, one log, one state, nothing acknowledged is lost, nothing
// refused runs, no read is stale, and clients see one copy.
func TestFaultSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		require.Empty(t, play(t, func(*host) {}))
	})
}

// The schedules are worth something only if they catch a replica that breaks
// its promises: each of these is one that a careless shell or disk would break.
func TestBrokenPromisesAreCaught(t *testing.T) {
	t.Parallel()

	for name, tune := range map[string]func(*host){
		"sync of entries is skipped": func(h *host) { h.loseSyncs = true },
		"term and vote are not kept": func(h *host) { h.loseVotes = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			caught := rapid.Custom(func(t *rapid.T) []string { return play(t, tune) })

			for seed := range maxSeeds {
				if broken := caught.Example(seed); len(broken) > 0 {
					t.Logf("seed %d: %s", seed, broken[0])

					return
				}
			}

			require.Fail(t, "not caught")
		})
	}
}

// A VM's disk is lost and its process starts again as the voter that it was:
// what the case lost_disk_votes_not would come to without births.
func TestOldIdentityWouldLoseABooking(t *testing.T) {
	t.Parallel()

	w := newWorld(1, 3)
	w.run(5 * time.Second)
	w.isolate("vm2", true)

	booked := w.propose(w.leader(), "booked")
	w.run(time.Second)
	require.NotZero(t, booked.ret)

	forgetful := w.host("vm1")
	forgetful.keepBirth = true
	members := quorum.Snapshot{Members: w.leader().core.Members()}
	w.wipe(forgetful)
	forgetful.disk.Snapshot = members
	w.restart(forgetful)
	w.kill(w.leader())
	w.isolate("vm2", false)
	w.run(time.Minute)
	require.NotEmpty(t, w.broken)
}

// A caller has its answer, and the leader dies before the others hear that the
// entry is committed. The next leader holds it without knowing so. A read that
// it answers before its own term has committed something would miss it.
func TestReadWaitsForTheTerm(t *testing.T) {
	t.Parallel()

	for seed := range uint64(maxSeeds / 4) {
		w := newWorld(seed, 3)
		w.run(5 * time.Second)

		old := w.leader()
		for answered := w.propose(old, "answered"); answered.ret == 0; {
			w.run(100 * time.Microsecond)
		}

		w.kill(old)

		w.net = nil
		for w.leader() == nil {
			w.run(100 * time.Microsecond)
		}

		w.delay = 800 * time.Millisecond
		read := w.read(w.leader())
		w.run(20 * time.Second)
		require.Empty(t, w.broken)
		require.Equal(t, "answered", read.value)
	}
}

// maxSeeds is how many schedules may be needed to catch a broken promise.
const maxSeeds = 60
