package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	serverCount = 12
	entryCount  = 7
	darkTime    = 3500 * time.Millisecond
)

// lostDrain: two of twelve servers are emptied at the same moment. The control node without a disk that acknowledges both
// notices loses power right after the second one.
func lostDrain(b *bed, trouble bool) bool {
	for n := 1; n <= 3; n++ {
		b.control(n, zones[n-1], true)
	}

	home := b.control(4, zones[0], false)

	var entries []int

	for i := range entryCount {
		b.entry(11+i, zones[i%len(zones)])
		entries = append(entries, 11+i)
	}

	b.order(http.MethodPut, "/-/config", plainConfig, 1, 2, 3)
	b.await("control-4 takes heartbeats", 20*time.Second, func() bool {
		status, _, err := call(b.addr(4, portControl), http.MethodGet, "/-/config", "", callTime)

		return err == nil && status == 200
	})

	var servers []*server

	for i := range serverCount {
		s := b.server(fmt.Sprintf("i-%07d", i), "wuno96b", zones[i%len(zones)], 21+i, 4, 1, 2, 3)
		s.beatUntilEnd()
		servers = append(servers, s)
	}

	b.awaitReady(entries...)
	time.Sleep(4 * time.Second)

	c := b.clients(entries, 15*time.Millisecond)

	time.Sleep(4 * time.Second)

	first, second := servers[0], servers[1]
	if first.home.Load() != 0 || second.home.Load() != 0 {
		fail("the servers do not call control-4")
	}

	first.ended.Store(true) // Their next heartbeats are sent below.
	second.ended.Store(true)
	time.Sleep(heartbeat + 100*time.Millisecond)
	first.draining.Store(true)
	second.draining.Store(true)

	at1, n1 := first.beat()
	at2, n2 := second.beat()

	if trouble {
		home.signal(syscall.SIGSTOP) // Silent from now on.
		b.note("control-4 loses power")
	}

	b.note("server %s: draining acknowledged by control-%d", first.id, n1)
	b.note("server %s: draining acknowledged by control-%d, %s after the other one", second.id, n2, at2.Sub(at1))

	if n1 != 4 || n2 != 4 {
		fail("the notices were not acknowledged by control-4")
	}

	first.ended.Store(false)
	second.ended.Store(false)
	go func() { time.Sleep(heartbeat); first.beatUntilEnd() }()
	go func() { time.Sleep(heartbeat); second.beatUntilEnd() }()

	if trouble {
		time.Sleep(darkTime)
		home.signal(syscall.SIGKILL)
		<-home.done
		b.launch(home)
		b.note("control-4 starts again")
	}

	time.Sleep(2 * time.Second)
	c.stop()

	broken := false

	for i, s := range []*server{first, second} {
		at := []time.Time{at1, at2}[i]
		late := s.arrivals(at.Add(drainBound), time.Now())
		b.note("%d requests reached %s later than %s after the acknowledgement of its notice", len(late), s.id, drainBound)

		for j, a := range late {
			if j < 3 {
				b.note("  %s, %s after the acknowledgement", a.id, a.at.Sub(at).Round(time.Millisecond))
			}
		}

		broken = broken || len(late) > 0
	}

	return broken
}
