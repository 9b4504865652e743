package expertmap

import (
	"time"
)

// Participant represents one rank in the map switches and runs in the rank's
// agent. Set the exported fields before the first event. A Participant is not
// safe for concurrent use. The caller carries out ActionHold, ActionRun and
// ActionDrop in order; an ActionLoad may run concurrently.
type Participant struct {
	Rank int
	// Incarnation identifies a start of the agent and must be higher at each
	// start. Its low 32 bits must be zero: EngineRestarted counts there.
	Incarnation uint64
	// StatusInterval is the interval at which the rank reports its status without
	// an order.
	StatusInterval time.Duration
	// PeerQueryInterval is how long the rank waits for the decision on a switch
	// that it promised before it queries its peers, and the interval at which it
	// repeats the query.
	PeerQueryInterval time.Duration

	// confirmed reports whether record may be used to run the engine.
	confirmed bool
	record    Record
	// highestFence is the highest fencing number of an accepted order.
	highestFence Fence
	joined       Step
	// loaded are the versions that the engine has loaded, loading those requested
	// from it.
	loaded, loading versionSet
	// promise is the switch for which the engine was asked to hold.
	promise promise
	refused Fence
	// engineActivation is the activation last sent to the engine.
	engineActivation Activation
	nextStatus       time.Time
	nextPeerQuery    time.Time
}

// promise is a hold requested for a switch. It is in force once Held is set.
type promise struct {
	Fence   Fence
	Version Version
	Step    Step
	Held    bool
}

// matches reports whether a is the result of the promised switch.
func (m promise) matches(a Activation) bool {
	return m.Held && a.Fence == m.Fence && a.Version == m.Version && a.Step == m.Step
}

// Receive processes an order.
func (p *Participant) Receive(now time.Time, o Order) []Action {
	if o.Rank != p.Rank || o.Incarnation != p.Incarnation {
		// The order is for an earlier incarnation of this rank, whose state
		// differed.
		return p.report(now, nil)
	}
	// A lower number comes from a leader that has been replaced or from a message
	// that was delayed for long. Engines that ignore fencing numbers would obey
	// the order, so it is rejected here.
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

// confirm adopts the order's record if this rank has no confirmed one. The
// record includes the confirming entry, which was proposed after this
// incarnation asked, so no switch can have been decided without this rank since
// then.
func (p *Participant) confirm(o Order, out []Action) []Action {
	if p.confirmed || o.Record.AsOf < o.Fence || o.Record.Open.Fence != 0 {
		return out
	}
	p.confirmed, p.record = true, o.Record

	return p.run(out)
}

// run makes the engine use the current activation. The engine then frees all
// other maps.
func (p *Participant) run(out []Action) []Action {
	p.engineActivation = p.record.Current
	p.loading.retain(p.engineActivation.Version, p.engineActivation.Previous)
	p.loaded.retain(p.engineActivation.Version, p.engineActivation.Previous)

	return append(out, Action{Kind: ActionRun, Fence: p.highestFence, Activation: p.engineActivation})
}

// mergeRecord adopts a newer record, which may decide a promised switch.
func (p *Participant) mergeRecord(r Record, out []Action) []Action {
	if !p.confirmed || r.AsOf <= p.record.AsOf {
		return out
	}
	promised := p.promise
	if r.Current != p.record.Current && !promised.matches(r.Current) {
		// No switch commits without this rank's promise. A commit without it means
		// that this rank's state is wrong, so the rank holds until the leader
		// confirms a record.
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
	// Until the engine has begun a step with the current map, it may still need
	// the previous one, which a second switch would drop.
	if !p.loaded.has(open.Version) || p.joined < p.record.Current.Step {
		return out
	}
	p.promise = promise{Fence: o.Fence, Version: open.Version, Step: o.Step}
	p.nextPeerQuery = now.Add(p.PeerQueryInterval)

	return append(out, Action{Kind: ActionHold, Fence: o.Fence, Step: o.Step})
}

// Held records whether the engine holds for the switch f. An engine that has
// already begun the step cannot hold, and the switch is refused.
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

// Loaded records whether the engine has loaded v.
func (p *Participant) Loaded(now time.Time, v Version, ok bool) []Action {
	if !p.loading.has(v) {
		// The version was dropped while it was loading.
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

// Missing records that the engine's next step needs v, which it has not loaded.
func (p *Participant) Missing(v Version) []Action {
	p.loaded.remove(v)
	if !p.confirmed || p.loading.has(v) {
		return nil
	}

	return p.load(v, nil)
}

// Joined records that the engine has begun step s with the map in force at that
// step.
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

// EngineRestarted records that the engine has lost its maps and its last Hold
// or Run. The rank no longer has a confirmed record and requests one as a new
// incarnation.
func (p *Participant) EngineRestarted(now time.Time) []Action {
	*p = Participant{
		Rank: p.Rank, Incarnation: p.Incarnation + 1,
		StatusInterval: p.StatusInterval, PeerQueryInterval: p.PeerQueryInterval,
	}

	return p.report(now, nil)
}

// HandlePeerQuery answers a peer that waits for the decision on a switch.
func (p *Participant) HandlePeerQuery(peer int) []Action {
	if !p.confirmed {
		return nil
	}

	return []Action{{Kind: ActionAnswerPeer, Peer: peer, Record: p.record}}
}

// HandlePeerRecord processes a peer's answer. The answer may decide a promised
// switch, but it never confirms the record of a rank that has none, because the
// peer's record may be outdated.
func (p *Participant) HandlePeerRecord(now time.Time, r Record) []Action {
	if out := p.mergeRecord(r, nil); out != nil {
		return p.report(now, out)
	}

	return nil
}

// Tick reports the status when it is due, and queries the peers while a
// promised switch is undecided.
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

// report appends the rank's status to out.
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
