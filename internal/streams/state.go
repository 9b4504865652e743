package streams

import "time"

// planState is one plan being made: places and the export link fill up as it goes.
type planState struct {
	Planner

	now          time.Time
	target       DrainingTarget
	destinations []Destination
	linkFree     time.Time
}

// option is one way for one stream, with its cost in seconds of stall.
type option struct {
	Decision

	cost      float64
	destIndex int
}

// decide takes the cheapest way, and its place.
func (p *planState) decide(s Stream) Decision {
	best := p.stay(s)

	for _, o := range []option{p.move(s), p.recompute(s)} {
		if o.destIndex >= 0 && p.better(o, best) {
			best = o
		}
	}

	if best.destIndex >= 0 {
		p.destinations[best.destIndex].Free--
	}

	if best.Kind == Move {
		p.linkFree = best.DoneAt
	}

	return best.Decision
}

// better reports whether a goes before b: what is gone in time first, then the
// cheaper one. A long stall is given only to one that would hold the stop up.
func (p *planState) better(a, b option) bool {
	if a.Overrun != b.Overrun {
		return b.Overrun
	}

	if !b.Overrun && a.Stall > p.MaxStall {
		return false
	}

	return a.cost < b.cost
}

func (p *planState) newOption(s Stream, kind Kind, startAt time.Time, duration time.Duration) option {
	doneAt := startAt.Add(duration)

	return option{
		destIndex: -1,
		Decision: Decision{
			StreamID: s.ID, Kind: kind, StartAt: startAt, DoneAt: doneAt,
			Overrun: !p.target.Deadline.IsZero() && doneAt.After(p.target.Deadline),
		},
		cost: p.DelayCost * doneAt.Sub(p.now).Seconds(),
	}
}

func (p *planState) stay(s Stream) option {
	return p.newOption(s, Stay, p.now, timeFor(float64(s.Remaining), p.target.TokensPerSecond))
}

// move is the way by export and import, or one without destination.
func (p *planState) move(s Stream) option {
	duration := p.HandoverTime + timeFor(float64(s.KVBytes), p.target.BytesPerSecond)

	o := p.newOption(s, Move, p.linkFree, duration)
	if !s.Exportable || p.target.BytesPerSecond <= 0 || p.finishedBy(s, o.StartAt) {
		return o
	}

	o.Stall = duration
	o.cost += duration.Seconds()

	return p.assignDestination(o, func(d *Destination) bool { return d.CanImport })
}

// recompute is the way by the text alone, or one without destination.
func (p *planState) recompute(s Stream) option {
	o := p.newOption(s, Recompute, p.now, p.HandoverTime)
	if !s.Resumable {
		return o
	}

	o = p.assignDestination(o, func(d *Destination) bool { return d.PrefillPerSecond > 0 })
	if o.destIndex < 0 {
		return o
	}

	prefill := timeFor(float64(s.Tokens), p.destinations[o.destIndex].PrefillPerSecond)
	o.Stall = p.HandoverTime + prefill
	o.cost += o.Stall.Seconds() + p.PrefillCost*prefill.Seconds()

	return o
}

// finishedBy reports whether the stream is done before its turn at the link comes.
func (p *planState) finishedBy(s Stream, at time.Time) bool {
	return !p.now.Add(timeFor(float64(s.Remaining), p.target.TokensPerSecond)).After(at)
}

// assignDestination gives o the fitting destination with most room.
func (p *planState) assignDestination(o option, fits func(*Destination) bool) option {
	for i := range p.destinations {
		d := &p.destinations[i]
		if d.Free > 0 && fits(d) && (o.destIndex < 0 || d.Free > p.destinations[o.destIndex].Free) {
			o.destIndex, o.To = i, d.AgentID
		}
	}

	return o
}

// timeFor is the time for n at a rate; a rate of 0 never ends, as far as plans go.
func timeFor(n, rate float64) time.Duration {
	if rate <= 0 {
		return 24 * time.Hour
	}

	return time.Duration(n / rate * float64(time.Second))
}
