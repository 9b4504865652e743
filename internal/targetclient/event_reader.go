package targetclient

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// ErrEventTooLong is returned for an event that exceeds the reader's size limit.
var ErrEventTooLong = errors.New("targetclient: event of the stream exceeds the size limit")

// Event is one complete server-sent event, including the empty line that ends it.
type Event struct {
	// ID is the value of the id field. HasID is false if the event has no numeric id.
	ID    uint64
	HasID bool
	// Comment is set if all lines of the event are comments.
	Comment bool
	Bytes   []byte
}

// EventReader reads a stream of server-sent events. It never returns an incomplete
// event from the end of an interrupted stream.
type EventReader struct {
	// BeforeRead, if set, is called before each read of the stream, which may wait. Its error ends the
	// stream.
	BeforeRead func() error

	source   io.Reader
	r        *bufio.Reader
	maxBytes int
	buf      []byte
}

// NewEventReader returns a reader of the events in r. An event longer than maxBytes is
// an error.
func NewEventReader(r io.Reader, maxBytes int) *EventReader {
	e := &EventReader{source: r, maxBytes: maxBytes}
	e.r = bufio.NewReaderSize(eventSource{e}, readBufferSize)

	return e
}

// eventSource is the stream behind the buffer of an EventReader.
type eventSource struct{ *EventReader }

// Read implements io.Reader.
func (s eventSource) Read(p []byte) (int, error) {
	if s.BeforeRead != nil {
		if err := s.BeforeRead(); err != nil {
			return 0, err
		}
	}

	return s.source.Read(p) //nolint:wrapcheck // io.EOF must stay comparable
}

// Next returns the next event. Its bytes are valid until the next call of Next.
// The error is io.EOF if the stream ended after a complete event and
// io.ErrUnexpectedEOF if it ended within one.
func (r *EventReader) Next() (Event, error) {
	r.buf = r.buf[:0]

	ev := Event{Comment: true}
	lineStart := 0

	for {
		part, err := r.r.ReadSlice('\n')
		if len(r.buf)+len(part) > r.maxBytes {
			return Event{}, ErrEventTooLong
		}

		r.buf = append(r.buf, part...)

		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.buf)) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err //nolint:wrapcheck // io.EOF must stay comparable
		}

		line := bytes.TrimRight(r.buf[lineStart:], "\r\n")
		lineStart = len(r.buf)

		if len(line) > 0 && line[0] != ':' {
			ev.Comment = false
		}

		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.ParseUint(string(bytes.TrimSpace(id)), 10, 64)
			ev.ID, ev.HasID = n, err == nil
		}

		if len(line) == 0 && len(bytes.TrimSpace(r.buf)) > 0 {
			ev.Bytes = r.buf

			return ev, nil
		}
	}
}
