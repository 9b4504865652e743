package main

import (
	"bytes"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// sleepUntil sleeps until a time since the start of the case.
func (b *bed) sleepUntil(at time.Duration) { time.Sleep(time.Until(b.started.Add(at))) }

// lostAfterReplacement: a machine of the core is replaced as planned. Soon after it has left, one of the
// other two loses its disk, right after it has acknowledged a configuration. CONFIG: the configuration can
// be read back at the end. AFTER is how long after the end of the old machine's control process the disk is
// lost.
func lostAfterReplacement(b *bed) bool {
	// By then the new machine has had CatchUpS three times.
	after := catchUpTime + 200*time.Millisecond

	if text := os.Getenv("AFTER"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			panic(cannotRun{err.Error()})
		}

		after = d
	}

	b.startSystem(0)
	b.configure(7)
	b.sleepUntil(6 * time.Second)

	kept, lost, replaced := b.machines[0], b.machines[1], b.machines[2]
	b.note("replaced as planned: %s; loses its disk: %s", replaced.name, lost.name)

	// The new machine comes first. It has CatchUpS, and as much again, to catch up.
	next := b.newMachine(3, "c", true, false)
	next.start()
	time.Sleep(2 * catchUpTime)
	b.configure(8)
	b.noteMembers()

	// The old one ends by itself, with the leadership handed on. Its entry takes longer to stop than its
	// control process.
	replaced.signal(syscall.SIGTERM)
	replaced.control.wait()

	ended := time.Now()

	replaced.wait()
	b.note("the old machine is gone")
	b.setCore([]*machine{kept, lost, next})
	b.rewriteSettings()

	time.Sleep(time.Until(ended.Add(after)))

	if !b.order(http.MethodPut, "/-/config", configuration(9), []*process{lost.control}, time.Now().Add(recoveryTime)) {
		panic(cannotRun{"configuration 9 was never acknowledged"})
	}

	if b.trouble {
		// The machine is back a second after its disk was lost.
		lost.kill()
		b.loseDisk(lost.control)
		b.note("the disk was lost %.1f s after the end of the old control process", time.Since(ended).Seconds())
		time.Sleep(time.Second)
		lost.start()
	}

	return !b.readsBack(9)
}

// readsBack reads the configuration at all machines of the core, for some seconds after they have had twice
// RecoveryS. It reports whether that version came, and never an older one or other content.
func (b *bed) readsBack(version int) bool {
	time.Sleep(2 * recoveryTime)
	b.noteMembers()

	read, wrong := 0, 0

	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		for _, p := range b.controls {
			switch status, answer := b.call("operator", http.MethodGet, p, "/-/config", nil); {
			case status != http.StatusOK:
			case bytes.Equal(answer, configuration(version)):
				read++
			default:
				wrong++
			}
		}
	}

	for _, p := range b.controls {
		b.logTail(p, "change of the control set", 12)
		b.logTail(p, "Removed from", 12)
		b.logTail(p, "Requested to join", 3)
	}

	b.note("configuration %d was read back %d times, another %d times", version, read, wrong)

	return read > 0 && wrong == 0
}

// freezeTime is how long a machine of the core is frozen: longer than a voter may be silent until a
// learner replaces it, and less than the longest freeze of the site files.
const freezeTime = 7 * time.Second

