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
	// stateLost: it was sent to the target, and nobody can tell what became of it.
	stateLost
)

// attempt is one remembered attempt.
type attempt struct {
	id      string
	state   attemptState
	entryID string
	// expiresAt is when the credit of the attempt expires.
	expiresAt time.Time
	// forgetAt is when an ended attempt leaves the memory.
	forgetAt   time.Time
	admittedAt time.Time
	// epoch is the ramp's at admission, depth counts the requests in flight then.
	epoch uint64
	depth int
	// answered says that the first byte of the answer was seen; slow that it came late.
	answered bool
	slow     bool
	answer   *wire.Answer
}

// firstToken is how long a has waited for its first token at now.
func (a *attempt) firstToken(now time.Time) firstToken {
	return firstToken{wait: now.Sub(a.admittedAt), depth: a.depth}
}

// memory remembers attempts, so that a duplicate is refused and an entry can ask.
//
// It guards against a second run of a request whose message was duplicated or
// came late. An attempt is remembered at least until its credit has expired;
// from then on the expiry itself refuses a duplicate, so memory is bounded and
// still safe against duplicates of any age.
type memory struct {
	byID map[string]*attempt
	// closed holds the closed attempts, ended those that ran or may have.
	closed endedQueue
	ended  endedQueue
	// forgottenUpTo is the latest credit expiry of a forgotten attempt that may have
	// run. Of an unknown attempt with a later credit it is certain that it didn't.
	forgottenUpTo time.Time
	// revokedUpTo: credits that expire no later are refused, see revoke.
	revokedUpTo time.Time
	// answers holds ended attempts with an answer, oldest first.
	answers     []*attempt
	answerBytes int
}

// add remembers a.
func (m *memory) add(a *attempt) {
	if m.byID == nil {
		m.byID = make(map[string]*attempt)
	}

	m.byID[a.id] = a

	if a.state == stateClosed {
		a.forgetAt = a.expiresAt
		heap.Push(&m.closed, a)
	}
}

// end moves a running attempt to state. A closed one is remembered like any
// closed one, until its credit expires; else forgetAt says how long. Its answer is kept within maxBytes for all answers.
func (m *memory) end(a *attempt, state attemptState, forgetAt time.Time, answer *wire.Answer, maxBytes int) {
	a.state = state
	a.forgetAt = forgetAt

	if state == stateClosed {
		a.forgetAt = a.expiresAt
		heap.Push(&m.closed, a)

		return
	}

	heap.Push(&m.ended, a)

	if answer == nil {
		return
	}

	a.answer = answer
	m.answers = append(m.answers, a)
	m.answerBytes += answerSize(answer)

	for m.answerBytes > maxBytes {
		m.dropOldestAnswer()
	}
}

// dropOldestAnswer forgets the oldest answer, but not that its attempt ran.
func (m *memory) dropOldestAnswer() {
	a := m.answers[0]
	m.answers[0] = nil
	m.answers = m.answers[1:]

	if a.answer != nil {
		m.answerBytes -= answerSize(a.answer)
		a.answer = nil
	}
}

// hasRoom reports whether one more attempt may be remembered. Where needed it
// forgets ended ones early, but none whose credit still holds.
func (m *memory) hasRoom(now time.Time, maxAttempts int) bool {
	for len(m.byID) >= maxAttempts {
		if len(m.ended) == 0 || m.ended[0].expiresAt.After(now) {
			return false
		}

		m.forgetEnded()
	}

	return true
}

// forgetEnded drops the ended attempt whose time comes first.
func (m *memory) forgetEnded() {
	a := heap.Pop(&m.ended).(*attempt)
	delete(m.byID, a.id)

	if a.expiresAt.After(m.forgottenUpTo) {
		m.forgottenUpTo = a.expiresAt
	}

	if a.answer != nil {
		m.answerBytes -= answerSize(a.answer)
		a.answer = nil
	}
}

// forget drops the attempts whose time has come.
func (m *memory) forget(now time.Time) {
	for m.closed.due(now) {
		delete(m.byID, heap.Pop(&m.closed).(*attempt).id)
	}

	for m.ended.due(now) {
		m.forgetEnded()
	}

	for len(m.answers) > 0 && m.answers[0].answer == nil {
		m.dropOldestAnswer()
	}
}

// revoke refuses from now on every credit that expires no later than at.
//
// It stands in for remembering a refused attempt when the memory is full:
// without it a duplicate of a request refused as not run could be let in later,
// and the refusal would have been a lie. Credits granted later expire later.
func (m *memory) revoke(at time.Time) {
	if at.After(m.revokedUpTo) {
		m.revokedUpTo = at
	}
}

// mayHaveForgotten reports whether an unknown attempt with this credit expiry may have run.
func (m *memory) mayHaveForgotten(expiresAt time.Time) bool {
	return !expiresAt.After(m.forgottenUpTo)
}

// answerSize is what a recorded answer counts for, in bytes.
func answerSize(a *wire.Answer) int {
	n := len(a.GetBody())
	for _, h := range a.GetHeaders() {
		n += len(h.GetName()) + len(h.GetValue())
	}

	return n
}

// endedQueue orders ended attempts by forgetAt.
type endedQueue []*attempt

// due reports whether the first attempt is to be forgotten at now.
func (q endedQueue) due(now time.Time) bool {
	return len(q) > 0 && !q[0].forgetAt.After(now)
}

// Len implements heap.Interface.
func (q endedQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q endedQueue) Less(i, j int) bool { return q[i].forgetAt.Before(q[j].forgetAt) }

// Swap implements heap.Interface.
func (q endedQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *endedQueue) Push(x any) { *q = append(*q, x.(*attempt)) }

// Pop implements heap.Interface.
func (q *endedQueue) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]

	return a
}
