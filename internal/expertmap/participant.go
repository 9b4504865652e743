package expertmap

import (
	"time"
)

// Participant is the core at one rank's agent. Set the exported fields before
// the first event. One goroutine uses it. The shell carries out ActionHold,
// ActionRun and ActionDrop in the order given; an ActionLoad may take its time beside them.
type Participant struct {
	Rank int
	// Incarnation is fresh and higher at each start of the agent, with its low
	// 32 bits zero: EngineRestarted counts there.
	Incarnation uint64
	// StatusInterval is how often the rank reports without being asked.
	StatusInterval time.Duration
	// PeerQueryInterval is how long the rank waits for the end of a switch that it
	// promised before it asks its peers.
	PeerQueryInterval time.Duration

	// confirmed says that record is good enough to run by.
	confirmed bool
	record    Record
	// highestFence is the highest fencing number of an accepted order.
	highestFence Fence
	joined       Step
	// loaded are the versions that the engine holds, wanted those asked for.
	loaded, loading versionSet
	// promise is the switch whose hold the engine was asked for.
	promise promise
	refused Fence
	// engineActivation is the ruling that the engine was given last.
	engineActivation Activation
	nextStatus       time.Time
	nextPeerQuery    time.Time
}

// promise is a hold that the engine stands by once Held.
type promise struct {
	Fence   Fence
	Version Version
	Step    Step
	Held    bool
}

// matches reports whether r came from the switch that was promised.
func (m promise) matches(r Activation) bool {
	return m.Held && r.Fence == m.Fence && r.Version == m.Version && r.Step == m.Step
}

// Receive takes in an order.
func (p *Participant) Receive(now time.Time, o Order) []Action {
	if o.Rank != p.Rank || o.Incarnation != p.Incarnation {
		// Meant for an earlier life of this rank, which knew other things.
		return p.report(now, nil)
	}
	// A lower number comes from a leader that has been replaced or from a
	// message that was under way for long. Engines that ignore fencing numbers
	// would obey it, so it ends here.
	if o.Fence < p.highestFence {
		return p.report(now, nil)
	}
	p.highestFence = o.Fence

	var out []Action
	if o.Kind == OrderConfirm {
		out = p.confirm(o, out)
	}
	out = p.mergeRecord(o.Record, out)
	if !p.confirmed {
		return p.report(now, out)
	}
	switch o.Kind {
	case OrderStage:
		out = p.stage(o, out)
	case OrderPrepare:
		out = p.prepare(now, o, out)
	case OrderInform, OrderConfirm:
	}

	return p.report(now, out)
}

// confirm lets a rank that does not know which map rules run by the order's
// record. The record is as new as the confirming entry, which was proposed
// after this incarnation asked; no switch can have passed this rank since.
func (p *Participant) confirm(o Order, out []Action) []Action {
	if p.confirmed || o.Record.AsOf < o.Fence || o.Record.Open.Fence != 0 {
		return out
	}
	p.confirmed, p.record = true, o.Record

	return p.run(out)
}

// run hands the ruling to the engine, which keeps no other maps.
func (p *Participant) run(out []Action) []Action {
	p.engineActivation = p.record.Current
	p.loading.retain(p.engineActivation.Version, p.engineActivation.Previous)
	p.loaded.retain(p.engineActivation.Version, p.engineActivation.Previous)

	return append(out, Action{Kind: ActionRun, Fence: p.highestFence, Activation: p.engineActivation})
}

// mergeRecord takes in a newer record, and with it the end of a promised switch.
func (p *Participant) mergeRecord(r Record, out []Action) []Action {
	if !p.confirmed || r.AsOf <= p.record.AsOf {
		return out
	}
	promised := p.promise
	if r.Current != p.record.Current && !promised.matches(r.Current) {
		// No switch commits without this rank's promise. That one did means that
		// this rank's memory is not to be trusted: it must not go on by it.
		p.confirmed, p.promise = false, promise{}

		return append(out, Action{Kind: ActionHold, Fence: p.highestFence})
	}
	p.record = r
	if promised.Fence == 0 || !r.decided(promised.Fence) {
		return out
	}
	p.promise = promise{}

	return p.run(out)
}

func (p *Participant) stage(o Order, out []Action) []Action {
	if p.record.Open.Fence != o.Fence || p.loaded.has(o.Version) || p.loading.has(o.Version) {
		return out
	}

	return p.load(o.Version, out)
}

func (p *Participant) load(v Version, out []Action) []Action {
	p.loading.add(v)

	return append(out, Action{Kind: ActionLoad, Fence: p.highestFence, Version: v})
}

