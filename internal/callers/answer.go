package callers

import (
	"errors"
	"sync/atomic"
	"time"
)

// HeadCounter counts the bytes and lines of the head of an answer before they are parsed.
type HeadCounter struct {
	// onHead is called with the size until now; nil while no head is read.
	onHead      func(size, lines int) error
	size, lines int
	// refused is the error of onHead. It stays: the library may look ahead and ignore that a read has failed.
	refused error
}

// Begin begins the head of an answer, or ends it if onHead is nil.
func (h *HeadCounter) Begin(onHead func(size, lines int) error) {
	h.onHead, h.size, h.lines, h.refused = onHead, 0, 0, nil
}

// Refused returns the error of the call that has ended the answer, if one has.
func (h *HeadCounter) Refused() error { return h.refused }

// Count counts the next bytes. An error ends the answer.
func (h *HeadCounter) Count(b []byte) error {
	if h.refused != nil || h.onHead == nil || len(b) == 0 {
		return h.refused
	}

	h.size += len(b)
	h.lines += countLines(b)
	h.refused = h.onHead(h.size, h.lines)

	return h.refused
}

// ErrAnswerTooLarge means that there is no memory for the head of an answer.
var ErrAnswerTooLarge = errors.New("callers: the memory for requests has no room for the head of an answer")

// AnswerHead is the charge for the head of one answer.
type AnswerHead struct {
	hold    hold
	charged int64
	refused atomic.Bool
}

// NewAnswerHead returns the charge for the head of an answer. Once what is charged has been arriving for long, end may
// be called to make room for others; it must not block.
func (m *Memory) NewAnswerHead(end func()) *AnswerHead {
	a := &AnswerHead{hold: hold{memory: m}}
	a.hold.end = func() {
		a.refused.Store(true)
		end()
	}

	return a
}

// Grow charges the head, of which so much has arrived until now.
func (a *AnswerHead) Grow(size, lines int) error {
	more := HeadMemory(size, lines) - a.charged
	if more <= 0 {
		return nil
	}

	now := time.Now()
	if a.charged == 0 {
		a.hold.begin(now)
	}

	if !a.hold.grow(now, more) {
		a.refused.Store(true)

		return ErrAnswerTooLarge
	}

	a.charged += more

	return nil
}

// Refused reports whether the answer was ended for its memory.
func (a *AnswerHead) Refused() bool { return a.refused.Load() }

// Arrived records that the head has arrived whole.
func (a *AnswerHead) Arrived() { a.hold.arrived() }

// Release ends the charge. The head may still be read, and grows no more.
func (a *AnswerHead) Release() { a.hold.finish() }
