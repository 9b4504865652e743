package main

import (
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// freezeTime is how long the control node freezes.
const freezeTime = 1400 * time.Millisecond

// lateWithdrawal: a control node without a disk freezes with the withdrawal of an evacuation unread. The operator moves on
// after a second, the withdrawal is acknowledged by another node, and then the zone is evacuated again.
func lateWithdrawal(b *bed, trouble bool) bool {
	for n := 1; n <= 3; n++ {
		b.control(n, zones[n-1], true)
	}

	frozen := b.control(4, zones[0], false)
	b.entry(11, zones[0])
	b.entry(12, zones[1])
	b.entry(13, zones[2])

	b.order(http.MethodPut, "/-/config", plainConfig, 1, 2, 3)

	var servers []*server

	for i, zone := range zones {
		s := b.server("i-000000"+strconv.Itoa(i), "wuno96b", zone, 21+i, 1, 2, 3)
		s.beatUntilEnd()
		servers = append(servers, s)
	}

	b.awaitReady(11, 12, 13)
	time.Sleep(4 * time.Second)

	const path = "/-/evacuations/saraburi"

	zone := servers[2]
	c := b.clients([]int{11, 12, 13}, 25*time.Millisecond)

	time.Sleep(2 * time.Second)

	if len(zone.arrivals(b.start, time.Now())) == 0 {
		fail("the servers of the zone get no requests")
	}

	b.order(http.MethodPost, path, "", 4, 1, 2, 3)
	time.Sleep(4 * time.Second)
	b.order(http.MethodPut, "/-/config", strings.Replace(plainConfig, `"Version":7`, `"Version":9`, 1), 4, 1, 2, 3)
	time.Sleep(200 * time.Millisecond)

	if trouble {
		b.note("control-4 freezes for %s", freezeTime)
		frozen.signal(syscall.SIGSTOP)

		time.AfterFunc(freezeTime, func() {
			b.note("control-4 wakes")
			frozen.signal(syscall.SIGCONT)
		})
	}

	b.order(http.MethodDelete, path, "", 4, 1, 2, 3)
	again := b.order(http.MethodPost, path, "", 1, 2, 3)

	time.Sleep(evacuate + 5*time.Second)
	c.stop()

	late := zone.arrivals(again.Add(evacuate), time.Now())
	b.note("%d requests reached %s in the zone later than %s after its evacuation was acknowledged", len(late), zone.id, evacuate)

	for i, a := range late {
		if i < 3 {
			b.note("  %s, %s after the acknowledgement", a.id, a.at.Sub(again).Round(time.Millisecond))
		}
	}

	return len(late) > 0
}
