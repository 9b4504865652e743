package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	serverSlots = 6
	serverQueue = 24
	// workTime is within the 15 to 110 ms that the sheets give for one request.
	workTime = 60 * time.Millisecond
	bodySize = 800
)

// server is a server of the platform. It keeps its ID and its address across restarts.
type server struct {
	bed  *bed
	id   string
	zone string
	addr string
	// node is the control VM that gets its heartbeats.
	node *process

	mu    sync.Mutex
	http  *http.Server
	born  int64
	seq   uint64
	stop  context.CancelFunc
	beats chan struct{} // closed when the heartbeats have ended
	// beatAt is when the last heartbeat was answered.
	beatAt time.Time
	// gone is when its removal or draining was acknowledged; zero before.
	gone time.Time

	running atomic.Int64
	// arrivals are requests since the start of the case, late those that arrived more than DrainMs
	// after gone, cut those that its end broke off.
	arrivals, late, cut atomic.Int64
}

func (b *bed) newServer(n int, zone string, node *process) *server {
	return &server{bed: b, id: fmt.Sprintf("i-7f3a91c%d", n), zone: zone, addr: fmt.Sprintf("%s:%d", serverIP(n), b.ports[portFront]), node: node}
}

// start starts an incarnation, which announces itself to node.
func (s *server) start(node *process) {
	l, err := net.Listen("tcp", s.addr)
	for range 20 {
		if err == nil {
			break
		}

		time.Sleep(50 * time.Millisecond)

		l, err = net.Listen("tcp", s.addr)
	}

	if err != nil {
		panic(cannotRun{err.Error()})
	}

	ctx, stop := context.WithCancel(context.Background())
	h := &http.Server{Handler: http.HandlerFunc(s.serve), BaseContext: func(net.Listener) context.Context { return ctx }}

	s.mu.Lock()
	s.http, s.born, s.seq, s.stop, s.gone = h, time.Now().UnixMilli(), 0, stop, time.Time{}
	s.node, s.beats = node, make(chan struct{})
	beats := s.beats
	s.mu.Unlock()
	s.bed.note("server %s: starts, born %d", s.id, s.born)

	go func() { _ = h.Serve(l) }()
	go s.announce(ctx, beats)
}

// announce sends heartbeats until ctx ends or the server leaves.
func (s *server) announce(ctx context.Context, ended chan struct{}) {
	defer close(ended)

	for {
		s.mu.Lock()
		leaving := !s.gone.IsZero()
		node := s.node
		s.mu.Unlock()

		if leaving {
			return
		}

		s.beat(node)

		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// beat sends one heartbeat.
func (s *server) beat(node *process) {
	s.mu.Lock()
	s.seq++
	body, err := json.Marshal(map[string]any{
		"Service": service, "Address": s.addr, "Zone": s.zone, "Version": "v1", "Slots": serverSlots, "State": "ready", "ColdRemainingMs": 0, "Seq": s.seq, "born": s.born,
	})
	s.mu.Unlock()

	if err != nil {
		panic(cannotRun{err.Error()})
	}

	s.bed.call("server "+s.id, http.MethodPut, node, "/-/instances/"+s.id, body)

	s.mu.Lock()
	s.beatAt = time.Now()
	s.mu.Unlock()
}

// sleepAfterHeartbeat sleeps until a time after the next heartbeat.
func (s *server) sleepAfterHeartbeat(d time.Duration) {
	lastBeat := func() time.Time {
		s.mu.Lock()
		defer s.mu.Unlock()

		return s.beatAt
	}

	for before := lastBeat(); lastBeat().Equal(before); {
		time.Sleep(10 * time.Millisecond)
	}

	time.Sleep(time.Until(lastBeat().Add(d)))
}

// leave deregisters the server at a control VM. It returns when that is acknowledged.
func (s *server) leave(nodes ...*process) {
	for n := 0; ; n++ {
		if n == 10 {
			panic(cannotRun{"DELETE of " + s.id + " was never acknowledged"})
		}

		if status, _ := s.bed.call("server "+s.id, http.MethodDelete, nodes[n%len(nodes)], "/-/instances/"+s.id, nil); status == http.StatusOK {
			break
		}
	}

	s.mu.Lock()
	s.gone = time.Now()
	s.mu.Unlock()
}

// end ends the server: what it still works at is cut off.
func (s *server) end() {
	s.mu.Lock()
	h, stop := s.http, s.stop
	s.mu.Unlock()

	running := s.running.Load()
	s.cut.Add(running)
	s.bed.note("server %s: ends, %d requests running", s.id, running)
	stop()

	_ = h.Close()
}

func (s *server) sinceGone() (since time.Duration, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return time.Since(s.gone), !s.gone.IsZero()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", min(s.running.Load(), serverSlots), max(0, s.running.Load()-serverSlots), serverSlots))

	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}

	switch named := r.Header.Get("X-Target-Instance"); {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", s.id)

		return
	case named != "" && named != s.id:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)

		return
	case s.running.Load() >= serverSlots+serverQueue:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}

	s.arrivals.Add(1)

	text := ""

	if since, gone := s.sinceGone(); gone {
		text = fmt.Sprintf(", %d ms after its removal was acknowledged", since.Milliseconds())

		if since > drainTime {
			s.late.Add(1)

			text += ": LATE"
		}
	}

	s.bed.note("server %s: runs %s%s", s.id, id, text)
	s.running.Add(1)

	defer s.running.Add(-1)

	select {
	case <-r.Context().Done():
		s.bed.note("server %s: %s is broken off", s.id, id)

		return
	case <-time.After(workTime):
	}

	w.Header().Set("X-Response-Signature", "3e1b.07.5a2.600.0."+id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = w.Write([]byte(strings.Repeat("x", bodySize)))
}

// sleepAfterLeaving sleeps until a time after the removal of the server was acknowledged.
func (s *server) sleepAfterLeaving(d time.Duration) {
	s.mu.Lock()
	gone := s.gone
	s.mu.Unlock()

	time.Sleep(time.Until(gone.Add(d)))
}
