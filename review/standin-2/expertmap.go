package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const engineConfig = `{"Version":7,"Routes":[{"Name":"r-draft","Host":"ficu95.example","PathPrefix":"/lohu930/","Kind":"streaming","TimeoutMs":8000,"TargetLatencyMs":500,"Priority":1,"Service":"huvo11a","MaxAttempts":2,"Anonymous":false,"Sticky":true,"Resumable":true,"TargetGapMs":120}],"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":298,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":26.0,"Engine":{"Slots":12,"KvCapacityTokens":280000,"KvTokenBytes":35136,"LinkMbps":180000.0,"Stride":4,"Models":[{"Name":"m"}],"step_ms":4.55,"per_seq_ms":0.905,"context_per_k":0.0183,"read_per_s":61400.0,"pairs_per_m":0.525,"chunk":512,"report_lag_ms":200.0,"usual":{"prompt":835,"answer":97},"Sets":4,"Experts":18,"Placements":8,"Spare":3,"ExpertMb":2200.0,"ExpertShare":0.85,"form_ms":600.0}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[{"Name":"hule930","ApiKeys":["n2ctnfzs989anu6wsjnb"],"Priority":1}]}`

const (
	agentDown   = 2500 * time.Millisecond
	lateTime    = 10 * time.Second
	minLateTime = 2 * time.Second
	maxLateTime = 12 * time.Second
)

// reusedVersion: the directing agent is killed as soon as it has sent the orders to prepare a map, which the ranks leave
// unanswered and carry out late. The agent starts again and chooses another map under the same version.
func reusedVersion(b *bed, trouble bool) bool {
	for n := 1; n <= 3; n++ {
		b.control(n, zones[n-1], true)
	}

	b.entry(11, zones[0])
	b.order(http.MethodPut, "/-/config", engineConfig, 1, 2, 3)

	g := newGroup(b, 21)

	var agents []*proc

	for r, e := range g.ranks {
		e.beatUntilEnd(1, 2, 3)
		agents = append(agents, b.agent(21+r, zones[r], e.addr))
	}

	b.awaitReady(11)

	stop, ended := make(chan struct{}), make(chan struct{})

	go func() {
		defer close(ended)
		b.drafts(11, stop)
	}()

	switched := func(version uint64) func() bool {
		return func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()

			return g.ranks[0].version >= version
		}
	}

	b.await("the first map is in use", 30*time.Second, switched(1))
	time.Sleep(time.Second)

	g.mu.Lock()
	before := g.ranks[0].version
	next := uint64(0)
	sent := make(chan struct{})
	received := make(map[int]bool)
	restarted, again, outside := false, false, ""

	var (
		first  *engineOrder // the first one at the last rank, sent at sentAt
		sentAt time.Time
	)

	if trouble {
		g.onOrder = func(e *engine, o *engineOrder) (time.Duration, bool) {
			switch {
			case o.Op != "prepare" || o.Version <= before:
				return 0, false
			case !restarted:
				if next == 0 {
					next = o.Version
				}

				if received[e.rank] {
					return lateTime, true
				}

				received[e.rank] = true
				if len(received) == groupSize {
					close(sent)
				}

				if e.rank != groupSize-1 {
					return lateTime, true
				}

				first, sentAt = o, time.Now()

				return 0, true
			case e.rank == groupSize-1 && !again && o.Version == next:
				again = true

				if waited := time.Since(sentAt); waited < minLateTime || waited > maxLateTime {
					outside = fmt.Sprintf("the new director's order comes %s after the first one", waited)
				}

				// It is carried out just before the newer one arrives.
				status := e.carryOut(first)
				go g.bed.note("rank %d: prepare version %d step 0 fence %d is carried out late: %d", e.rank, first.Version, first.Fence, status)

				return 8 * time.Second, true
			}

			return 0, false
		}
	}
	g.mu.Unlock()

	g.mu.Lock()
	g.demand += 5
	g.mu.Unlock()
	b.note("other experts are in demand")

	if trouble {
		select {
		case <-sent:
		case <-time.After(15 * time.Second):
			fail("no further map is prepared")
		}

		agents[0].signal(syscall.SIGKILL)
		<-agents[0].done
		b.note("agent-21, which directs the group, is killed")
		time.Sleep(agentDown)
		g.mu.Lock()
		restarted = true
		g.mu.Unlock()
		b.launch(agents[0])
		b.note("agent-21 starts again")
	}

	time.Sleep(12 * time.Second)
	close(stop)
	<-ended
	g.mu.Lock()
	defer g.mu.Unlock()

	g.ended = true
	g.passes.Broadcast()

	if outside != "" {
		fail("%s", outside)
	}

	b.note("%d orders, %d of them left unanswered; version %d is in use, %d passes", g.orders, g.kept, g.ranks[0].version, g.step)

	for i, m := range g.mixed {
		if i < 3 {
			b.note("ranks with different maps: %s", m)
		}
	}

	b.note("%d passes began while two ranks had different maps", len(g.mixed))

	return len(g.mixed) > 0
}

// drafts sends requests for streams through an entry.
func (b *bed) drafts(n int, stop chan struct{}) {
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

	var calls sync.WaitGroup
	defer calls.Wait()

	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}

		calls.Add(1)

		go func() {
			defer calls.Done()

			req, _ := http.NewRequest(http.MethodPost, "http://"+b.addr(n, portFront)+"/lohu930/2f", strings.NewReader("stave 4 leaks"))
			req.Host = "ficu95.example"
			req.Header.Set("X-Request-Id", fmt.Sprintf("d%d", i))
			req.Header.Set("X-Deadline-Ms", "8000")
			req.Header.Set("X-Model", "m")
			req.Header.Set("X-Token-Counts", "714,97")
			req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%x:674", i+1<<20))
			req.Header.Set("Api-Key", "n2ctnfzs989anu6wsjnb")

			resp, err := client.Do(req)
			if err != nil {
				b.note("client: d%d: %v", i, err)

				return
			}

			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			b.note("client: d%d: %d, %d events, %v", i, resp.StatusCode, strings.Count(string(body), "\n\n"), err)
		}()
	}
}
