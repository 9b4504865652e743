package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The shape of the group's experts, and how long a rank copies one.
const (
	groupSize   = 3
	setCount    = 4
	expertCount = 18
	placeCount  = 8
	spareCount  = 3
	copyTime    = 98 * time.Millisecond
	passTime    = 30 * time.Millisecond
	eventCount  = 24
)

// group is a group of ranks that execute each pass together.
type group struct {
	bed *bed

	mu     sync.Mutex
	step   uint64
	ranks  []*engine
	demand int // which experts are in demand
	passes sync.Cond
	mixed  []string
	// onOrder may keep an order: it is then left unanswered and carried out after a time, by onOrder itself if that is zero.
	onOrder func(e *engine, o *engineOrder) (late time.Duration, keep bool)
	orders  int
	kept    int
	ended   bool
}

// engine is one rank of the group.
type engine struct {
	group   *group
	rank    int
	id      string
	addr    string
	zone    string
	born    int64
	fence   uint64
	seq     uint64
	had     uint64 // the highest version
	version uint64
	current [][]uint16
	whole   string // the map in use, of all ranks

	prepared      uint64
	preparedMap   [][][]uint16
	preparedUntil time.Time
	armed         uint64
	armedStep     uint64
	held          *uint64
	running       int
	counts        []uint64
}

type engineOrder struct {
	Op       string
	Fence    uint64
	Expected *uint64
	Epoch    *uint64 `json:"epoch"`
	Version  uint64
	Step     uint64 `json:"step"`
	Map      [][][]uint16
}

func newGroup(b *bed, firstMachine int) *group {
	g := &group{bed: b}
	g.passes.L = &g.mu

	first := make([][][]uint16, setCount)
	for s := range first {
		first[s] = make([][]uint16, groupSize)
		for e := range expertCount {
			first[s][e%groupSize] = append(first[s][e%groupSize], uint16(e))
		}
	}

	for r := range groupSize {
		l, err := net.Listen("tcp", b.ip(firstMachine+r)+":0")
		if err != nil {
			fail("engine: %v", err)
		}

		e := &engine{group: g, rank: r, id: fmt.Sprintf("i-e%06d", r), addr: l.Addr().String(), zone: zones[r], born: time.Now().UnixMilli(), counts: make([]uint64, setCount*expertCount)}
		e.use(0, first)
		g.ranks = append(g.ranks, e)

		go func() { _ = http.Serve(l, e) }()
	}

	go g.run()

	return g
}

func (e *engine) use(version uint64, m [][][]uint16) {
	e.version, e.current = version, nil
	for s := range m {
		e.current = append(e.current, m[s][e.rank])
	}

	text, _ := json.Marshal(m)
	e.whole = string(text)
}

// run begins passes while there are requests.
func (g *group) run() {
	for {
		time.Sleep(passTime)
		g.mu.Lock()

		if g.ended {
			g.mu.Unlock()

			return
		}

		g.pass()
		g.mu.Unlock()
	}
}

func (g *group) pass() {
	busy := false
	now := time.Now()

	for _, e := range g.ranks {
		busy = busy || e.running > 0

		if e.held != nil && *e.held <= g.step+1 {
			return
		}
	}

	if !busy {
		return
	}

	g.step++

	for _, e := range g.ranks {
		if e.armed != 0 && e.armedStep == g.step {
			e.use(e.armed, e.preparedMap)
			g.bed.note("rank %d: uses version %d from pass %d on", e.rank, e.version, g.step)
			e.armed, e.prepared, e.preparedMap = 0, 0, nil
		}

		for s := range setCount {
			for x := range expertCount {
				e.counts[s*expertCount+x] += uint64(40 / (1 + (g.rankOf(x)*7+s)%expertCount))
			}
		}
	}

	for _, e := range g.ranks[1:] {
		if first := g.ranks[0]; e.version != first.version || e.whole != first.whole {
			g.mixed = append(g.mixed, fmt.Sprintf("pass %d at %s: rank 0 has version %d, rank %d version %d, same content: %v", g.step, now.Format("15:04:05.000"), first.version, e.rank, e.version, e.whole == first.whole))
		}
	}

	g.passes.Broadcast()
}