func (p *Participant) drop(v Version, out []Action) []Action {
	p.loading.remove(v)
	if !p.loaded.has(v) {
		return out
	}
	p.loaded.remove(v)

	return append(out, Action{Kind: ActionDrop, Version: v})
}

// prepare asks the engine to hold at the switch's step.
func (p *Participant) prepare(now time.Time, o Order, out []Action) []Action {
	open := p.record.Open
	if open.Fence != o.Fence || p.promise.Fence == o.Fence || p.refused == o.Fence {
		return out
	}
	// Until the engine has begun a step by the present ruling, Before is still
	// in use, and a second switch would make it forgotten.
	if !p.loaded.has(open.Version) || p.joined < p.record.Current.Step {
		return out
	}
	p.promise = promise{Fence: o.Fence, Version: open.Version, Step: o.Step}
	p.nextPeerQuery = now.Add(p.PeerQueryInterval)

	return append(out, Action{Kind: ActionHold, Fence: o.Fence, Step: o.Step})
}

// Held takes in whether the engine holds for the switch f. An engine that has
// already begun the step cannot, and the switch is refused.
func (p *Participant) Held(now time.Time, f Fence, ok bool) []Action {
	if p.promise.Fence != f || f == 0 {
		return nil
	}
	if ok {
		p.promise.Held = true
	} else {
		p.promise, p.refused = promise{}, f
	}

	return p.report(now, nil)
}

// Loaded takes in whether the engine has fetched v.
func (p *Participant) Loaded(now time.Time, v Version, ok bool) []Action {
	if !p.loading.has(v) {
		// It was dropped while it was being fetched.
		if ok && !p.loaded.has(v) {
			return []Action{{Kind: ActionDrop, Version: v}}
		}

		return nil
	}
	p.loading.remove(v)
	if ok {
		p.loaded.add(v)
	}

	return p.report(now, nil)
}

// Missing takes in that the engine's next step needs v, which it has not loaded.
func (p *Participant) Missing(v Version) []Action {
	p.loaded.remove(v)
	if !p.confirmed || p.loading.has(v) {
		return nil
	}

	return p.load(v, nil)
}

// Joined takes in that the engine has begun step s with the map that rules there.
func (p *Participant) Joined(s Step) []Action {
	p.joined = max(p.joined, s)
	if !p.confirmed {
		return nil
	}
	p.loaded.add(p.engineActivation.VersionAt(s))
	if before := p.engineActivation.Previous; before != 0 && s >= p.engineActivation.Step && before != p.engineActivation.Version {
		return p.drop(before, nil)
	}

	return nil
}

// EngineRestarted takes in that the engine has lost its maps and standing
// orders. The rank no longer knows which map rules and asks as a new incarnation.
func (p *Participant) EngineRestarted(now time.Time) []Action {
	*p = Participant{
		Rank: p.Rank, Incarnation: p.Incarnation + 1,
		StatusInterval: p.StatusInterval, PeerQueryInterval: p.PeerQueryInterval,
	}

	return p.report(now, nil)
}

// HandlePeerQuery answers a peer that waits for the end of a switch.
func (p *Participant) HandlePeerQuery(peer int) []Action {
	if !p.confirmed {
		return nil
	}

	return []Action{{Kind: ActionAnswerPeer, Peer: peer, Record: p.record}}
}

// HandlePeerRecord takes in a peer's answer. It may end a promised switch, but never tells
// a rank that does not know which map rules: the peer's word may be old.
func (p *Participant) HandlePeerRecord(now time.Time, r Record) []Action {
	if out := p.mergeRecord(r, nil); out != nil {
		return p.report(now, out)
	}

	return nil
}

// Tick reports when it is time, and asks the peers while a promised switch stays open.
func (p *Participant) Tick(now time.Time) []Action {
	var out []Action
	if p.promise.Fence != 0 && !now.Before(p.nextPeerQuery) {
		p.nextPeerQuery = now.Add(p.PeerQueryInterval)
		out = append(out, Action{Kind: ActionQueryPeers, Fence: p.promise.Fence})
	}
	if now.Before(p.nextStatus) {
		return out
	}

	return p.report(now, out)
}

// report adds the rank's status to out.
func (p *Participant) report(now time.Time, out []Action) []Action {
	p.nextStatus = now.Add(p.StatusInterval)
	s := Status{
		Rank: p.Rank, Incarnation: p.Incarnation, Confirmed: p.confirmed,
		Joined: p.joined, Refused: p.refused, AsOf: p.record.AsOf, HighestFence: p.highestFence,
	}
	if open := p.record.Open; open.Fence != 0 && p.loaded.has(open.Version) {
		s.Staged = open.Fence
	}
	if p.promise.Held {
		s.Promised = p.promise.Fence
	}

	return append(out, Action{Kind: ActionStatus, Status: s})
}
