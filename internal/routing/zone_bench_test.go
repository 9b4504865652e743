package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleygate/parsleygate/internal/fairness"
	"github.com/parsleygate/parsleygate/internal/routing"
)

// queued puts the entry's queue before its choice.
type queued struct {
	m     *model
	entry *modelEntry
	queue *fairness.Queue
	jobs  map[uint64]*job
	next  uint64
}

func newQueued(m *model, e *modelEntry) *queued {
	d := &queued{m: m, entry: e, jobs: map[uint64]*job{}}
	d.queue = &fairness.Queue{Rand: rand.New(rand.NewPCG(m.rng.Uint64(), 2)), Settings: fairness.Settings{Service: m.base}}
	m.every(50*time.Millisecond, d.tick)

	return d
}

// tick follows the room at the targets.
func (d *queued) tick() {
	now := d.m.clock()
	d.take(d.queue.SetCapacity(now, d.entry.room(now).Slots))
	d.take(d.queue.Tick(now))
}

func (d *queued) offer(j *job) {
	d.next++
	id := d.next
	d.jobs[id] = j
	j.ended = func(bool) {
		delete(d.jobs, id)
		d.take(d.queue.Finish(d.m.clock(), id))
	}
	// A request without room at any target waits for the next credit.
	j.noRoom = func() { d.take(d.queue.PutBack(d.m.clock(), id)) }
	own, others := d.queue.Offer(d.m.clock(), fairness.Item{ID: id, Workspace: "w", Deadline: epoch.Add(j.deadline)})
	d.take(append(others, own))
}

func (d *queued) take(actions []fairness.Action) {
	for _, a := range actions {
		j := d.jobs[a.ID]

		switch a.Kind {
		case fairness.Start:
			d.m.after(0, func() { d.m.try(j) })
		case fairness.Refuse:
			delete(d.jobs, a.ID)
			d.m.results.refused++
		case fairness.Wait:
		}
	}
}

// The times of the scenario: a zone goes, and comes back cold.
const (
	zoneGoes    = 30 * time.Second
	zoneReturns = 90 * time.Second
	zoneEnds    = 180 * time.Second
)

// zoneScenario takes the first zone out and back, told to each entry within a
// second; without notice its targets go silent instead.
func (m *model) zoneScenario(notice bool) {
	zone := m.targets[0].Zone
	m.after(zoneGoes, func() { m.setZone(zone, notice, true) })
	m.after(zoneReturns, func() { m.setZone(zone, notice, false) })
}

func (m *model) setZone(zone string, notice, out bool) {
	for _, t := range m.targets {
		if t.Zone != zone {
			continue
		}

		if notice {
			t.ZoneOut = out
		} else {
			t.down = out
		}

		if !out {
			t.Incarnation++
			t.Cold, t.limit, t.doubled = true, 1, 1
			clear(t.shares)
		}
	}

	if !notice && out {
		return
	}

	for _, e := range m.entries {
		m.after(time.Duration(m.rng.Int64N(int64(time.Second))), func() { e.change(m.list()) })
	}
}

func (m *model) list() []routing.Target {
	list := make([]routing.Target, len(m.targets))
	for i, t := range m.targets {
		list[i] = t.Target
	}

	return list
}

// served is what was answered in time from one time to another: by the time of
// the answer where the targets are full, by that of the request where they keep up.
func (m *model) served(from, to time.Duration, byEnd bool) (answered, offered float64) {
	for s := int(from / time.Second); s < int(to/time.Second); s++ {
		if byEnd {
			answered += float64(m.results.endedAt[s])
		} else {
			answered += float64(m.results.answeredAt[s])
		}

		offered += float64(m.results.offeredAt[s])
	}

	return answered, offered
}

func zoneSizes() []size {
	return []size{
		{"Assist", 3, 12, 8, 12, 180},
		{"Desk", 3, 3, 16, 3, 180},
		{"Large", 40, 60, 64, 30, 180},
	}
}

// BenchmarkZone measures what is answered in time while a zone leaves and
// returns cold, against what the remaining targets can carry.
func BenchmarkZone(b *testing.B) {
	queue := func(w way) way { return way{w.name + "+Queue", w.make} }
	list := append(ways(), queue(way{"Ours", ours(routing.Settings{})}))

	for _, s := range zoneSizes() {
		for _, notice := range []bool{true, false} {
			for _, load := range []float64{0.55, 0.8} {
				for _, w := range list {
					b.Run(fmt.Sprintf("%s/notice=%v/load=%.2f/%s", s.name, notice, load, w.name), func(b *testing.B) {
						for range b.N {
							runZone(b, s, w, notice, load)
						}
					})
				}
			}
		}
	}
}

func runZone(b *testing.B, s size, w way, notice bool, load float64) {
	m := newModel(3, s, w, 0)
	m.deadline = 10 * time.Second
	m.horizon = zoneEnds + 15*time.Second
	m.watch(5 * time.Second)
	m.zoneScenario(notice)

	start := func(e *modelEntry) { m.try(m.newJob(e)) }

	if w.name == "Ours+Queue" {
		queues := map[*modelEntry]*queued{}
		for _, e := range m.entries {
			queues[e] = newQueued(m, e)
		}

		start = func(e *modelEntry) { queues[e].offer(m.newJob(e)) }
	}

	rate := perSecond(s, load)
	m.arrivals(rate, zoneEnds, start)
	m.run()

	r := &m.results
	left := min(rate, perSecond(s, 2.0/3)) * (zoneReturns - zoneGoes).Seconds()
	answered, offered := m.served(zoneGoes, zoneReturns, rate > perSecond(s, 2.0/3))
	b.ReportMetric(100*answered/min(left, offered), "leave-%")

	answered, offered = m.served(zoneReturns, zoneReturns+30*time.Second, rate > perSecond(s, 2.0/3))
	b.ReportMetric(100*answered/min(perSecond(s, 2.0/3)*30, offered), "return-%")
	b.ReportMetric(100*float64(r.answered)/float64(r.offered), "answered-%")
	b.ReportMetric(100*float64(r.refused)/float64(r.offered), "refused-%")
	b.ReportMetric(100*float64(r.late)/float64(r.offered), "late-%")
	b.ReportMetric(float64(r.tries)/float64(r.offered), "tries/req")
	b.ReportMetric(quantile(r.latencies, 0.99), "p99-s")
	b.ReportMetric(0, "ns/op")

	worst := 0
	for _, t := range m.targets {
		worst = max(worst, t.worst)
	}

	b.ReportMetric(float64(worst), "cold-excess")
}
