package streams

import "time"

// round is one plan being made: places and the export link fill up as it goes.
type round struct {
	Planner

	now      time.Time
	leaving  DrainingTarget
	to       []Destination
	linkFree time.Time
}

// option is one way for one stream, with its cost in seconds of stall.
type option struct {
	Decision

	cost float64
	dest int
}

// decide takes the cheapest way, and its place.
func (r *round) decide(s Stream) Decision {
	best := r.stay(s)

	for _, o := range []option{r.move(s), r.recompute(s)} {
		if o.dest >= 0 && r.better(o, best) {
			best = o
		}
	}

	if best.dest >= 0 {
		r.to[best.dest].Free--
	}

	if best.Kind == Move {
		r.linkFree = best.DoneAt
	}

	return best.Decision
}

// better reports whether a goes before b: what is gone in time first, then the
// cheaper one. A long stall is given only to one that would hold the stop up.
func (r *round) better(a, b option) bool {
	if a.Overrun != b.Overrun {
		return b.Overrun
	}

	if !b.Overrun && a.Stall > r.MaxStall {
		return false
	}

	return a.cost < b.cost
}

func (r *round) option(s Stream, kind Kind, begin time.Time, took time.Duration) option {
	gone := begin.Add(took)

	return option{
		dest: -1,
		Decision: Decision{
			StreamID: s.ID, Kind: kind, StartAt: begin, DoneAt: gone,
			Overrun: !r.leaving.Deadline.IsZero() && gone.After(r.leaving.Deadline),
		},
		cost: r.DelayCost * gone.Sub(r.now).Seconds(),
	}
}

func (r *round) stay(s Stream) option {
	return r.option(s, Stay, r.now, seconds(float64(s.Remaining), r.leaving.TokensPerSecond))
}

// move is the way by export and import, or one without destination.
func (r *round) move(s Stream) option {
	took := r.HandoverTime + seconds(float64(s.KVBytes), r.leaving.BytesPerSecond)

	o := r.option(s, Move, r.linkFree, took)
	if !s.Exportable || r.leaving.BytesPerSecond <= 0 || r.finished(s, o.StartAt) {
		return o
	}

	o.Stall = took
	o.cost += took.Seconds()

	return r.place(o, func(d *Destination) bool { return d.CanImport })
}

// recompute is the way by the text alone, or one without destination.
func (r *round) recompute(s Stream) option {
	o := r.option(s, Recompute, r.now, r.HandoverTime)
	if !s.Resumable {
		return o
	}

	o = r.place(o, func(d *Destination) bool { return d.PrefillPerSecond > 0 })
	if o.dest < 0 {
		return o
	}

	prefill := seconds(float64(s.Tokens), r.to[o.dest].PrefillPerSecond)
	o.Stall = r.HandoverTime + prefill
	o.cost += o.Stall.Seconds() + r.PrefillCost*prefill.Seconds()

	return o
}

// finished reports whether the stream is done before its turn at the link comes.
func (r *round) finished(s Stream, at time.Time) bool {
	return !r.now.Add(seconds(float64(s.Remaining), r.leaving.TokensPerSecond)).After(at)
}

// place gives o the fitting destination with most room.
func (r *round) place(o option, fits func(*Destination) bool) option {
	for i := range r.to {
		d := &r.to[i]
		if d.Free > 0 && fits(d) && (o.dest < 0 || d.Free > r.to[o.dest].Free) {
			o.dest, o.To = i, d.AgentID
		}
	}

	return o
}

// seconds is the time for n at a rate; a rate of 0 never ends, as far as plans go.
func seconds(n, rate float64) time.Duration {
	if rate <= 0 {
		return 24 * time.Hour
	}

	return time.Duration(n / rate * float64(time.Second))
}
