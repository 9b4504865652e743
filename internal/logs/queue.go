package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queued bounds the lines that wait to be written: some seconds of a bad minute, and
// about a megabyte.
const queued = 4096

// Queue writes lines from a goroutine of its own. A reader of the log that stands
// still must not stop what is logged: lines are dropped then, and counted.
type Queue struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	close   sync.Once
}

// NewQueue returns a queue to w. Close writes what waits.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{w: w, lines: make(chan []byte, queued), done: make(chan struct{})}

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

// Close writes what waits and ends the queue. Nothing may be written after it.
func (q *Queue) Close() {
	q.close.Do(func() { close(q.lines) })
	<-q.done
}

func (q *Queue) run() {
	defer close(q.done)

	told := int64(0)

	for line := range q.lines {
		// There is nowhere to tell of a log that cannot be written.
		_, _ = q.w.Write(line)

		if n := q.dropped.Load(); n != told && len(q.lines) == 0 {
			_, _ = fmt.Fprintf(q.w, "level=WARN msg=\"logs: Lines were dropped.\" lines=%d\n", n-told)
			told = n
		}
	}
}
