package routing_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
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
	j.noRoom = func() { d.take(d.queue.Requeue(d.m.clock(), id)) }
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
	list := append(ways(), way{"RoundRobin+Queue", roundRobin}, way{"Ours+Queue", ours(routing.Settings{})})

	for _, s := range zoneSizes() {
		for _, notice := range []bool{true, false} {
			for _, load := range []float64{0.55, 0.8} {
				for _, w := range list {
					// The baselines' share of the capacity is that of three entries.
					if s.entries != 3 && w.name == "RoundRobin+Queue" {
						continue
					}

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

// zoneOutcome is what one run measures, in percent but for tries and p99.
type zoneOutcome struct {
	leave, back, answered, refused, late, tries, p99, excess float64
}

// runZone reports the means over the size's seeds, and the worst leaving.
func runZone(b *testing.B, s size, w way, notice bool, load float64) {
	b.Helper()

	seeds := 5
	if s.targets > 12 {
		seeds = 1
	}

	var sum zoneOutcome

	worst := 1e9

	for seed := range seeds {
		o := zoneOnce(uint64(3+seed), s, w, notice, load)
		worst = min(worst, o.leave)
		sum.leave += o.leave
		sum.back += o.back
		sum.answered += o.answered
		sum.refused += o.refused
		sum.late += o.late
		sum.tries += o.tries
		sum.p99 += o.p99
		sum.excess = max(sum.excess, o.excess)
	}

	n := float64(seeds)
	b.ReportMetric(sum.leave/n, "leave-%")
	b.ReportMetric(worst, "worst-leave-%")
	b.ReportMetric(sum.back/n, "return-%")
	b.ReportMetric(sum.answered/n, "answered-%")
	b.ReportMetric(sum.refused/n, "refused-%")
	b.ReportMetric(sum.late/n, "late-%")
	b.ReportMetric(sum.tries/n, "tries/req")
	b.ReportMetric(sum.p99/n, "p99-s")
	b.ReportMetric(sum.excess, "cold-excess")
	b.ReportMetric(0, "ns/op")
}

func zoneOnce(seed uint64, s size, w way, notice bool, load float64) zoneOutcome {
	m := newModel(seed, s, w, 0)
	m.deadline = 10 * time.Second
	m.horizon = zoneEnds + 15*time.Second
	m.watch(5 * time.Second)
	m.zoneScenario(notice)

	start := func(e *modelEntry) { m.try(m.newJob(e)) }

	if strings.HasSuffix(w.name, "+Queue") {
		queues := map[*modelEntry]*queued{}
		for _, e := range m.entries {
			queues[e] = newQueued(m, e)
		}

		start = func(e *modelEntry) { queues[e].offer(m.newJob(e)) }
	}

	rate, left := perSecond(s, load), perSecond(s, 2.0/3)
	m.arrivals(rate, zoneEnds, start)
	m.run()

	r := &m.results
	percent := func(n int) float64 { return 100 * float64(n) / float64(r.offered) }
	o := zoneOutcome{
		answered: percent(r.answered), refused: percent(r.refused), late: percent(r.late),
		tries: percent(r.tries) / 100, p99: quantile(r.latencies, 0.99),
	}

	answered, offered := m.served(zoneGoes, zoneReturns, rate > left)
	o.leave = 100 * answered / min(left*(zoneReturns-zoneGoes).Seconds(), offered)
	answered, offered = m.served(zoneReturns, zoneReturns+30*time.Second, rate > left)
	o.back = 100 * answered / min(left*30, offered)

	for _, t := range m.targets {
		o.excess = max(o.excess, float64(t.worst))
	}

	return o
}
