package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleygate/parsleygate/internal/shares"
)

// Evidence is a set of ends of targets. Sets that several processes hold may be merged in any
// order and any number of times. It is not safe for concurrent use. The zero value is empty.
type Evidence struct {
	ends map[endKey]*endState
	// revision grows with each change, urgent is the revision of the last change that other
	// processes need at once.
	revision, urgent uint64
	// held is computed from ends unless stale is set. unsound counts the ends in which a part is
	// not sound, which may have been dropped since.
	held    map[Part]Hold
	unsound map[Part]int
	stale   bool
	// nextExpiry is when the next end expires, latest the time of the latest end.
	nextExpiry time.Time
	latest     time.Time
}

type endKey struct {
	target    string
	startTime int64
}

type endState struct {
	key   endKey
	group string
	at    time.Time
	// candidates are sorted by part.
	candidates []candidateState
	revision   uint64
	// explained is set if a held part is the likely cause of the end.
	explained bool
	// soundUntil is when an end expires whose candidates are all sound; zero for other ends.
	soundUntil time.Time
}

// candidateState is a Candidate with the time between sending and the end instead of SentAt. The
// time of an end becomes later with each process that passes it on, and the difference does not,
// so that merging the latest SentAt comes to rest.
type candidateState struct {
	part  Part
	depth int
	lead  time.Duration
	sound bool
}

// Record adds an end that this process has noticed. It reports whether that changed anything.
func (e *Evidence) Record(now time.Time, end End) bool { return e.Merge(now, []End{end}) }

// Merge adds ends that other processes reported. It reports whether that changed anything that
// other processes may lack. Invalid ends, and ends beyond the bounds, are ignored.
func (e *Evidence) Merge(now time.Time, ends []End) bool {
	e.correctClock(now)

	var (
		touched []*endState
		urgent  bool
	)

	for i := range ends[:min(len(ends), maxEnds)] {
		s, c := e.apply(now, &ends[i])
		if c != nothingNew {
			touched = append(touched, s)
			urgent = urgent || c == urgentNews
		}
	}

	if len(touched) == 0 {
		return false
	}

	e.Expire(now)

	kept := slices.DeleteFunc(touched, func(s *endState) bool { return e.ends[s.key] != s })
	if len(kept) == 0 {
		return false
	}

	e.bumpRevision(urgent)

	for _, s := range kept {
		s.revision = e.revision
	}

	return true
}

func (e *Evidence) bumpRevision(urgent bool) {
	e.revision = e.Revision() + 1
	if urgent {
		e.urgent = e.revision
	}
}

// news says how much other processes need a change.
type news uint8

const (
	nothingNew news = iota
	// lateNews may wait for the next message.
	lateNews
	urgentNews
)

// apply merges one end, and returns the merged end.
func (e *Evidence) apply(now time.Time, in *End) (*endState, news) {
	if !isValid(now, in) {
		return nil, nothingNew
	}

	at := in.At
	if at.After(now) {
		at = now
	}

	key := endKey{in.Target, in.StartTime}
	s, found := e.ends[key], nothingNew

	if s == nil {
		if e.ends == nil {
			e.ends = make(map[endKey]*endState)
		}

		s = &endState{key: key, at: at}
		e.ends[key] = s
		found = urgentNews
	}

	if at.Before(s.at) {
		if s.at.Sub(at) >= atTolerance {
			found = max(found, lateNews)
		}

		s.at = at
		e.stale = true
	}

	if in.Group > s.group {
		s.group = in.Group
		found = urgentNews
	}

	for i := range in.Candidates[:min(len(in.Candidates), maxReceivedCandidates)] {
		found = max(found, e.applyCandidate(s, newCandidateState(in.At, &in.Candidates[i])))
	}

	if found != nothingNew {
		e.stale = true
		s.dropExcessCandidates()
	}

	return s, found
}

func isValid(now time.Time, in *End) bool {
	return in.Target != "" && len(in.Target) <= maxIDLength && len(in.Group) <= maxIDLength &&
		len(in.Candidates) > 0 && now.Sub(in.At) < heldRetention
}

