package streams

import "time"

// planState is a plan in progress. Each decision uses up capacity of the destinations
// and time of the export link.
type planState struct {
	Planner

	now          time.Time
	target       DrainingTarget
	destinations []Destination
	linkFree     time.Time
}

// option is one possible decision about a stream, with its cost in seconds of stall.
// destIndex is the index of the destination, or -1 if there is none.
type option struct {
	Decision

	cost      float64
	destIndex int
}

// decide returns the cheapest option and reserves its capacity.
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

// better reports whether a is preferable to b. Options that meet the deadline come
// first, then cheaper ones. A stall above MaxStall is acceptable only if b misses the
// deadline.
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

// move returns the option of exporting and importing the KV cache. It has no
// destination if that is impossible.
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

// recompute returns the option of resuming from the text. It has no destination if that
// is impossible.
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

// finishedBy reports whether the stream will have finished on the draining target by
// at, when the export link becomes free for it.
func (p *planState) finishedBy(s Stream, at time.Time) bool {
	return !p.now.Add(timeFor(float64(s.Remaining), p.target.TokensPerSecond)).After(at)
}

// assignDestination sets the destination of o to the one with most free capacity among
// those that fit, if any.
func (p *planState) assignDestination(o option, fits func(*Destination) bool) option {
	for i := range p.destinations {
		d := &p.destinations[i]
		if d.Free > 0 && fits(d) && (o.destIndex < 0 || d.Free > p.destinations[o.destIndex].Free) {
			o.destIndex, o.To = i, d.AgentID
		}
	}

	return o
}

// timeFor returns the time to process n at a rate per second. For a rate of 0 it
// returns 24 hours, longer than any plan.
func timeFor(n, rate float64) time.Duration {
	if rate <= 0 {
		return 24 * time.Hour
	}

	return time.Duration(n / rate * float64(time.Second))
}
