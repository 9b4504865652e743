package directory

import (
	"slices"
	"time"
)

// coldTolerance is how far the end of a cold start may shift before the target is published
// again. Announcements carry the remaining time, which varies with their network delay.
const coldTolerance = 300 * time.Millisecond

// An unchanged target is published again with its latest sequence number after a while. A
// target may switch between control VMs: the previous one then publishes it as unresponsive,
// and only a later sequence number overrides that.
const (
	// minRepublishInterval is the shortest interval at which an unchanged target is published.
	minRepublishInterval = 3 * time.Second
	// republishSpacing is the mean time between two targets that all control VMs together
	// publish unchanged. It bounds what a large deployment sends to each process.
	republishSpacing = 30 * time.Millisecond
)

// retention is how long removed and unresponsive targets are kept, so that a delayed
// announcement does not bring them back. It exceeds the duration of partitions.
const retention = 5 * time.Minute

// Registry holds the targets that announced themselves to one control VM. It is not safe
// for concurrent use.
type Registry struct {
	// AnnounceTimeout is the time without an announcement after which a target is
	// unresponsive.
	AnnounceTimeout time.Duration
	// Registries is the number of control VMs among which the targets are divided; 0 means 1.
	Registries int
	// MaxTargets bounds the IDs of which HasRoom accepts new ones; 0 means no limit. Removed and unresponsive targets
	// count until they are dropped.
	MaxTargets int

	targets  map[string]*registeredTarget
	revision uint64
	// changed is the revision of the last change that entries need at once.
	changed uint64
	// peerIncarnations are the latest incarnations that other control VMs know, by ID.
	peerIncarnations     map[string]peerIncarnation
	incarnationsRevision uint64
}

type registeredTarget struct {
	Target

	// lastAnnounced is when the last announcement arrived, published when it was last
	// published, and revision the registry's revision at that change.
	lastAnnounced time.Time
	published     time.Time
	revision      uint64
	// incarnationRevision is the revision at which other control VMs needed to hear of the incarnation or its end.
	incarnationRevision uint64
	// sequenceStep is the smallest difference between the sequence numbers of two announcements
	// so far, 0 before the second one.
	sequenceStep uint64
	// drainingShared is set once enough control VMs know that the incarnation is draining, drainingReported if
	// this one has heard it last from another control VM.
	drainingShared, drainingReported bool
}

// Announce records an announcement and reports whether entries need it now. An announcement
// older than the recorded one is ignored. One that only repeats what entries know is published
// with the next answer to each of them.
func (r *Registry) Announce(now time.Time, t Target) bool {
	r.init()

	known := r.targets[t.ID]

	switch {
	case r.HasEnded(&t):
		// A delayed announcement that was sent before the target ended.
		return false
	case known == nil:
	case !supersedes(&t, &known.Target):
		if t.StartTime == known.StartTime && t.Sequence == known.Sequence {
			known.lastAnnounced = now
		}

		return false
	}

	t.inherit(now, known)
	r.removePreviousHolders(now, &t)

	unchanged := known != nil && known.State != Unresponsive && equivalent(&known.Target, &t, coldTolerance) &&
		!r.missedAnnouncements(now, known, &t)

	if known != nil {
		known.updateSequenceStep(&t)
	}

	if unchanged && !r.republishDue(now, known) {
		cold := known.ColdUntil
		known.Target = t
		known.ColdUntil = cold
		known.lastAnnounced = now
		known.drainingReported = false

		return false
	}

	r.revision++

	next := &registeredTarget{Target: t, lastAnnounced: now, published: now, revision: r.revision}
	if known != nil {
		next.sequenceStep, next.incarnationRevision = known.sequenceStep, known.incarnationRevision
	}

	if known == nil || known.StartTime != t.StartTime {
		r.updateIncarnation(next)
	} else {
		next.drainingShared = known.drainingShared && t.State == Draining
	}

	r.targets[t.ID] = next

	if !unchanged {
		r.changed = r.revision
	}

	return !unchanged
}

// HasRoom reports whether an ID is known or there is room for it.
func (r *Registry) HasRoom(id string) bool {
	return r.MaxTargets <= 0 || len(r.targets) < r.MaxTargets || r.targets[id] != nil
}

// HasRegistered reports whether the incarnation that sent an announcement is the one that is recorded.
func (r *Registry) HasRegistered(t *Target) bool {
	known := r.targets[t.ID]

	return known != nil && known.StartTime == t.StartTime
}

// inherit takes over what an announcement t does not say from what is known of its ID.
func (t *Target) inherit(now time.Time, known *registeredTarget) {
	t.RegisteredAt = now

	if known == nil {
		return
	}

	t.Removals = known.Removals

	if known.StartTime == t.StartTime {
		t.RegisteredAt = known.RegisteredAt

		return
	}

	for _, r := range t.Removals {
		if !t.RegisteredAt.After(r.At) {
			// It arrived after the removal; messages carry microseconds.
			t.RegisteredAt = r.At.Add(time.Microsecond)
		}
	}
}

