package directory

import "time"

// reportedDrainingRetention is how long a draining target of which another control VM has told counts as such without an
// announcement to this one. It exceeds the time for which targets drain, as its end would also end the target for entries.
const reportedDrainingRetention = 2 * time.Minute

// RecordDraining records the announcement of a draining target that another control VM has received. The target is published
// like one that announces itself here.
func (r *Registry) RecordDraining(now time.Time, t Target) {
	registeredAt := t.RegisteredAt

	r.Announce(now, t)

	known := r.targets[t.ID]
	if known == nil || known.StartTime != t.StartTime || known.Sequence != t.Sequence || known.State != Draining {
		return // It has ended, or a later announcement is known.
	}

	known.RegisteredAt = earlierKnown(known.RegisteredAt, registeredAt)
	known.drainingReported = true
}

// UnsharedDraining returns a target that is draining, unless enough other control VMs know of it; nil otherwise.
func (r *Registry) UnsharedDraining(id string) *Target {
	known := r.targets[id]
	if known == nil || known.State != Draining || known.drainingShared {
		return nil
	}

	t := known.Target

	return &t
}

// SetDrainingShared records that enough control VMs know that an incarnation is draining.
func (r *Registry) SetDrainingShared(id string, startTime int64) {
	if known := r.targets[id]; known != nil && known.StartTime == startTime && known.State == Draining {
		known.drainingShared = true
	}
}
