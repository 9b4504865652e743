package routing_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/prefix"
	"github.com/parsleygate/parsleygate/internal/routing"
)

// baseline is the state of the baseline policies: the reports, this entry's requests in
// flight, and the configuration.
type baseline struct {
	rng      *rand.Rand
	list     []routing.Target
	subset   []int
	reported []int
	inFlight []int
	next     int
}

func newBaseline(rng *rand.Rand, list []routing.Target, subset []int) *baseline {
	return &baseline{rng: rng, list: list, subset: subset, reported: make([]int, len(list)), inFlight: make([]int, len(list)), next: rng.IntN(len(subset))}
}

func (p *baseline) usable(i int, req routing.Request) bool {
	t := p.list[i]

	return !t.Draining && !t.ZoneOut && !slices.Contains(req.Excluded, t.AgentID)
}

// capacity returns the total capacity of the targets whose zone is not out.
func (p *baseline) capacity() int {
	n := 0

	for _, t := range p.list {
		if !t.ZoneOut {
			n += t.Capacity
		}
	}

	return n
}

func (p *baseline) picker(choose func(req routing.Request) int) picker {
	return picker{
		choose: func(_ time.Time, req routing.Request) (int, time.Time) {
			i := choose(req)
			if i >= 0 {
				p.inFlight[i]++
			}

			return i, time.Time{}
		},
		report:         func(_ time.Time, i, inFlight, _ int, _ bool) { p.reported[i] = inFlight },
		credit:         func(time.Time, int, int, time.Time) {},
		firstByte:      func(time.Time, int, time.Duration) {},
		finish:         func(_ time.Time, i int, _ routing.Finished) { p.inFlight[i]-- },
		setTargets:     func(list []routing.Target) { p.list = list },
		capacity:       func(time.Time) routing.Capacity { return routing.Capacity{Slots: p.capacity() / 3} },
		creditRequests: func(time.Time) []routing.CreditRequest { return nil },
		unresponsive:   func(time.Time, int) {},
		cacheEvent:     func(prefix.Event) {},
	}
}

func roundRobin(rng *rand.Rand, list []routing.Target, subset []int) picker {
	p := newBaseline(rng, list, subset)

	return p.picker(func(req routing.Request) int {
		for range p.subset {
			p.next++
			if i := p.subset[p.next%len(p.subset)]; p.usable(i, req) {
				return i
			}
		}

		return -1
	})
}

func leastReported(rng *rand.Rand, list []routing.Target, subset []int) picker {
	p := newBaseline(rng, list, subset)

	return p.picker(func(req routing.Request) int {
		best := -1
		for _, i := range p.subset {
			if p.usable(i, req) && (best < 0 || p.reported[i] < p.reported[best]) {
				best = i
			}
		}

		return best
	})
}

// twoChoices picks the less loaded of two random targets, by its report and this
// entry's requests in flight.
func twoChoices(rng *rand.Rand, list []routing.Target, subset []int) picker {
	p := newBaseline(rng, list, subset)

	return p.picker(func(req routing.Request) int {
		var open []int
		for _, i := range p.subset {
			if p.usable(i, req) {
				open = append(open, i)
			}
		}

		if len(open) == 0 {
			return -1
		}

		a, b := open[rng.IntN(len(open))], open[rng.IntN(len(open))]
		if max(p.reported[b], p.inFlight[b]) < max(p.reported[a], p.inFlight[a]) {
			return b
		}

		return a
	})
}

// chooserPicker returns a constructor of a picker that uses a Chooser.
func chooserPicker(settings routing.Settings) func(*rand.Rand, []routing.Target, []int) picker {
	return func(rng *rand.Rand, list []routing.Target, subset []int) picker {
		indexOf := map[string]int{}
		for i, t := range list {
			indexOf[t.AgentID] = i
		}

		c := &routing.Chooser{
			Settings: settings, Rand: rand.New(rand.NewPCG(rng.Uint64(), 1)), Prefixes: &prefix.Index{},
		}
		current := list
		change := func(list []routing.Target) {
			current = list
			kept := make([]routing.Target, 0, len(subset))

			for _, i := range subset {
				kept = append(kept, list[i])
			}

			c.ChangeTargets(routing.TargetsChanged{Targets: kept})
		}
		change(list)

		return picker{
			choose: func(now time.Time, req routing.Request) (int, time.Time) {
				got, none := c.Choose(now, req)
				if none != nil {
					return -1, none.RetryAt
				}

				return indexOf[got.AgentID], time.Time{}
			},
			report: func(taken time.Time, i, inFlight, limit int, cold bool) {
				c.ApplyReport(routing.ReportReceived{
					AgentID: current[i].AgentID, Incarnation: current[i].Incarnation, TakenAt: taken,
					InFlight: inFlight, Limit: limit, Cold: cold,
				})
			},
			credit: func(_ time.Time, i, slots int, ends time.Time) {
				c.ApplyCredit(routing.CreditChanged{AgentID: current[i].AgentID, Incarnation: current[i].Incarnation, Slots: slots, ExpiresAt: ends})
			},
			firstByte: func(_ time.Time, i int, wait time.Duration) {
				c.RecordFirstByte(routing.FirstByte{AgentID: current[i].AgentID, Incarnation: current[i].Incarnation, Wait: wait})
			},
			finish: func(now time.Time, i int, ev routing.Finished) {
				ev.AgentID, ev.Incarnation = current[i].AgentID, current[i].Incarnation
				c.Finish(now, ev)
			},
			setTargets:     change,
			capacity:       func(now time.Time) routing.Capacity { return c.Capacity(now, service) },
			creditRequests: c.CreditRequests,
			cacheEvent:     c.ApplyCacheEvent,
			unresponsive: func(now time.Time, i int) {
				c.RecordUnresponsive(now, routing.ConnectionUnresponsive{AgentID: current[i].AgentID, Incarnation: current[i].Incarnation})
			},
		}
	}
}
