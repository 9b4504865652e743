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

// queuedEntry puts the entry's queue before its choice.
type queuedEntry struct {
	m     *model
	entry *modelEntry
	queue *fairness.Queue
	jobs  map[uint64]*job
	next  uint64
}

func newQueuedEntry(m *model, e *modelEntry) *queuedEntry {
	d := &queuedEntry{m: m, entry: e, jobs: map[uint64]*job{}}
	d.queue = &fairness.Queue{Rand: rand.New(rand.NewPCG(m.rng.Uint64(), 2)), Settings: fairness.Settings{InitialServiceTime: m.baseServiceTime}}
	m.repeat(50*time.Millisecond, d.updateCapacity)

	return d
}

// updateCapacity follows the room at the targets.
func (d *queuedEntry) updateCapacity() {
	now := d.m.clock()
	d.apply(d.queue.SetCapacity(now, d.entry.capacity(now).Slots))
	d.apply(d.queue.Tick(now))
}

func (d *queuedEntry) offer(j *job) {
	d.next++
	id := d.next
	d.jobs[id] = j
	j.onEnd = func(bool) {
		delete(d.jobs, id)
		d.apply(d.queue.Finish(d.m.clock(), id))
	}
	// A request without room at any target waits for the next credit.
	j.onNoCapacity = func() { d.apply(d.queue.Requeue(d.m.clock(), id)) }
	itemAction, otherActions := d.queue.Offer(d.m.clock(), fairness.Item{ID: id, Workspace: "w", Deadline: epoch.Add(j.deadline)})
	d.apply(append(otherActions, itemAction))
}

func (d *queuedEntry) apply(actions []fairness.Action) {
	for _, a := range actions {
		j := d.jobs[a.ID]

		switch a.Kind {
		case fairness.Start:
			d.m.after(0, func() { d.m.attempt(j) })
		case fairness.Refuse:
			delete(d.jobs, a.ID)
			d.m.results.refused++
		case fairness.Wait:
		}
	}
}

// The times of the scenario: a zone goes, and comes back cold.
const (
	zoneOutAt   = 30 * time.Second
	zoneBackAt  = 90 * time.Second
	arrivalsEnd = 180 * time.Second
)

// zoneScenario takes the first zone out and back, told to each entry within a
// second; without notice its targets go silent instead.
func (m *model) zoneScenario(notice bool) {
	zone := m.targets[0].Zone
	m.after(zoneOutAt, func() { m.setZone(zone, notice, true) })
	m.after(zoneBackAt, func() { m.setZone(zone, notice, false) })
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
			t.Cold, t.limit, t.rampCap = true, 1, 1
			clear(t.reservations)
		}
	}

	if !notice && out {
		return
	}

	for _, e := range m.entries {
		m.after(time.Duration(m.rng.Int64N(int64(time.Second))), func() { e.setTargets(m.list()) })
	}
}

func (m *model) list() []routing.Target {
	list := make([]routing.Target, len(m.targets))
	for i, t := range m.targets {
		list[i] = t.Target
	}

	return list
}