func newCandidateState(at time.Time, c *Candidate) candidateState {
	depth := min(max(c.Depth, 0), ContentDepth)

	// What a message carries.
	unit := time.Microsecond
	if isOfRequest(depth) {
		unit = time.Millisecond
	}

	lead := at.Sub(c.SentAt).Truncate(unit)

	return candidateState{
		part: c.Part, depth: depth, lead: min(max(lead, 0), heldRetention), sound: c.Sound,
	}
}

// applyCandidate merges one candidate into s.
func (e *Evidence) applyCandidate(s *endState, in candidateState) news {
	i, ok := s.find(in.part)
	if !ok {
		if s.excludes(&in) {
			return nothingNew
		}

		s.candidates = slices.Insert(s.candidates, i, in)

		return urgentNews
	}

	c, found := &s.candidates[i], nothingNew

	if replacesDepth(in.depth, c.depth) {
		c.depth = in.depth
		found = urgentNews
	}

	if in.lead < c.lead {
		c.lead = in.lead
		found = urgentNews
	}

	if in.sound && !c.sound {
		c.sound = true
		found = max(found, e.newsOfSound(in.part))
	}

	return found
}

func (e *Evidence) newsOfSound(p Part) news {
	if _, ok := e.held[p]; ok {
		return urgentNews
	}

	return lateNews
}

func (s *endState) find(p Part) (int, bool) {
	return slices.BinarySearchFunc(s.candidates, p, func(c candidateState, p Part) int { return cmp.Compare(c.part, p) })
}

func isOfRequest(depth int) bool { return depth >= MaxParts }

// replacesDepth reports whether the depth a of a part is kept instead of b. A part of a request stays one.
func replacesDepth(a, b int) bool {
	if isOfRequest(a) != isOfRequest(b) {
		return isOfRequest(a)
	}

	return a < b
}

// priority orders the candidates of an end if there are too many. It never changes, so that all
// processes keep the same ones, and it differs between ends, so that no part is dropped from all.
func (s *endState) priority(p Part) uint64 {
	return shares.MixHashes(xxhash.Sum64String(s.key.target)+uint64(s.key.startTime), uint64(p))
}

// maxCandidatesLike returns how many candidates of the kind of c an end may have.
func maxCandidatesLike(c *candidateState) int {
	if isOfRequest(c.depth) {
		return maxRequestCandidates
	}

	return maxCandidates
}

// excludes reports whether the bound on candidates leaves no place for in.
func (s *endState) excludes(in *candidateState) bool {
	bound := maxCandidatesLike(in)
	if len(s.candidates) < bound {
		return false
	}

	priority, lower := s.priority(in.part), 0

	for i := range s.candidates {
		if isOfRequest(s.candidates[i].depth) == isOfRequest(in.depth) && s.priority(s.candidates[i].part) < priority {
			lower++
		}
	}

	return lower >= bound
}

func (s *endState) dropExcessCandidates() {
	if len(s.candidates) <= maxCandidates {
		return
	}

	slices.SortFunc(s.candidates, func(a, b candidateState) int { return cmp.Compare(s.priority(a.part), s.priority(b.part)) })

	kept := make(map[bool]int)
	s.candidates = slices.Clip(slices.DeleteFunc(s.candidates, func(c candidateState) bool {
		kept[isOfRequest(c.depth)]++

		return kept[isOfRequest(c.depth)] > maxCandidatesLike(&c)
	}))

	slices.SortFunc(s.candidates, func(a, b candidateState) int { return cmp.Compare(a.part, b.part) })
}

// MarkSound records that these parts are sound in all ends known so far. It reports whether other processes need that at once, because
// one of the parts is held.
func (e *Evidence) MarkSound(parts ...Part) bool {
	if len(e.unsound) == 0 {
		return false
	}

	marked, urgent := false, false

	for _, p := range parts {
		if _, ok := e.unsound[p]; !ok {
			continue
		}

		delete(e.unsound, p)

		urgent = urgent || e.newsOfSound(p) == urgentNews

		for _, s := range e.ends {
			if i, ok := s.find(p); ok && !s.candidates[i].sound {
				s.candidates[i].sound = true
				s.revision = e.Revision() + 1
				marked = true
			}
		}
	}

	if marked {
		e.stale = true
		e.bumpRevision(urgent)
	}

	return urgent
}

