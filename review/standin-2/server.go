package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server stands in for a sound server of a plain service.
type server struct {
	bed         *bed
	id, service string
	zone, ip    string
	addr        string
	controls    []int // the nodes that it calls, in this order

	born     atomic.Int64
	seq      atomic.Int64
	draining atomic.Bool
	ended    atomic.Bool
	home     atomic.Int64 // the place in controls of the node that it calls first

	mu    sync.Mutex
	runs  []arrival
	acked []ack
	http  *http.Server
}

type arrival struct {
	at time.Time
	id string
}

type ack struct {
	at    time.Time
	state string
	node  int
}

func (b *bed) server(id, service, zone string, n int, controls ...int) *server {
	s := &server{bed: b, id: id, service: service, zone: zone, ip: b.ip(n), controls: controls}

	l, err := net.Listen("tcp", s.ip+":0")
	if err != nil {
		fail("server: %v", err)
	}

	s.addr = l.Addr().String()
	s.born.Store(time.Now().UnixMilli())
	s.http = &http.Server{Handler: s}

	go func() { _ = s.http.Serve(l) }()

	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	body, err := io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-Id")

	if want := r.Header.Get("X-Target-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	if err != nil || id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	s.mu.Lock()
	s.runs = append(s.runs, arrival{at, id})
	s.mu.Unlock()
	s.bed.note("server %s: runs %s", s.id, id)

	time.Sleep(15 * time.Millisecond)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "sig."+s.id+"."+id)
	w.Header().Set("X-Server-Load", "1,0,6")
	fmt.Fprintf(w, "%s ran %s with %d bytes", s.id, id, len(body))
}

// arrivals returns what has arrived from a time on, until another one.
func (s *server) arrivals(from, until time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()

	var out []arrival
	for _, a := range s.runs {
		if a.at.After(from) && a.at.Before(until) {
			out = append(out, a)
		}
	}

	return out
}

func (s *server) state() string {
	if s.draining.Load() {
		return "draining"
	}

	return "ready"
}

// beat sends one heartbeat: to the node that answered last, and to the next ones if there is no acknowledgement within a
// second. It returns when it was acknowledged, and by which node.
func (s *server) beat() (time.Time, int) {
	state := s.state()
	body := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":6,"State":%q,"ColdRemainingMs":0,"Seq":%d,"born":%d}`,
		s.service, s.addr, s.zone, state, s.seq.Add(1), s.born.Load())

	for i := range s.controls {
		place := (int(s.home.Load()) + i) % len(s.controls)
		n := s.controls[place]
		status, text, err := call(s.bed.addr(n, portControl), http.MethodPut, "/-/instances/"+s.id, body, callTime)
		at := time.Now()

		if err == nil && status/100 == 2 {
			s.home.Store(int64(place))

			s.mu.Lock()
			s.acked = append(s.acked, ack{at, state, n})
			s.mu.Unlock()

			return at, n
		}

		s.bed.note("server %s: heartbeat (%s) at control-%d: %d %s %v", s.id, state, n, status, text, err)
	}

	return time.Time{}, -1
}

// beatUntilEnd sends heartbeats.
func (s *server) beatUntilEnd() {
	go func() {
		for !s.ended.Load() {
			s.beat()
			time.Sleep(heartbeat)
		}
	}()
}

// clients send requests to the entries, each every gap, until stop is called.
type clients struct {
	bed      *bed
	mu       sync.Mutex
	statuses map[string]int
	stopped  atomic.Bool
	wait     sync.WaitGroup
}

func (b *bed) clients(entries []int, gap time.Duration) *clients {
	c := &clients{bed: b, statuses: make(map[string]int)}

	for _, n := range entries {
		c.wait.Add(1)

		go func() {
			defer c.wait.Done()

			for i := 0; !c.stopped.Load(); i++ {
				c.wait.Add(1)

				go func() {
					defer c.wait.Done()
					c.send(n, fmt.Sprintf("c%d-%d", n, i))
				}()
				time.Sleep(gap)
			}
		}()
	}

	return c
}

func (c *clients) send(n int, id string) {
	req, _ := http.NewRequest(http.MethodGet, "http://"+c.bed.addr(n, portFront)+"/lohu930/cuti104/"+id, http.NoBody)
	req.Host = "ficu95.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "1000")
	req.Header.Set("Api-Key", "n2ctnfzs989anu6wsjnb")

	client := &http.Client{Timeout: 1200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	result := "no response"

	if resp, err := client.Do(req); err == nil {
		_, _ = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		result = strconv.Itoa(resp.StatusCode)
	}

	c.bed.note("client: %s to entry-%d: %s", id, n, result)

	c.mu.Lock()
	c.statuses[result]++
	c.mu.Unlock()
}

func (c *clients) stop() {
	c.stopped.Store(true)
	c.wait.Wait()
	c.bed.note("clients: answers %v", c.statuses)
}

const plainRoutes = `"Routes":[{"Name":"r-plain","Host":"ficu95.example","PathPrefix":"/lohu930/","Kind":"safe","TimeoutMs":1000,"TargetLatencyMs":100,"Priority":2,"Service":"wuno96b","MaxAttempts":2,"Anonymous":false}]`

const plainConfig = `{"Version":7,` + plainRoutes + `,"Services":[{"Name":"wuno96b","HealthPath":"/health","MaxConns":120,"Protocol":"h1","Tls":false,"ColdStartS":0.0,"ColdPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}]}`

// await waits until ok holds.
func (b *bed) await(what string, timeout time.Duration, ok func() bool) {
	for until := time.Now().Add(timeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			fail("%s: not within %s", what, timeout)
		}
	}
}

func (b *bed) awaitReady(entries ...int) {
	for _, n := range entries {
		b.await(fmt.Sprintf("entry-%d is ready", n), 20*time.Second, func() bool {
			status, _, err := call(b.addr(n, portReady), http.MethodGet, "/-/readiness", "", callTime)

			return err == nil && status == 200
		})
	}
}
