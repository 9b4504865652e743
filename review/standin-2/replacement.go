package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// changeTimes are the times after the freeze begins.
type changeTimes struct {
	startedAt time.Duration // the new machine
	stoppedAt time.Duration // SIGTERM to the old one
}

// A leader sends no entries to a member that has been silent for 1.5 s, and gives the place of one that has been silent
// for 3 s to another. So the frozen member keeps its place at the first times, and loses it at the second ones.
var (
	beforeTimeout = changeTimes{startedAt: 1600 * time.Millisecond, stoppedAt: 2600 * time.Millisecond}
	afterTimeout  = changeTimes{startedAt: time.Second, stoppedAt: 4 * time.Second}
)

const (
	orderedAt = 6200 * time.Millisecond // more than CatchUpS after the new one started
	awakeAt   = 7 * time.Second         // node_freeze lasts that long in the site's days
	backAt    = 8 * time.Second         // the machine that lost its disk

	recoveryTime = 12 * time.Second // RecoveryS
	readTime     = 10 * time.Second // longer than StabilityWindowMs
)

var leaderLine = regexp.MustCompile(`Role changed.*state=(\w+)`)

// leads reports whether the last line about its role in the log of a control process says that it leads.
func (b *bed) leads(p *proc) bool {
	data, _ := os.ReadFile(filepath.Join(b.dir, p.name+".log"))
	lines := leaderLine.FindAllStringSubmatch(string(data), -1)

	return len(lines) > 0 && lines[len(lines)-1][1] == "Leader"
}

// outdatedMember: a machine of the core is replaced as planned while another one is down, which so does not hear of the
// new one. Then the third one loses its disk right after it has acknowledged a configuration.
func outdatedMember(b *bed, trouble bool) bool { return replaceMember(b, trouble, beforeTimeout) }

// withoutSuccessor is the same with other times.
func withoutSuccessor(b *bed, trouble bool) bool { return replaceMember(b, trouble, afterTimeout) }

func replaceMember(b *bed, trouble bool, times changeTimes) bool {
	controls := make(map[int]*proc)
	for n := 1; n <= 3; n++ {
		controls[n] = b.control(n, zones[n-1], true)
	}

	version := func(n int) string {
		return strings.Replace(plainConfig, `"Version":7`, fmt.Sprintf(`"Version":%d`, n), 1)
	}
	b.order(http.MethodPut, "/-/config", version(7), 1, 2, 3)

	// The whole system has started: the platform writes the settings anew.
	time.Sleep(2 * time.Second)

	for n, p := range controls {
		p.configure(b.controlSettings(n, zones[n-1], true, false))
	}

	var third, second, old int

	b.await("a leader", 10*time.Second, func() bool {
		for n := 1; n <= 3; n++ {
			if b.leads(controls[n]) {
				third, second, old = n, n%3+1, (n+1)%3+1

				return true
			}
		}

		return false
	})

	const fresh = 5

	frozen := time.Now()
	after := func(d time.Duration) { time.Sleep(time.Until(frozen.Add(d))) }

	// ONLY=freeze and ONLY=wipe leave one of the two disruptions out.
	freeze, wipe := trouble && os.Getenv("ONLY") != "wipe", trouble && os.Getenv("ONLY") != "freeze"

	if freeze {
		controls[second].signal(syscall.SIGSTOP)
		b.note("control-%d is frozen, for %s", second, awakeAt)
	}

	after(times.startedAt)
	b.note("control-%d starts at another address, with an empty disk, to replace control-%d", fresh, old)

	// The settings name the same seeds as those of the others, the frozen one last.
	seeds := strings.Join([]string{b.addr(third, portControl), b.addr(old, portControl), b.addr(second, portControl)}, ",")
	settings := strings.Replace(b.controlSettings(fresh, zones[old-1], true, false), b.seeds(), seeds, 1)
	b.run("control", "control-5", b.ip(fresh), settings)

	after(times.stoppedAt)
	b.note("control-%d gets SIGTERM, and is removed", old)
	controls[old].signal(syscall.SIGTERM)

	select {
	case <-controls[old].done:
		b.note("control-%d has ended", old)
	case <-time.After(time.Until(frozen.Add(orderedAt))):
		fail("the old process has not ended in time")
	}

	after(orderedAt)
	acknowledged := b.order(http.MethodPut, "/-/config", version(9), third, fresh)

	if acknowledged.After(frozen.Add(awakeAt)) {
		fail("the configuration was acknowledged too late")
	}

	p := controls[third]

	if wipe {
		p.signal(syscall.SIGKILL)
		<-p.done

		if err := os.RemoveAll(filepath.Join(b.dir, fmt.Sprintf("data-%d", third))); err != nil {
			fail("%v", err)
		}

		b.note("control-%d loses its disk", third)
	}

	after(awakeAt)

	if freeze {
		controls[second].signal(syscall.SIGCONT)
		b.note("control-%d runs on", second)
	}

	after(backAt)

	if wipe {
		b.launch(p)
		b.note("control-%d starts again with an empty disk", third)
	}

	time.Sleep(recoveryTime)

	for until := time.Now().Add(readTime); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		for _, n := range []int{third, second, fresh} {
			status, text, err := call(b.addr(n, portControl), http.MethodGet, "/-/config", "", callTime)

			var got struct{ Version int }
			_ = json.Unmarshal([]byte(text), &got)
			b.note("operator: GET /-/config at control-%d: %d version %d %v", n, status, got.Version, err)

			if err == nil && status == 200 {
				return got.Version < 9 // Held, unless it is an older one.
			}
		}
	}

	b.note("configuration 9 was acknowledged, and does not come")

	for _, n := range []int{third, second, fresh} {
		status, text, err := call(b.addr(n, portControl), http.MethodPut, "/-/config", version(11), callTime)
		b.note("operator: PUT /-/config version 11 at control-%d: %d %.80s %v", n, status, text, err)
	}

	return true
}
