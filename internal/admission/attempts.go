package admission

import (
	"container/heap"
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// attemptState is what the agent knows of one attempt.
type attemptState uint8

const (
	// stateRunning: admitted and not ended.
	stateRunning attemptState = iota
	// stateRan: it ended with a whole answer.
	stateRan
	// stateClosed: it did not run and never will.
	stateClosed
	// stateOutcomeUnknown: it was sent to the target, and nobody can tell what became of it.
	stateOutcomeUnknown
)

// attempt is one remembered attempt.
type attempt struct {
	id      string
	state   attemptState
	entryID string
	// expiresAt is when the credit of the attempt expires.
	expiresAt time.Time
	// evictAt is when an ended attempt leaves the memory.
	evictAt    time.Time
	admittedAt time.Time
	// epoch is the ramp's at admission, depth counts the requests in flight then.
	epoch       uint64
	concurrency int
	// firstTokenSeen says that the first byte of the answer was seen; slow that it came late.
	firstTokenSeen bool
	slow           bool
	answer         *wire.Answer
}

// firstTokenSample is how long a has waited for its first token at now.
func (a *attempt) firstTokenSample(now time.Time) firstTokenSample {
	return firstTokenSample{wait: now.Sub(a.admittedAt), concurrency: a.concurrency}
}

// attemptStore remembers attempts, so that a duplicate is refused and an entry can ask.
//
// It guards against a second run of a request whose message was duplicated or
// came late. An attempt is remembered at least until its credit has expired;
// from then on the expiry itself refuses a duplicate, so memory is bounded and
// still safe against duplicates of any age.
type attemptStore struct {
	byID map[string]*attempt
	// closed holds the closed attempts, ended those that ran or may have.
	closed evictionQueue
	ended  evictionQueue
	// evictedUpTo is the latest credit expiry of a forgotten attempt that may have
	// run. Of an unknown attempt with a later credit it is certain that it didn't.
	evictedUpTo time.Time
	// revokedUpTo: credits that expire no later are refused, see revoke.
	revokedUpTo time.Time
	// answers holds ended attempts with an answer, oldest first.
	answers     []*attempt
	answerBytes int
}

// add remembers a.
func (s *attemptStore) add(a *attempt) {
	if s.byID == nil {
		s.byID = make(map[string]*attempt)
	}

	s.byID[a.id] = a

	if a.state == stateClosed {
		a.evictAt = a.expiresAt
		heap.Push(&s.closed, a)
	}
}

// end moves a running attempt to state. A closed one is remembered like any
// closed one, until its credit expires; else forgetAt says how long. Its answer is kept within maxBytes for all answers.
func (s *attemptStore) end(a *attempt, state attemptState, evictAt time.Time, answer *wire.Answer, maxBytes int) {
	a.state = state
	a.evictAt = evictAt

	if state == stateClosed {
		a.evictAt = a.expiresAt
		heap.Push(&s.closed, a)

		return
	}

	heap.Push(&s.ended, a)

	if answer == nil {
		return
	}

	a.answer = answer
	s.answers = append(s.answers, a)
	s.answerBytes += answerSize(answer)

	for s.answerBytes > maxBytes {
		s.dropOldestAnswer()
	}
}

// dropOldestAnswer forgets the oldest answer, but not that its attempt ran.
func (s *attemptStore) dropOldestAnswer() {
	a := s.answers[0]
	s.answers[0] = nil
	s.answers = s.answers[1:]

	if a.answer != nil {
		s.answerBytes -= answerSize(a.answer)
		a.answer = nil
	}
}

// ensureCapacity reports whether one more attempt may be remembered. Where needed it
// forgets ended ones early, but none whose credit still holds.
func (s *attemptStore) ensureCapacity(now time.Time, maxAttempts int) bool {
	for len(s.byID) >= maxAttempts {
		if len(s.ended) == 0 || s.ended[0].expiresAt.After(now) {
			return false
		}

		s.evictEnded()
	}

	return true
}

// evictEnded drops the ended attempt whose time comes first.
func (s *attemptStore) evictEnded() {
	a := heap.Pop(&s.ended).(*attempt)
	delete(s.byID, a.id)

	if a.expiresAt.After(s.evictedUpTo) {
		s.evictedUpTo = a.expiresAt
	}

	if a.answer != nil {
		s.answerBytes -= answerSize(a.answer)
		a.answer = nil
	}
}

// expire drops the attempts whose time has come.
func (s *attemptStore) expire(now time.Time) {
	for s.closed.due(now) {
		delete(s.byID, heap.Pop(&s.closed).(*attempt).id)
	}

	for s.ended.due(now) {
		s.evictEnded()
	}

	for len(s.answers) > 0 && s.answers[0].answer == nil {
		s.dropOldestAnswer()
	}
}

// revoke refuses from now on every credit that expires no later than at.
//
// It stands in for remembering a refused attempt when the memory is full:
// without it a duplicate of a request refused as not run could be let in later,
// and the refusal would have been a lie. Credits granted later expire later.
func (s *attemptStore) revoke(at time.Time) {
	if at.After(s.revokedUpTo) {
		s.revokedUpTo = at
	}
}

// mayHaveEvicted reports whether an unknown attempt with this credit expiry may have run.
func (s *attemptStore) mayHaveEvicted(expiresAt time.Time) bool {
	return !expiresAt.After(s.evictedUpTo)
}

// answerSize is what a recorded answer counts for, in bytes.
func answerSize(a *wire.Answer) int {
	n := len(a.GetBody())
	for _, h := range a.GetHeaders() {
		n += len(h.GetName()) + len(h.GetValue())
	}

	return n
}

// evictionQueue orders ended attempts by forgetAt.
type evictionQueue []*attempt

// due reports whether the first attempt is to be forgotten at now.
func (q evictionQueue) due(now time.Time) bool {
	return len(q) > 0 && !q[0].evictAt.After(now)
}

// Len implements heap.Interface.
func (q evictionQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q evictionQueue) Less(i, j int) bool { return q[i].evictAt.Before(q[j].evictAt) }

// Swap implements heap.Interface.
func (q evictionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *evictionQueue) Push(x any) { *q = append(*q, x.(*attempt)) }

// Pop implements heap.Interface.
func (q *evictionQueue) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]

	return a
}
