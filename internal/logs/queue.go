package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueCapacity is the maximum number of queued lines. It covers a few seconds of heavy
// logging and takes about 1 MB.
const queueCapacity = 4096

// Queue is an io.Writer that writes lines asynchronously. If the underlying writer
// blocks, the queue drops and counts lines rather than blocking the code that logs.
type Queue struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed by Close; done is closed once the queued lines are written.
	closing chan struct{}
	done    chan struct{}
	close   sync.Once
}

// NewQueue returns a queue that writes to w. The caller must call Close to flush it.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{w: w, lines: make(chan []byte, queueCapacity), closing: make(chan struct{}), done: make(chan struct{})}

	go q.run()

	return q
}

// Write queues a line, or drops it if the queue is full. It never blocks and never
// returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}

	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes the queued lines and stops the queue. Lines written later are lost.
// The channel of lines stays open, because requests may still log while the process stops,
// and a send on a closed channel panics.
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

// drain writes the lines that are still queued.
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

// writeLine writes a line. Once the queue is empty, it also logs how many lines were
// dropped since the last such report. It returns how many dropped lines are reported.
func (q *Queue) writeLine(line []byte, reported int64) int64 {
	// A write error of the log itself cannot be reported anywhere.
	_, _ = q.w.Write(line)

	n := q.dropped.Load()
	if n == reported || len(q.lines) > 0 {
		return reported
	}

	_, _ = fmt.Fprintf(q.w, "level=WARN msg=\"logs: Log lines were dropped because the writer blocked.\" lines=%d\n", n-reported)

	return n
}
