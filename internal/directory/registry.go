package directory

import (
	"slices"
	"time"
)

// coldTolerance is how far the end of a cold start may move before entries are told
// again: beats carry the remaining time, which jitters with their own delay.
const coldTolerance = 300 * time.Millisecond

// republishInterval is how long after it was published an unchanged target is published
// again with its latest sequence. A target may alternate between control VMs; the
// one that it left calls it silent, and only a later word refutes that.
const republishInterval = 3 * time.Second

// retention is how long a target that is gone or silent is remembered. A beat
// held up on the way must not bring it back; it is longer than partitions last.
const retention = 5 * time.Minute

// Registry is what one control VM heard from targets. One goroutine at a time uses it.
type Registry struct {
	// AnnounceTimeout is how long a target may say nothing before it counts as silent.
	AnnounceTimeout time.Duration

	targets  map[string]*registeredTarget
	revision uint64
}

type registeredTarget struct {
	Target

	// lastAnnounced is when its last word came, revision when entries must be told of it.
	lastAnnounced time.Time
	published     time.Time
	revision      uint64
}

// Announce takes in a target's word and reports whether it changed something.
// A word that is older than one already heard changes nothing.
func (r *Registry) Announce(now time.Time, t Target) bool {
	r.init()

	known := r.targets[t.ID]

	switch {
	case known == nil:
	case known.State == Removed && t.StartTime <= known.StartTime:
		// Its last beats were overtaken by its farewell.
		return false
	case !supersedes(&t, &known.Target):
		if t.StartTime == known.StartTime && t.Sequence == known.Sequence {
			known.lastAnnounced = now
		}

		return false
	}

	r.removePreviousHolders(now, &t)

	if known != nil && known.State != Unresponsive && now.Sub(known.published) < republishInterval && equivalent(&known.Target, &t, coldTolerance) {
		cold := known.ColdUntil
		known.Target = t
		known.ColdUntil = cold
		known.lastAnnounced = now

		return false
	}

	r.revision++
	r.targets[t.ID] = &registeredTarget{Target: t, lastAnnounced: now, published: now, revision: r.revision}

	return true
}

// Restore takes in a target as it was known before this control VM restarted, with
// farewells. Its own next word goes before it.
func (r *Registry) Restore(now time.Time, t Target) {
	r.init()

	r.revision++
	r.targets[t.ID] = &registeredTarget{Target: t, lastAnnounced: now, published: now, revision: r.revision}
}

// removePreviousHolders marks as gone what held t's address before: addresses of targets that
// ended are used again, also by other services.
func (r *Registry) removePreviousHolders(now time.Time, t *Target) {
	for _, other := range r.targets {
		if other.ID != t.ID && other.Address == t.Address && other.State != Removed && other.StartTime < t.StartTime {
			r.setState(now, other, Removed)
		}
	}
}

// Leave takes in that a target ends. One that is not known is remembered too: its
// beats may still be on their way, or have gone to another control VM.
func (r *Registry) Leave(now time.Time, id string) {
	r.init()

	known := r.targets[id]
	if known == nil {
		known = &registeredTarget{Target: Target{ID: id}, lastAnnounced: now}
		r.targets[id] = known
	}

	r.setState(now, known, Removed)
}

// Tick marks silent targets and forgets old ones. It reports whether entries are
// to be told something.
func (r *Registry) Tick(now time.Time) bool {
	r.init()

	changed := false

	for id, t := range r.targets {
		switch age := now.Sub(t.lastAnnounced); {
		case age > retention:
			delete(r.targets, id)
		case age > r.AnnounceTimeout && (t.State == Ready || t.State == Draining):
			state := Unresponsive
			if t.State == Draining {
				state = Removed
			}

			r.setState(t.lastAnnounced, t, state)

			changed = true
		}
	}

	return changed
}

func (r *Registry) setState(lastAnnounced time.Time, t *registeredTarget, s State) {
	r.revision++
	t.State = s
	t.revision = r.revision
	t.lastAnnounced = lastAnnounced
}

// Revision grows with each change that entries are to be told.
func (r *Registry) Revision() uint64 { return r.revision }

// ChangedSince returns what changed after revision, in order.
func (r *Registry) ChangedSince(revision uint64) []Target {
	var changed []*registeredTarget

	for _, t := range r.targets {
		if t.revision > revision {
			changed = append(changed, t)
		}
	}

	slices.SortFunc(changed, func(a, b *registeredTarget) int { return int(a.revision) - int(b.revision) })

	out := make([]Target, 0, len(changed))
	for _, t := range changed {
		out = append(out, t.Target)
	}

	return out
}

func (r *Registry) init() {
	if r.targets == nil {
		r.targets = make(map[string]*registeredTarget)
	}
}