// answeredBetween is what was answered in time from one time to another: by the time of
// the answer where the targets are full, by that of the request where they keep up.
func (m *model) answeredBetween(from, to time.Duration, byEnd bool) (answered, offered float64) {
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

func zoneDeployments() []deployment {
	return []deployment{
		{"Assist", 3, 12, 8, 12, 180},
		{"Desk", 3, 3, 16, 3, 180},
		{"Large", 40, 60, 64, 30, 180},
	}
}

// BenchmarkZone measures what is answered in time while a zone leaves and
// returns cold, against what the remaining targets can carry.
func BenchmarkZone(b *testing.B) {
	list := append(lbPolicies(), lbPolicy{"RoundRobin+Queue", roundRobin}, lbPolicy{"Ours+Queue", chooserPicker(routing.Settings{})})

	for _, s := range zoneDeployments() {
		for _, notice := range []bool{true, false} {
			for _, load := range []float64{0.55, 0.8} {
				for _, lb := range list {
					// The baselines' share of the capacity is that of three entries.
					if s.entries != 3 && lb.name == "RoundRobin+Queue" {
						continue
					}

					b.Run(fmt.Sprintf("%s/notice=%v/load=%.2f/%s", s.name, notice, load, lb.name), func(b *testing.B) {
						for range b.N {
							runZone(b, s, lb, notice, load)
						}
					})
				}
			}
		}
	}
}

// zoneOutcome is what one run measures, in percent but for tries and p99.
type zoneOutcome struct {
	duringOutage, afterReturn, answered, refused, late, attempts, p99, coldExcess float64
}

// runZone reports the means over the size's seeds, and the worst leaving.
func runZone(b *testing.B, s deployment, lb lbPolicy, notice bool, load float64) {
	b.Helper()

	seeds := 5
	if s.targets > 12 {
		seeds = 1
	}

	var sum zoneOutcome

	worstOutage := 1e9

	for seed := range seeds {
		o := runZoneSeed(uint64(3+seed), s, lb, notice, load)
		worstOutage = min(worstOutage, o.duringOutage)
		sum.duringOutage += o.duringOutage
		sum.afterReturn += o.afterReturn
		sum.answered += o.answered
		sum.refused += o.refused
		sum.late += o.late
		sum.attempts += o.attempts
		sum.p99 += o.p99
		sum.coldExcess = max(sum.coldExcess, o.coldExcess)
	}

	n := float64(seeds)
	b.ReportMetric(sum.duringOutage/n, "leave-%")
	b.ReportMetric(worstOutage, "worst-leave-%")
	b.ReportMetric(sum.afterReturn/n, "return-%")
	b.ReportMetric(sum.answered/n, "answered-%")
	b.ReportMetric(sum.refused/n, "refused-%")
	b.ReportMetric(sum.late/n, "late-%")
	b.ReportMetric(sum.attempts/n, "tries/req")
	b.ReportMetric(sum.p99/n, "p99-s")
	b.ReportMetric(sum.coldExcess, "cold-excess")
	b.ReportMetric(0, "ns/op")
}

func runZoneSeed(seed uint64, s deployment, lb lbPolicy, notice bool, load float64) zoneOutcome {
	m := newModel(seed, s, lb, 0)
	m.deadline = 10 * time.Second
	m.horizon = arrivalsEnd + 15*time.Second
	m.startPeriodic(5 * time.Second)
	m.zoneScenario(notice)

	start := func(e *modelEntry) { m.attempt(m.newJob(e)) }

	if strings.HasSuffix(lb.name, "+Queue") {
		queues := map[*modelEntry]*queuedEntry{}
		for _, e := range m.entries {
			queues[e] = newQueuedEntry(m, e)
		}

		start = func(e *modelEntry) { queues[e].offer(m.newJob(e)) }
	}

	rate, remainingRate := perSecond(s, load), perSecond(s, 2.0/3)
	m.arrivals(rate, arrivalsEnd, start)
	m.run()

	r := &m.results
	percent := func(n int) float64 { return 100 * float64(n) / float64(r.offered) }
	o := zoneOutcome{
		answered: percent(r.answered), refused: percent(r.refused), late: percent(r.late),
		attempts: percent(r.attempts) / 100, p99: quantile(r.latencies, 0.99),
	}

	answered, offered := m.answeredBetween(zoneOutAt, zoneBackAt, rate > remainingRate)
	o.duringOutage = 100 * answered / min(remainingRate*(zoneBackAt-zoneOutAt).Seconds(), offered)
	answered, offered = m.answeredBetween(zoneBackAt, zoneBackAt+30*time.Second, rate > remainingRate)
	o.afterReturn = 100 * answered / min(remainingRate*30, offered)

	for _, t := range m.targets {
		o.coldExcess = max(o.coldExcess, float64(t.maxExcess))
	}

	return o
}
