package routing_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/prefix"
	"github.com/parsleygate/parsleygate/internal/routing"
)

// plain is what the baselines know: reports, what this entry has in flight, the configuration.
type plain struct {
	rng      *rand.Rand
	list     []routing.Target
	subset   []int
	reported []int
	own      []int
	next     int
}

func newPlain(rng *rand.Rand, list []routing.Target, subset []int) *plain {
	return &plain{rng: rng, list: list, subset: subset, reported: make([]int, len(list)), own: make([]int, len(list)), next: rng.IntN(len(subset))}
}

func (p *plain) usable(i int, ask routing.Request) bool {
	t := p.list[i]

	return !t.Leaving && !t.ZoneOut && !slices.Contains(ask.Excluded, t.AgentID)
}

// capacity is what the targets that are not out bear together.
func (p *plain) capacity() int {
	n := 0

	for _, t := range p.list {
		if !t.ZoneOut {
			n += t.Capacity
		}
	}

	return n
}

func (p *plain) picker(choose func(ask routing.Request) int) picker {
	return picker{
		choose: func(_ time.Time, ask routing.Request) (int, time.Time) {
			i := choose(ask)
			if i >= 0 {
				p.own[i]++
			}

			return i, time.Time{}
		},
		report: func(_ time.Time, i, inFlight, _ int, _ bool) { p.reported[i] = inFlight },
		credit: func(time.Time, int, int, time.Time) {},
		begin:  func(time.Time, int, time.Duration) {},
		finish: func(_ time.Time, i int, _ routing.Finished) { p.own[i]-- },
		change: func(list []routing.Target) { p.list = list },
		room:   func(time.Time) routing.Capacity { return routing.Capacity{Slots: p.capacity() / 3} },
		asks:   func(time.Time) []routing.CreditRequest { return nil },
		silent: func(time.Time, int) {},
		cache:  func(prefix.Event) {},
	}
}

func roundRobin(rng *rand.Rand, list []routing.Target, subset []int) picker {
	p := newPlain(rng, list, subset)

	return p.picker(func(ask routing.Request) int {
		for range p.subset {
			p.next++
			if i := p.subset[p.next%len(p.subset)]; p.usable(i, ask) {
				return i
			}
		}

		return -1
	})
}

func leastReported(rng *rand.Rand, list []routing.Target, subset []int) picker {
	p := newPlain(rng, list, subset)

	return p.picker(func(ask routing.Request) int {
		best := -1
		for _, i := range p.subset {
			if p.usable(i, ask) && (best < 0 || p.reported[i] < p.reported[best]) {
				best = i
			}
		}

		return best
	})
}

// twoChoices compares two random targets by report and own requests in flight.
func twoChoices(rng *rand.Rand, list []routing.Target, subset []int) picker {
	p := newPlain(rng, list, subset)

	return p.picker(func(ask routing.Request) int {
		var open []int
		for _, i := range p.subset {
			if p.usable(i, ask) {
				open = append(open, i)
			}
		}

		if len(open) == 0 {
			return -1
		}

		a, b := open[rng.IntN(len(open))], open[rng.IntN(len(open))]
		if max(p.reported[b], p.own[b]) < max(p.reported[a], p.own[a]) {
			return b
		}

		return a
	})
}

// ours makes a picker of a Chooser with some settings.
func ours(settings routing.Settings) func(*rand.Rand, []routing.Target, []int) picker {
	return func(rng *rand.Rand, list []routing.Target, subset []int) picker {
		number := map[string]int{}
		for i, t := range list {
			number[t.AgentID] = i
		}

		c := &routing.Chooser{
			Settings: settings, Rand: rand.New(rand.NewPCG(rng.Uint64(), 1)), Prefixes: &prefix.Index{},
		}
		known := list
		change := func(list []routing.Target) {
			known = list
			kept := make([]routing.Target, 0, len(subset))

			for _, i := range subset {
				kept = append(kept, list[i])
			}

			c.ChangeTargets(routing.TargetsChanged{Targets: kept})
		}
		change(list)

		return picker{
			choose: func(now time.Time, ask routing.Request) (int, time.Time) {
				got, none := c.Choose(now, ask)
				if none != nil {
					return -1, none.RetryAt
				}

				return number[got.AgentID], time.Time{}
			},
			report: func(taken time.Time, i, inFlight, limit int, cold bool) {
				c.ApplyReport(routing.ReportReceived{
					AgentID: known[i].AgentID, Incarnation: known[i].Incarnation, TakenAt: taken,
					InFlight: inFlight, Limit: limit, Cold: cold,
				})
			},
			credit: func(_ time.Time, i, slots int, ends time.Time) {
				c.ApplyCredit(routing.CreditChanged{AgentID: known[i].AgentID, Incarnation: known[i].Incarnation, Slots: slots, ExpiresAt: ends})
			},
			begin: func(_ time.Time, i int, wait time.Duration) {
				c.RecordFirstByte(routing.FirstByte{AgentID: known[i].AgentID, Incarnation: known[i].Incarnation, Wait: wait})
			},
			finish: func(now time.Time, i int, ev routing.Finished) {
				ev.AgentID, ev.Incarnation = known[i].AgentID, known[i].Incarnation
				c.Finish(now, ev)
			},
			change: change,
			room:   func(now time.Time) routing.Capacity { return c.Capacity(now, service) },
			asks:   c.CreditRequests,
			cache:  c.ApplyCacheEvent,
			silent: func(now time.Time, i int) {
				c.RecordUnresponsive(now, routing.ConnectionUnresponsive{AgentID: known[i].AgentID, Incarnation: known[i].Incarnation})
			},
		}
	}
}
