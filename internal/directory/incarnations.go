package directory

import "time"

// maxPeerIncarnations bounds the incarnations that are known from other control VMs.
const maxPeerIncarnations = 1 << 14

// Incarnation is the latest incarnation of a target that a control VM knows.
type Incarnation struct {
	ID        string
	StartTime int64
	// Removed is set once it has ended.
	Removed bool
}

// peerIncarnation is an incarnation that another control VM knows.
type peerIncarnation struct {
	Incarnation

	heardAt time.Time
}

// supersedes reports whether a says more than b about the same ID.
func (a Incarnation) supersedes(b Incarnation) bool {
	return a.StartTime > b.StartTime || a.StartTime == b.StartTime && a.Removed && !b.Removed
}

// HasEnded reports whether the incarnation that sent an announcement is known to have ended, or to have been
// followed by a later one at another control VM.
func (r *Registry) HasEnded(t *Target) bool {
	if known := r.targets[t.ID]; known != nil && known.State == Removed && t.StartTime <= known.StartTime {
		return true
	}

	peer, ok := r.peerIncarnations[t.ID]

	return ok && (t.StartTime < peer.StartTime || t.StartTime == peer.StartTime && peer.Removed)
}

// MergeIncarnations records incarnations that another control VM knows, except those with a start time that no target
// has, which would hold back their owners. They are not published to entries, as
// only the VM that receives their announcements knows whether they are responsive.
func (r *Registry) MergeIncarnations(now time.Time, incarnations []Incarnation) {
	r.init()

	for _, in := range incarnations {
		peer, ok := r.peerIncarnations[in.ID]

		switch {
		case in.StartTime < 0 || in.StartTime > maxCounter:
			continue
		case !ok && len(r.peerIncarnations) >= maxPeerIncarnations:
			continue
		case !ok || in.supersedes(peer.Incarnation):
			peer.Incarnation = in
			r.incarnationsRevision++
		}

		if peer.StartTime == in.StartTime {
			peer.heardAt = now
		}

		r.peerIncarnations[in.ID] = peer

		if known := r.targets[in.ID]; known != nil && in.Removed && in.supersedes(known.incarnation()) {
			r.endThrough(now, known, in.StartTime)
		}
	}
}

// IncarnationsRevision returns the current revision of the incarnations that this control VM knows.
func (r *Registry) IncarnationsRevision() uint64 { return r.incarnationsRevision }

// Incarnations returns the incarnations that registered here and changed after a revision, and the current revision.
func (r *Registry) Incarnations(since uint64) ([]Incarnation, uint64) {
	var out []Incarnation

	for _, t := range r.targets {
		if t.incarnationRevision > since {
			out = append(out, t.incarnation())
		}
	}

	return out, r.incarnationsRevision
}

// AllIncarnations returns the latest incarnation of each target that this control VM knows.
func (r *Registry) AllIncarnations() []Incarnation {
	out := r.PeerIncarnations()

	for i := range out {
		out[i], _ = r.Incarnation(out[i].ID)
	}

	for id, t := range r.targets {
		if _, ok := r.peerIncarnations[id]; !ok {
			out = append(out, t.incarnation())
		}
	}

	return out
}

// Incarnation returns the latest incarnation of a target that this control VM knows.
func (r *Registry) Incarnation(id string) (latest Incarnation, ok bool) {
	peer, ok := r.peerIncarnations[id]
	if t := r.targets[id]; t != nil && (!ok || t.incarnation().supersedes(peer.Incarnation)) {
		return t.incarnation(), true
	}

	return peer.Incarnation, ok
}

// PeerIncarnations returns the incarnations that are known from other control VMs.
func (r *Registry) PeerIncarnations() []Incarnation {
	out := make([]Incarnation, 0, len(r.peerIncarnations))
	for _, peer := range r.peerIncarnations {
		out = append(out, peer.Incarnation)
	}

	return out
}

func (t *registeredTarget) incarnation() Incarnation {
	return Incarnation{ID: t.ID, StartTime: t.StartTime, Removed: t.State == Removed}
}

// endThrough records that the incarnations up to startTime have ended.
func (r *Registry) endThrough(now time.Time, known *registeredTarget, startTime int64) {
	if startTime > known.StartTime {
		known.Target = Target{ID: known.ID, StartTime: startTime, Removals: known.Removals}
	}

	r.setState(now, known, Removed)
}

// updateIncarnation records that other control VMs need to hear of an incarnation or its end.
func (r *Registry) updateIncarnation(t *registeredTarget) {
	r.incarnationsRevision++
	t.incarnationRevision = r.incarnationsRevision
}

func (r *Registry) expireIncarnations(now time.Time) {
	for id, peer := range r.peerIncarnations {
		if now.Sub(peer.heardAt) > retention {
			delete(r.peerIncarnations, id)
		}
	}
}
