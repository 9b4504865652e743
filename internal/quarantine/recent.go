package quarantine

import "time"

const (
	// recentPeriod is the time after which the older half of the recent sound parts is dropped.
	recentPeriod = 30 * time.Second
	// maxRecentParts bounds the parts of one period. Parts that many requests share, and requests that
	// many callers send, are among the first of each period.
	maxRecentParts = 8192
	// maxReleasedParts bounds the parts that were held and released.
	maxReleasedParts = 256
)

// recentParts holds the parts that became sound in the last period or two.
type recentParts struct {
	current, previous map[Part]struct{}
	rotateAt          time.Time
	// released holds parts that were held. One sound answer does not clear them for a time, since
	// they may end targets with some of their requests only.
	released map[Part]struct{}
}

func (r *recentParts) rotate(now time.Time) {
	switch {
	case r.rotateAt.IsZero() || r.rotateAt.Sub(now) > recentPeriod:
		r.rotateAt = now.Add(recentPeriod)
	case now.Before(r.rotateAt):
	case now.Before(r.rotateAt.Add(recentPeriod)):
		r.current, r.previous = nil, r.current
		r.rotateAt = now.Add(recentPeriod)
	default:
		r.current, r.previous = nil, nil
		r.rotateAt = now.Add(recentPeriod)
	}
}

func (r *recentParts) add(p Part) {
	if _, ok := r.current[p]; ok {
		return
	}

	if _, ok := r.released[p]; ok || len(r.current) >= maxRecentParts {
		return
	}

	if r.current == nil {
		r.current = make(map[Part]struct{}, len(r.previous))
	}

	r.current[p] = struct{}{}
}

func (r *recentParts) contains(p Part) bool {
	_, ok := r.current[p]
	if !ok {
		_, ok = r.previous[p]
	}

	return ok
}

// release excludes a part that was held.
func (r *recentParts) release(p Part) {
	if r.released == nil || len(r.released) >= maxReleasedParts {
		r.released = make(map[Part]struct{})
	}

	r.released[p] = struct{}{}
	delete(r.current, p)
	delete(r.previous, p)
}

// MarkSound records that the answer to a request with these parts began properly. The parts are
// sound in all ends known so far, and in those that are heard of within the next 30 s at least. It
// reports whether other processes need that at once, because one of the parts is held.
func (q *Quarantine) MarkSound(parts ...Part) bool {
	return q.markSound(&q.recent, parts[:min(len(parts), MaxParts)])
}

// MarkAnswered records that the answer to a request with these parts, which belong to it alone, was
// whole. Otherwise it does what MarkSound does.
func (q *Quarantine) MarkAnswered(parts ...Part) bool {
	return q.markSound(&q.answered, parts[:min(len(parts), maxRequestParts)])
}

func (q *Quarantine) markSound(recent *recentParts, parts []Part) bool {
	for _, p := range parts {
		if _, ok := q.held[p]; ok {
			recent.release(p)
		}

		recent.add(p)
	}

	return q.Evidence.MarkSound(parts...)
}

func (q *Quarantine) rotateRecent(now time.Time) {
	q.recent.rotate(now)
	q.answered.rotate(now)
}

// Record adds an end that this entry has noticed. It reports whether that changed anything.
func (q *Quarantine) Record(now time.Time, end End) bool { return q.Merge(now, []End{end}) }

// Merge adds ends that control VMs reported, and marks the parts in them that were sound recently. It
// reports whether that changed anything that other processes may lack.
func (q *Quarantine) Merge(now time.Time, ends []End) bool {
	q.rotateRecent(now)

	before := q.held

	if !q.Evidence.Merge(now, ends) {
		return false
	}

	var sound []Part

	for p := range q.unsound {
		if _, ok := before[p]; !ok && (q.recent.contains(p) || q.answered.contains(p)) {
			sound = append(sound, p)
		}
	}

	q.Evidence.MarkSound(sound...)

	return true
}
