package quorum_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// outdatedCase is a replacement of one of three voters while another one is away, followed by the
// loss of one disk.
type outdatedCase struct {
	// outdated is the voter that is away, and replaced the one whose place vm3 takes.
	outdated, replaced int
	// lost is the voter that loses its disk afterwards.
	lost int
	// frozen is set if the outdated voter does not run, and reads old messages when it wakes.
	// Otherwise it is cut off.
	frozen bool
	// lostFirst is set if the voter without its disk returns before the outdated one.
	lostFirst bool
}

func outdatedCases() []outdatedCase {
	var out []outdatedCase

	for outdated := range 3 {
		for replaced := range 3 {
			for lost := range 4 {
				if outdated == replaced || lost == outdated || lost == replaced {
					continue
				}

				for i := range 4 {
					out = append(out, outdatedCase{outdated: outdated, replaced: replaced, lost: lost, frozen: i&1 == 0, lostFirst: i&2 == 0})
				}
			}
		}
	}

	return out
}

// A voter is away while another one is replaced. After that one disk is lost. Guards against an
// outdated voter that refuses its vote to a member that it does not know, without which the others
// have no majority.
func TestOutdatedVoterElectsNewMember(t *testing.T) {
	t.Parallel()

	for _, c := range outdatedCases() {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%+v,%d", c, seed), func(t *testing.T) {
				t.Parallel()
				testOutdatedVoter(t, c, seed)
			})
		}
	}
}

func testOutdatedVoter(t *testing.T, c outdatedCase, seed uint64) {
	t.Helper()

	const settleTime = 6 * time.Second

	w := newSimulation(seed, 3)
	w.run(settleTime)

	outdated, replaced := w.hosts[c.outdated], w.hosts[c.replaced]
	wake := func() { w.isolate(outdated.id, false) }

	if c.frozen {
		outdated.stalledUntil = w.now.Add(time.Hour)
		wake = func() { outdated.stalledUntil = w.now }
	} else {
		w.isolate(outdated.id, true)
	}

	w.run(settleTime)
	w.addHost("vm3", nil)
	w.requireChange(t, quorum.AddLearner, "vm3")
	w.requireChange(t, quorum.Promote, "vm3")

	if w.leader() == replaced {
		w.transfer(replaced)
		w.run(settleTime)
	}

	w.requireChange(t, quorum.Remove, replaced.id)
	w.kill(replaced)
	w.requirePropose(t, "acknowledged")

	lost := w.hosts[c.lost]
	w.wipe(lost)

	lost.founders = nil

	for i := range 2 {
		w.run(settleTime / 3)

		if (i == 0) == c.lostFirst {
			w.restart(lost)
		} else {
			wake()
		}
	}

	w.run(2 * settleTime)
	require.Empty(t, w.violations)

	leader := w.leader()
	require.NotNil(t, leader, "the two voters that have their disks elect a leader")

	read := w.read(leader)
	w.run(time.Second)
	require.Equal(t, "acknowledged", read.value)
	w.requirePropose(t, "newer")
	require.Empty(t, w.violations)
}

// requireChange changes the members through the leader.
func (w *simulation) requireChange(t *testing.T, kind quorum.ChangeKind, id string) {
	t.Helper()

	o := w.change(kind, id)
	w.run(time.Second)
	require.Equal(t, verdict.Ran, o.answer, "%v %s", kind, id)
}

// requirePropose commits a command through the leader.
func (w *simulation) requirePropose(t *testing.T, command string) {
	t.Helper()
	require.NotNil(t, w.leader())

	o := w.propose(w.leader(), command)
	w.run(time.Second)
	require.Equal(t, verdict.Ran, o.answer, command)
}