// rankOf returns the place of an expert in the order of demand. A change of demand moves two thirds of the experts.
func (g *group) rankOf(x int) int {
	if x%3 == 0 {
		return x
	}

	const moved = expertCount / 3 * 2

	i := (x/3*2 + x%3 - 1 + g.demand) % moved

	return i/2*3 + i%2 + 1
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/-/report":
		e.group.mu.Lock()
		out := e.report()
		e.group.mu.Unlock()
		writeJSON(w, out)
	case r.URL.Path == "/-/picked":
		e.group.mu.Lock()
		out := e.picked(r.URL.RawQuery != "")
		e.group.mu.Unlock()
		writeJSON(w, out)
	case r.URL.Path == "/-/order":
		e.takeOrder(w, r)
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", e.id)
	default:
		e.stream(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// groupOf describes the group as the rank reports it.
func (e *engine) groupOf() map[string]any {
	return map[string]any{"Name": "g-1", "epoch": 1, "rank": e.rank, "State": "open"}
}

func (e *engine) isPrepared() bool { return e.prepared != 0 && !time.Now().Before(e.preparedUntil) }

func (e *engine) report() map[string]any {
	out := map[string]any{
		"Stage": "both", "Busy": e.prepared != 0 && !e.isPrepared(), "Seq": e.seq, "Queued": 0, "Running": e.running, "KvUsed": 1000, "KvTotal": 280000, "Handles": 0,
		"Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}},
		"group":  e.groupOf(), "size": groupSize, "pace": 1.0, "step": e.group.step, "Map": e.version, "Prepared": nil, "Armed": nil, "held": nil, "born": e.born,
	}
	if e.isPrepared() {
		out["Prepared"] = e.prepared
	}

	if e.armed != 0 {
		out["Armed"] = map[string]any{"Version": e.armed, "step": e.armedStep}
	}

	if e.held != nil {
		out["held"] = *e.held
	}

	return out
}

func (e *engine) picked(lists bool) map[string]any {
	out := map[string]any{"step": e.group.step, "epoch": 1}
	if !lists {
		out["Counts"] = append([]uint64(nil), e.counts...)

		return out
	}

	out["Map"] = map[string]any{"Version": e.version, "Experts": e.current}

	return out
}

func (e *engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	o := &engineOrder{}

	if err != nil || json.Unmarshal(body, o) != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	g := e.group
	g.mu.Lock()
	g.orders++

	var (
		late time.Duration
		keep bool
	)

	if g.onOrder != nil {
		late, keep = g.onOrder(e, o)
	}

	if keep {
		g.kept++
		g.mu.Unlock()
		g.bed.note("rank %d: %s version %d step %d fence %d from %s is left unanswered", e.rank, o.Op, o.Version, o.Step, o.Fence, r.RemoteAddr)

		if late > 0 {
			time.AfterFunc(late, func() { e.carryOutLate(o) })
		}

		<-r.Context().Done()

		return
	}

	status := e.carryOut(o)
	g.mu.Unlock()
	g.bed.note("rank %d: %s version %d step %d fence %d: %d", e.rank, o.Op, o.Version, o.Step, o.Fence, status)
	w.WriteHeader(status)
}

func (e *engine) carryOutLate(o *engineOrder) {
	e.group.mu.Lock()
	status := e.carryOut(o)
	e.group.mu.Unlock()
	e.group.bed.note("rank %d: %s version %d step %d fence %d is carried out late: %d", e.rank, o.Op, o.Version, o.Step, o.Fence, status)
}

// carryOut carries out an order. The caller holds the group's mutex.
func (e *engine) carryOut(o *engineOrder) int {
	switch {
	case o.Fence < e.fence:
		return http.StatusPreconditionFailed
	case o.Epoch != nil && *o.Epoch != 1, o.Expected != nil && *o.Expected != e.seq:
		return http.StatusConflict
	}

	e.fence = o.Fence

	switch o.Op {
	case "prepare":
		return e.prepare(o)
	case "arm":
		if e.armed == o.Version && e.armedStep == o.Step {
			return http.StatusOK
		}

		if !e.isPrepared() || e.prepared != o.Version || o.Step <= e.group.step {
			return http.StatusConflict
		}

		e.armed, e.armedStep = o.Version, o.Step
	case "disarm":
		if e.version == o.Version {
			return http.StatusConflict
		}

		if e.armed != o.Version {
			return http.StatusOK
		}

		e.armed = 0
	case "Hold":
		if e.held != nil && *e.held == o.Step {
			return http.StatusOK
		}

		if e.held != nil || o.Step <= e.group.step {
			return http.StatusConflict
		}

		step := o.Step
		e.held = &step
	case "go":
		if e.held == nil || *e.held != o.Step {
			return http.StatusConflict
		}

		e.held = nil
	default:
		return http.StatusBadRequest
	}

	e.seq++

	return http.StatusOK
}

func (e *engine) prepare(o *engineOrder) int {
	if o.Version == e.prepared && reflect.DeepEqual(o.Map, e.preparedMap) {
		return http.StatusOK
	}

	if o.Version <= e.had || e.armed != 0 || len(o.Map) != setCount {
		return http.StatusConflict
	}

	added := 0

	for s := range o.Map {
		inSet := 0

		for _, x := range o.Map[s][e.rank] {
			if !contains(e.current[s], x) {
				inSet++
			}
		}

		if inSet > spareCount || len(o.Map[s][e.rank]) > placeCount {
			return http.StatusConflict
		}

		added += inSet
	}

	e.had, e.prepared, e.preparedMap = o.Version, o.Version, o.Map
	e.preparedUntil = time.Now().Add(time.Duration(added) * copyTime)
	e.seq++

	return http.StatusAccepted
}

func contains(experts []uint16, x uint16) bool {
	for _, e := range experts {
		if e == x {
			return true
		}
	}

	return false
}

// stream answers a request with an event for each pass.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-Id")

	if want := r.Header.Get("X-Target-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.group.bed.note("rank %d: runs %s after event %d", e.rank, id, from)

	g := e.group
	g.mu.Lock()
	e.running++
	g.mu.Unlock()

	defer func() {
		g.mu.Lock()
		e.running--
		g.mu.Unlock()
	}()

	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "sig."+e.id+"."+id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,12", e.running))
	w.Header().Set("Content-Type", "text/event-stream")

	for n := from + 1; n <= eventCount; n++ {
		g.mu.Lock()
		g.passes.Wait()
		ended := g.ended
		g.mu.Unlock()

		if ended || r.Context().Err() != nil {
			return
		}

		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 70))
		_ = http.NewResponseController(w).Flush()
	}
}

// beatUntilEnd sends the rank's heartbeats.
func (e *engine) beatUntilEnd(controls ...int) {
	go func() {
		for seq := 1; ; seq++ {
			group, _ := json.Marshal(e.groupOf())
			body := fmt.Sprintf(`{"Service":"huvo11a","Address":%q,"Zone":%q,"Version":"v1","Slots":12,"State":"ready","ColdRemainingMs":0,"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Seq":%d,"born":%d,"group":%s,"size":%d}`,
				e.addr, e.zone, seq, e.born, group, groupSize)

			for _, n := range controls {
				if status, _, err := call(e.group.bed.addr(n, portControl), http.MethodPut, "/-/instances/"+e.id, body, callTime); err == nil && status/100 == 2 {
					break
				}
			}

			time.Sleep(heartbeat)
		}
	}()
}