// missedAnnouncements reports whether t has sent announcements since the known one that did not
// arrive here. Another control VM may have received them.
func (r *Registry) missedAnnouncements(now time.Time, known *registeredTarget, t *Target) bool {
	if now.Sub(known.lastAnnounced) >= r.AnnounceTimeout/2 {
		return true
	}

	return known.StartTime == t.StartTime && known.sequenceStep > 0 && t.Sequence-known.Sequence > known.sequenceStep
}

// updateSequenceStep records the sequence number of an announcement t that follows the known one.
func (known *registeredTarget) updateSequenceStep(t *Target) {
	if step := t.Sequence - known.Sequence; known.StartTime == t.StartTime && (known.sequenceStep == 0 || step < known.sequenceStep) {
		known.sequenceStep = step
	}
}

// republishDue reports whether an unchanged target is published again.
func (r *Registry) republishDue(now time.Time, known *registeredTarget) bool {
	interval := max(minRepublishInterval, time.Duration(len(r.targets)*max(1, r.Registries))*republishSpacing)

	return now.Sub(known.published) >= interval
}

// Restore adds a target, possibly a removed one, that was saved before this control VM
// restarted. The target's next announcement replaces it.
func (r *Registry) Restore(now time.Time, t Target) {
	r.init()

	r.revision++
	r.changed = r.revision

	restored := &registeredTarget{Target: t, lastAnnounced: now, published: now, revision: r.revision}
	r.targets[t.ID] = restored
	r.updateIncarnation(restored)
}

// removePreviousHolders marks earlier targets with t's address as removed. Addresses of
// ended targets are reused, also by targets of other services.
func (r *Registry) removePreviousHolders(now time.Time, t *Target) {
	for _, other := range r.targets {
		if other.ID != t.ID && other.Address == t.Address && other.State != Removed && other.StartTime < t.StartTime {
			r.setState(now, other, Removed)
		}
	}
}

// Leave records that a target has ended, with a removal of the given key. It returns the start time of the latest
// incarnation that it ends, zero if none is known.
func (r *Registry) Leave(now time.Time, id string, removal uint64) (startTime int64) {
	latest, _ := r.Incarnation(id)
	r.RecordRemoval(now, id, removal, latest.StartTime)

	return latest.StartTime
}

// RecordRemoval records a removal that ends the incarnations up to startTime, which is zero if none is known. An
// unknown target is recorded too: its announcements may be delayed, or may have gone to another control VM.
func (r *Registry) RecordRemoval(now time.Time, id string, removal uint64, startTime int64) {
	known := r.record(now, id)

	switch {
	case startTime >= known.StartTime:
		known.addRemoval(Removal{Key: removal, At: now})
		r.endThrough(now, known, startTime)
	case startTime == 0:
		// The removal ends this incarnation if it had registered before, which entries can tell by the earliest report.
		known.addRemoval(Removal{Key: removal, At: now})
		r.setState(known.lastAnnounced, known, known.State)
	default:
		// This incarnation has started since, and the report of the removal is late. If it had registered before, but
		// was known nowhere else, entries tell by the report of the VM that acknowledged the removal.
	}
}

// record returns what is known of an ID. An unknown one is recorded as removed.
func (r *Registry) record(now time.Time, id string) *registeredTarget {
	r.init()

	known := r.targets[id]
	if known == nil {
		known = &registeredTarget{Target: Target{ID: id, State: Removed}, lastAnnounced: now}
		r.targets[id] = known
	}

	return known
}

// Tick marks targets with missing announcements: ready ones as unresponsive, draining ones
// as removed. It drops targets after the retention time. It reports whether entries need an
// update.
func (r *Registry) Tick(now time.Time) bool {
	r.init()

	changed := false

	for id, t := range r.targets {
		if len(t.Removals) > 0 && now.Sub(t.Removals[0].At) > retention {
			t.Removals = t.Removals[1:]
		}

		switch age := now.Sub(t.lastAnnounced); {
		case age > retention:
			delete(r.targets, id)
		case t.drainingReported && age <= reportedDrainingRetention:
			// The target announces itself to another control VM.
		case age > r.AnnounceTimeout && (t.State == Ready || t.State == Draining):
			state := Unresponsive
			if t.State == Draining {
				state = Removed
			}

			r.setState(t.lastAnnounced, t, state)

			changed = true
		}
	}

	r.expireIncarnations(now)

	return changed
}

func (r *Registry) setState(lastAnnounced time.Time, t *registeredTarget, s State) {
	r.revision++
	r.changed = r.revision
	t.State = s
	t.revision = r.revision
	t.lastAnnounced = lastAnnounced

	if s == Removed {
		r.updateIncarnation(t)
	}
}

// Revision returns the current revision. It increases with each target that is published.
func (r *Registry) Revision() uint64 { return r.revision }

// Changed returns the revision of the last change that entries need at once.
func (r *Registry) Changed() uint64 { return r.changed }

// ChangedSince returns the targets that changed after revision, in the order of their
// changes.
func (r *Registry) ChangedSince(revision uint64) []Target {
	if revision >= r.revision {
		return nil
	}

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
		r.peerIncarnations = make(map[string]peerIncarnation)
	}
}