// removedControl: while a machine of the core is replaced as planned, another one is frozen for some
// seconds. Later a third one loses its disk, right after it has acknowledged a configuration. CONFIG: the
// configuration can be read back at the end. FREEZE=0 leaves out the freeze only.
func removedControl(b *bed) bool {
	b.startSystem(0)
	b.configure(7)
	b.sleepUntil(6 * time.Second)

	// The one that is frozen does not lead; the one whose disk is lost does not matter.
	frozen, lost, replaced := b.machines[0], b.machines[1], b.machines[2]
	if b.leads(frozen.control) {
		frozen, lost = lost, frozen
	}

	b.note("replaced as planned: %s; frozen: %s; loses its disk: %s", replaced.name, frozen.name, lost.name)

	// The new machine comes first. It has CatchUpS to catch up.
	next := b.newMachine(3, "c", true, false)
	next.start()
	time.Sleep(catchUpTime + 2*time.Second)
	b.noteMembers()

	if b.trouble && os.Getenv("FREEZE") != "0" {
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		frozen.signal(syscall.SIGCONT)
	}

	// The old machine leaves long after the frozen one is back.
	b.sleepUntil(30 * time.Second)
	b.noteMembers()
	replaced.signal(syscall.SIGTERM)
	replaced.wait()
	b.setCore([]*machine{lost, next, frozen})
	b.rewriteSettings()

	// The system has 17 seconds to replace the voter that left.
	b.sleepUntil(50 * time.Second)
	b.noteMembers()
	b.configure(9)

	if b.trouble {
		// The machine is back a second after its disk was lost.
		lost.kill()
		b.loseDisk(lost.control)
		time.Sleep(time.Second)
		lost.start()
	}

	return !b.readsBack(9)
}

// leaveAfterKill: the control VM that gets a server's heartbeats is killed. The server then leaves with a
// DELETE, which it sends to the next control VM. DRAIN: no request reaches it later than DrainMs after
// that was acknowledged.
func leaveAfterKill(b *bed) bool {
	// As in act-barrel: three machines with disks and four without. One is killed that has no disk and
	// serves control. Its callers are not looked at.
	own := b.startSystem(4)[0]

	for n, p := range b.entries {
		if p == own.entry {
			b.entries = append(b.entries[:n:n], b.entries[n+1:]...)

			break
		}
	}

	b.configure(7)

	leaving := b.newServer(0, "a", own.control)

	for n, zone := range []string{"b", "c"} {
		b.newServer(n+1, zone, nil).start(b.controls[n+1])
	}

	b.awaitServed()
	b.awaitMember(own.control)
	leaving.start(own.control)
	b.sleepUntil(15 * time.Second)

	c := b.startClients(30)
	defer c.end()

	// No machine was disturbed for much longer than StabilityWindowMs.
	b.sleepUntil(22 * time.Second)

	// The control VM is killed between two heartbeats, half a second before the server leaves.
	leaving.sleepAfterHeartbeat(300 * time.Millisecond)

	if b.trouble {
		own.kill()
	}

	time.Sleep(500 * time.Millisecond)
	leaving.leave(own.control, b.controls[0])

	// The machine that was killed is back after a while.
	if b.trouble {
		time.Sleep(time.Second)
		own.start()
	}

	// The server serves on for DrainMs and a little longer, then it exits.
	leaving.sleepAfterLeaving(drainTime + time.Second)
	leaving.end()
	time.Sleep(3 * time.Second)

	for _, p := range b.entries {
		b.logTail(p, "Invalid target", 2)
	}

	b.note("requests that reached %s later than DrainMs after its removal was acknowledged: %d; cut off at its exit: %d", leaving.id, leaving.late.Load(), leaving.cut.Load())

	return leaving.late.Load() > 0
}

// awaitMember waits until a control VM answers reads of the configuration, so that it holds the state.
func (b *bed) awaitMember(p *process) {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if status, _ := b.call("operator", http.MethodGet, p, "/-/config", nil); status == http.StatusOK {
			return
		}
	}

	panic(cannotRun{p.name + " does not join"})
}

// listMembers returns what "parsleygate member list" prints about the control set, as seen by p.
func (b *bed) listMembers(p *process) string {
	out, err := exec.Command("target/parsleygate", "member", "list", "--try", "2s", "--control", p.address(portPeers)).CombinedOutput()
	if err != nil {
		return string(out) + err.Error()
	}

	return string(out)
}

// leads reports whether p leads the control set.
func (b *bed) leads(p *process) bool {
	return strings.Contains(b.listMembers(p), "leader "+p.ip+"\n")
}

// noteMembers adds the members of the control set to the record, as the first machine that answers sees
// them.
func (b *bed) noteMembers() {
	for _, p := range b.controls {
		out := b.listMembers(p)
		if !strings.Contains(out, "answered by") {
			continue
		}

		for line := range strings.Lines(out) {
			b.note("member list: %s", strings.TrimRight(line, "\n"))
		}

		return
	}

	b.note("member list: no control VM answers it")
}
