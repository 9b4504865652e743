package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// The second service, and the route to it, beside those of plainConfig.
const (
	deskService = "xano55b"
	deskRoute   = `{"Name":"r-desk","Host":"ficu95.example","PathPrefix":"/rapu33/","Kind":"unsafe","TimeoutMs":1000,"TargetLatencyMs":100,"Priority":2,"Service":"xano55b","MaxAttempts":1,"Anonymous":false}`
	deskEntry   = `{"Name":"xano55b","HealthPath":"/health","MaxConns":120,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}`
)

// otherService: another writer sends heartbeats that lack fields under the ID of a server, and names another service.
func otherService(b *bed, trouble bool) bool {
	for n := 1; n <= 3; n++ {
		b.control(n, zones[n-1], true)
	}

	entries := []int{11, 12, 13}
	for i, n := range entries {
		b.entry(n, zones[i])
	}

	config := strings.Replace(plainConfig, `"Routes":[`, `"Routes":[`+deskRoute+",", 1)
	config = strings.Replace(config, `"Services":[`, `"Services":[`+deskEntry+",", 1)
	b.order(http.MethodPut, "/-/config", config, 1, 2, 3)

	var servers, desks []*server

	for i, zone := range zones {
		s := b.server(fmt.Sprintf("i-%07d", i), "wuno96b", zone, 21+i, 2, 3, 1)
		s.beatUntilEnd()
		servers = append(servers, s)

		d := b.server(fmt.Sprintf("i-%07d", 10+i), deskService, zone, 31+i, 3, 1, 2)
		d.beatUntilEnd()
		desks = append(desks, d)
	}

	b.awaitReady(entries...)
	time.Sleep(4 * time.Second)

	c := b.clients(entries, 20*time.Millisecond) // on the route to wuno96b only

	time.Sleep(2 * time.Second)

	x := desks[0]

	var stop atomic.Bool
	defer stop.Store(true)

	if trouble {
		born := time.Now().UnixMilli()

		go func() {
			for seq := 1; !stop.Load(); seq++ {
				// Version, Slots and ColdRemainingMs are missing.
				body := fmt.Sprintf(`{"Service":"wuno96b","Address":%q,"Zone":%q,"State":"ready","Seq":%d,"born":%d}`, x.addr, x.zone, seq, born)
				status, text, err := call(b.addr(1, portControl), http.MethodPut, "/-/instances/"+x.id, body, callTime)
				b.note("another writer: heartbeat for %s of %s, %s: %d %s %v", x.id, x.service, body, status, text, err)
				time.Sleep(heartbeat)
			}
		}()
	}

	time.Sleep(8 * time.Second)
	stop.Store(true)
	c.stop()

	total := 0

	for _, d := range desks {
		runs := d.arrivals(b.start, time.Now())
		total += len(runs)
		b.note("%s of %s ran %d requests of the route to wuno96b", d.id, d.service, len(runs))

		for i, a := range runs {
			if i < 3 {
				b.note("  %s", a.id)
			}
		}
	}

	if len(servers[0].arrivals(b.start, time.Now())) == 0 {
		fail("the servers of wuno96b get no requests")
	}

	return total > 0
}
