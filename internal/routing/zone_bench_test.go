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

// queuedEntry is an entry with a fairness queue ahead of its picker.
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

// updateCapacity sets the queue's capacity to that of the targets.
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
	// A request for which no target has capacity waits for the next credit.
	j.onNoCapacity = func() { d.apply(d.queue.Requeue(d.m.clock(), id)) }
	itemAction, otherActions := d.queue.Submit(d.m.clock(), fairness.Item{ID: id, Workspace: "w", Deadline: epoch.Add(j.deadline)})
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

// The times of the scenario: a zone is lost and returns cold.
const (
	zoneOutAt   = 30 * time.Second
	zoneBackAt  = 90 * time.Second
	arrivalsEnd = 180 * time.Second
)

// zoneScenario takes the first zone out and back. With notice, each entry receives the
// change within a second; without it, the targets stop responding.
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

// answeredBetween returns how many requests were answered in time, and how many were
// offered, from one time to another. Answers count by their end if the targets are
// full, and by the arrival of the request otherwise.
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

// BenchmarkZone measures the requests answered in time while a zone is out and after it
// returns cold, relative to the capacity of the other zones.
func BenchmarkZone(b *testing.B) {
	list := append(lbPolicies(), lbPolicy{"RoundRobin+Queue", roundRobin}, lbPolicy{"Chooser+Queue", chooserPicker(routing.Settings{})})

	for _, s := range zoneDeployments() {
		for _, notice := range []bool{true, false} {
			for _, load := range []float64{0.55, 0.8} {
				for _, lb := range list {
					// The baselines take a third of the capacity, which is right only
					// for three entries.
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

// zoneOutcome is the result of one run, in percent except attempts, p99 and coldExcess.
type zoneOutcome struct {
	duringOutage, afterReturn, answered, refused, late, attempts, p99, coldExcess float64
}

// runZone reports the means over all seeds, and the worst result during the outage.
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
