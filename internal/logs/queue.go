package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueCapacity bounds the lines that wait to be written: some seconds of a bad minute, and
// about a megabyte.
const queueCapacity = 4096

// Queue writes lines from a goroutine of its own. A reader of the log that stands
// still must not stop what is logged: lines are dropped then, and counted.
type Queue struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed by Close, done once what waited is written.
	closing chan struct{}
	done    chan struct{}
	close   sync.Once
}

// NewQueue returns a queue to w. Close writes what waits.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{w: w, lines: make(chan []byte, queueCapacity), closing: make(chan struct{}), done: make(chan struct{})}

	go q.run()

	return q
}

// Write queues a line. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}

	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes what waits and ends the queue. What is written after it is lost: requests
// may still be under way as a process ends, and closing the channel under them ended it
// by a panic.
func (q *Queue) Close() {
	q.close.Do(func() { close(q.closing) })
	<-q.done
}

func (q *Queue) run() {
	defer close(q.done)

	reported := int64(0)

	for {
		select {
		case line := <-q.lines:
			reported = q.writeLine(line, reported)
		case <-q.closing:
			q.drain(reported)

			return
		}
	}
}

// drain writes the lines that wait.
func (q *Queue) drain(reported int64) {
	for {
		select {
		case line := <-q.lines:
			reported = q.writeLine(line, reported)
		default:
			return
		}
	}
}

// writeLine writes a line, and how many were dropped where that was not told yet. It returns
// how many have been told.
func (q *Queue) writeLine(line []byte, reported int64) int64 {
	// There is nowhere to tell of a log that cannot be written.
	_, _ = q.w.Write(line)

	n := q.dropped.Load()
	if n == reported || len(q.lines) > 0 {
		return reported
	}

	_, _ = fmt.Fprintf(q.w, "level=WARN msg=\"logs: Lines were dropped.\" lines=%d\n", n-reported)

	return n
}
