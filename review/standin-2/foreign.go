package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// lingerTime is how long a server serves on after DrainMs.
const lingerTime = 1500 * time.Millisecond

// foreignWriter: another writer sends heartbeats that lack fields under the ID of a server. The server then drains.
func foreignWriter(b *bed, trouble bool) bool {
	for n := 1; n <= 3; n++ {
		b.control(n, zones[n-1], true)
	}

	entries := []int{11, 12, 13}
	for i, n := range entries {
		b.entry(n, zones[i])
	}

	b.order(http.MethodPut, "/-/config", plainConfig, 1, 2, 3)

	var servers []*server

	for i := range 6 {
		s := b.server(fmt.Sprintf("i-%07d", i), "wuno96b", zones[i%len(zones)], 21+i, 2, 3, 1)
		s.beatUntilEnd()
		servers = append(servers, s)
	}

	b.awaitReady(entries...)
	time.Sleep(4 * time.Second)

	c := b.clients(entries, 15*time.Millisecond)
	x := servers[0]

	var stop atomic.Bool
	defer stop.Store(true)

	if trouble {
		born := time.Now().UnixMilli()

		go func() {
			for seq := 1; !stop.Load(); seq++ {
				// Version, Slots and ColdRemainingMs are missing.
				body := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"State":"ready","Seq":%d,"born":%d}`, x.service, x.addr, x.zone, seq, born)
				status, text, err := call(b.addr(1, portControl), http.MethodPut, "/-/instances/"+x.id, body, callTime)
				b.note("another writer: heartbeat for %s, %s: %d %s %v", x.id, body, status, text, err)
				time.Sleep(heartbeat)
			}
		}()
	}

	time.Sleep(5 * time.Second)

	if len(x.arrivals(time.Now().Add(-time.Second), time.Now())) == 0 {
		fail("the server gets no requests before it drains")
	}

	x.ended.Store(true)
	time.Sleep(heartbeat + 100*time.Millisecond)
	x.draining.Store(true)

	at, n := x.beat()
	if n < 0 {
		fail("the notice is not acknowledged")
	}

	b.note("server %s: draining acknowledged by control-%d", x.id, n)
	x.ended.Store(false)
	x.beatUntilEnd()
	time.Sleep(time.Until(at.Add(drainBound + lingerTime)))

	end := time.Now()
	x.ended.Store(true)
	status, _, err := call(b.addr(2, portControl), http.MethodDelete, "/-/instances/"+x.id, "", callTime)
	b.note("server %s: DELETE at control-2: %d %v; it ends", x.id, status, err)
	_ = x.http.Close()
	stop.Store(true)
	time.Sleep(time.Second)
	c.stop()

	late := x.arrivals(at.Add(drainBound), end)
	b.note("%d requests reached %s later than %s after the acknowledgement of its notice", len(late), x.id, drainBound)

	for i, a := range late {
		if i < 3 {
			b.note("  %s, %s after the acknowledgement", a.id, a.at.Sub(at).Round(time.Millisecond))
		}
	}

	return len(late) > 0
}
