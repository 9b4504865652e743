package directory

import (
	"slices"
	"time"
)

// coldSlack is how far the end of a cold start may move before entries are told
// again: beats carry the remaining time, which jitters with their own delay.
const coldSlack = 300 * time.Millisecond

// refreshAfter is how long after it was published an unchanged target is published
// again with its latest sequence. A target may alternate between control VMs; the
// one that it left calls it silent, and only a later word refutes that.
const refreshAfter = 3 * time.Second

// forgetAfter is how long a target that is gone or silent is remembered. A beat
// held up on the way must not bring it back; it is longer than partitions last.
const forgetAfter = 5 * time.Minute

// Registry is what one control VM heard from targets. One goroutine at a time uses it.
type Registry struct {
	// AnnounceTimeout is how long a target may say nothing before it counts as silent.
	AnnounceTimeout time.Duration

	targets  map[string]*heardTarget
	revision uint64
}

type heardTarget struct {
	Target

	// heard is when its last word came, revision when entries must be told of it.
	heard     time.Time
	published time.Time
	revision  uint64
}

// Announce takes in a target's word and reports whether it changed something.
// A word that is older than one already heard changes nothing.
func (h *Registry) Announce(now time.Time, t Target) bool {
	h.init()

	known := h.targets[t.ID]

	switch {
	case known == nil:
	case known.State == Removed && t.StartTime <= known.StartTime:
		// Its last beats were overtaken by its farewell.
		return false
	case !newer(&t, &known.Target):
		if t.StartTime == known.StartTime && t.Sequence == known.Sequence {
			known.heard = now
		}

		return false
	}

	h.supersede(now, &t)

	if known != nil && known.State != Unresponsive && now.Sub(known.published) < refreshAfter && sameWord(&known.Target, &t, coldSlack) {
		cold := known.ColdUntil
		known.Target = t
		known.ColdUntil = cold
		known.heard = now

		return false
	}

	h.revision++
	h.targets[t.ID] = &heardTarget{Target: t, heard: now, published: now, revision: h.revision}

	return true
}

// Restore takes in a target as it was known before this control VM restarted, with
// farewells. Its own next word goes before it.
func (h *Registry) Restore(now time.Time, t Target) {
	h.init()

	h.revision++
	h.targets[t.ID] = &heardTarget{Target: t, heard: now, published: now, revision: h.revision}
}

// supersede marks as gone what held t's address before: addresses of targets that
// ended are used again, also by other services.
func (h *Registry) supersede(now time.Time, t *Target) {
	for _, other := range h.targets {
		if other.ID != t.ID && other.Address == t.Address && other.State != Removed && other.StartTime < t.StartTime {
			h.mark(now, other, Removed)
		}
	}
}

// Leave takes in that a target ends. One that is not known is remembered too: its
// beats may still be on their way, or have gone to another control VM.
func (h *Registry) Leave(now time.Time, id string) {
	h.init()

	known := h.targets[id]
	if known == nil {
		known = &heardTarget{Target: Target{ID: id}, heard: now}
		h.targets[id] = known
	}

	h.mark(now, known, Removed)
}

// Tick marks silent targets and forgets old ones. It reports whether entries are
// to be told something.
func (h *Registry) Tick(now time.Time) bool {
	h.init()

	changed := false

	for id, t := range h.targets {
		switch silence := now.Sub(t.heard); {
		case silence > forgetAfter:
			delete(h.targets, id)
		case silence > h.AnnounceTimeout && (t.State == Ready || t.State == Draining):
			state := Unresponsive
			if t.State == Draining {
				state = Removed
			}

			h.mark(t.heard, t, state)

			changed = true
		}
	}

	return changed
}

func (h *Registry) mark(heard time.Time, t *heardTarget, s State) {
	h.revision++
	t.State = s
	t.revision = h.revision
	t.heard = heard
}

// Revision grows with each change that entries are to be told.
func (h *Registry) Revision() uint64 { return h.revision }

// ChangedSince returns what changed after revision, in order.
func (h *Registry) ChangedSince(revision uint64) []Target {
	var changed []*heardTarget

	for _, t := range h.targets {
		if t.revision > revision {
			changed = append(changed, t)
		}
	}

	slices.SortFunc(changed, func(a, b *heardTarget) int { return int(a.revision) - int(b.revision) })

	out := make([]Target, 0, len(changed))
	for _, t := range changed {
		out = append(out, t.Target)
	}

	return out
}

func (h *Registry) init() {
	if h.targets == nil {
		h.targets = make(map[string]*heardTarget)
	}
}