// Revision returns the current revision, which is at least 1.
func (e *Evidence) Revision() uint64 { return max(e.revision, 1) }

// UrgentRevision returns the revision of the last change that other processes need at once.
func (e *Evidence) UrgentRevision() uint64 { return e.urgent }

// ChangedSince returns the ends that changed after a revision, in the order of their times, and the
// current revision. It returns all ends if the revision is not one of this Evidence.
func (e *Evidence) ChangedSince(revision uint64) ([]End, uint64) {
	current := e.Revision()
	if revision == current {
		return nil, current
	}

	if revision > current {
		revision = 0
	}

	var out []End

	for _, s := range e.sorted() {
		if s.revision > revision {
			out = append(out, s.end())
		}
	}

	return out, current
}

func (s *endState) end() End {
	out := End{Target: s.key.target, StartTime: s.key.startTime, Group: s.group, At: s.at, Candidates: make([]Candidate, 0, len(s.candidates))}
	for _, c := range s.candidates {
		out.Candidates = append(out.Candidates, Candidate{Part: c.part, Depth: c.depth, SentAt: s.at.Add(-c.lead), Sound: c.sound})
	}

	return out
}

// sorted returns the ends in the order of their times.
func (e *Evidence) sorted() []*endState {
	return slices.SortedFunc(maps.Values(e.ends), func(a, b *endState) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.key.target, b.key.target), cmp.Compare(a.key.startTime, b.key.startTime))
	})
}

// correctClock moves all ends back if the clock was set back, so that they keep their order and
// none is in the future.
func (e *Evidence) correctClock(now time.Time) {
	step := e.latest.Sub(now)
	if step <= 0 || len(e.ends) == 0 {
		return
	}

	for _, s := range e.ends {
		s.at = s.at.Add(-step)

		if !s.soundUntil.IsZero() {
			s.soundUntil = s.soundUntil.Add(-step)
		}
	}

	e.stale = true
	e.latest = now
}

// Expire drops ends that no longer count, and those beyond the bound. An end that is not explained
// supports no held part, so dropping it changes none.
func (e *Evidence) Expire(now time.Time) {
	e.correctClock(now)

	for dropped := true; dropped; {
		if e.stale {
			e.computeHeld()
		}

		e.nextExpiry, e.latest = time.Time{}, time.Time{}
		dropped = e.dropExpired(now) || e.dropOldest()
	}

	if len(e.ends) == 0 {
		e.unsound = nil
	}
}

func (e *Evidence) dropExpired(now time.Time) bool {
	dropped := false

	for key, s := range e.ends {
		expiry := s.expiry(now)
		if !expiry.After(now) {
			delete(e.ends, key)

			dropped = true
			e.stale = e.stale || s.explained

			continue
		}

		if e.nextExpiry.IsZero() || expiry.Before(e.nextExpiry) {
			e.nextExpiry = expiry
		}

		if s.at.After(e.latest) {
			e.latest = s.at
		}
	}

	return dropped
}

// expiry returns when the end stops to count.
func (s *endState) expiry(now time.Time) time.Time {
	isUnsound := func(c candidateState) bool { return !c.sound }

	switch {
	case slices.ContainsFunc(s.candidates, isUnsound):
		s.soundUntil = time.Time{}
	case s.soundUntil.IsZero():
		s.soundUntil = now.Add(soundRetention)
	}

	switch {
	case !s.soundUntil.IsZero():
		return s.soundUntil
	case s.explained:
		return s.at.Add(heldRetention)
	default:
		return s.at.Add(endRetention)
	}
}

// dropOldest drops ends beyond the bound: the oldest that support no held part, then the oldest.
func (e *Evidence) dropOldest() bool {
	excess := len(e.ends) - maxEnds
	if excess <= 0 {
		return false
	}

	ends := e.sorted()
	slices.SortStableFunc(ends, func(a, b *endState) int {
		switch {
		case a.explained == b.explained:
			return 0
		case a.explained:
			return 1
		default:
			return -1
		}
	})

	for _, s := range ends[:excess] {
		delete(e.ends, s.key)

		e.stale = e.stale || s.explained
	}

	return true
}
