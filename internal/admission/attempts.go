package admission

import (
	"container/heap"
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// attemptState is the state of one attempt as far as the agent has seen it.
type attemptState uint8

const (
	// stateRunning: the attempt was admitted and has not ended.
	stateRunning attemptState = iota
	// stateRan: the attempt ended with a complete answer.
	stateRan
	// stateClosed: the attempt did not run and will never be admitted.
	stateClosed
	// stateOutcomeUnknown: the attempt was sent to the target and may have run.
	stateOutcomeUnknown
)

// attempt is the record of one attempt.
type attempt struct {
	id      string
	state   attemptState
	entryID string
	// expiresAt is when the attempt's credit expires.
	expiresAt time.Time
	// evictAt is when the record of an ended attempt is removed.
	evictAt    time.Time
	admittedAt time.Time
	// epoch is the ramp's epoch at admission. concurrency is the number of requests
	// in flight at admission, including this one.
	epoch       uint64
	concurrency int
	// firstTokenSeen says that the first byte of the answer has arrived, slow that it
	// arrived late.
	firstTokenSeen bool
	slow           bool
	answer         *wire.Answer
}

// firstTokenSample returns a sample for a first token that arrives now.
func (a *attempt) firstTokenSample(now time.Time) firstTokenSample {
	return firstTokenSample{wait: now.Sub(a.admittedAt), concurrency: a.concurrency}
}

// attemptStore records attempts, so that duplicates are rejected and entries can query
// outcomes.
//
// It guards against a second run of a request whose message was duplicated or delayed.
// A record is kept at least until the attempt's credit has expired. From then on a
// duplicate is rejected because of its expired credit. The store is therefore bounded
// and still protects against duplicates of any age.
type attemptStore struct {
	byID map[string]*attempt
	// closed holds the closed attempts, ended those that ran or may have run.
	closed evictionQueue
	ended  evictionQueue
	// evictedUpTo is the latest credit expiry of all evicted attempts that may have
	// run. An attempt without a record whose credit expires later has not run.
	evictedUpTo time.Time
	// revokedUpTo is the time up to which credit expiries are revoked. See revoke.
	revokedUpTo time.Time
	// answers holds the ended attempts with a recorded answer, oldest first.
	answers     []*attempt
	answerBytes int
}

// add stores a.
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

// end moves a running attempt to state. A closed attempt is kept until its credit
// expires, any other until evictAt. The answer is recorded, and the oldest answers are
// dropped until all of them fit in maxBytes.
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

// dropOldestAnswer drops the oldest recorded answer but keeps the attempt's record.
func (s *attemptStore) dropOldestAnswer() {
	a := s.answers[0]
	s.answers[0] = nil
	s.answers = s.answers[1:]

	if a.answer != nil {
		s.answerBytes -= answerSize(a.answer)
		a.answer = nil
	}
}

// ensureCapacity reports whether one more attempt may be stored. If needed it evicts
// ended attempts early, but none whose credit is still valid.
func (s *attemptStore) ensureCapacity(now time.Time, maxAttempts int) bool {
	for len(s.byID) >= maxAttempts {
		if len(s.ended) == 0 || s.ended[0].expiresAt.After(now) {
			return false
		}

		s.evictEnded()
	}

	return true
}

// evictEnded removes the ended attempt with the earliest eviction time.
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

// expire removes all attempts whose eviction time has passed.
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

// revoke invalidates every credit that expires at or before at.
//
// It replaces the record of a rejected attempt when the store is full. Otherwise a
// duplicate of a request that was reported as NotRun could be admitted later. Credits
// granted later expire later and are not affected.
func (s *attemptStore) revoke(at time.Time) {
	if at.After(s.revokedUpTo) {
		s.revokedUpTo = at
	}
}

// mayHaveEvicted reports whether an attempt without a record, whose credit has this
// expiry, may have run and been evicted.
func (s *attemptStore) mayHaveEvicted(expiresAt time.Time) bool {
	return !expiresAt.After(s.evictedUpTo)
}

// answerSize returns the size of an answer in bytes: its body, header names and header
// values.
func answerSize(a *wire.Answer) int {
	n := len(a.GetBody())
	for _, h := range a.GetHeaders() {
		n += len(h.GetName()) + len(h.GetValue())
	}

	return n
}

// evictionQueue is a heap of ended attempts, ordered by evictAt.
type evictionQueue []*attempt

// due reports whether the first attempt's eviction time has passed.
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
