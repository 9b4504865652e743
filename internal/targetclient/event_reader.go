package targetclient

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// ErrEventTooLong says that one event of a stream is longer than an event may be.
var ErrEventTooLong = errors.New("door: an event of the stream is too long")

// Event is one whole event of a stream, with the empty line that ends it.
type Event struct {
	// ID is the event's number; HasID is false where it carries none.
	ID    uint64
	HasID bool
	Bytes []byte
}

// EventReader reads a stream event by event. A part of an event at the end of a stream
// that broke off is never returned.
type EventReader struct {
	r        *bufio.Reader
	maxBytes int
	buf      []byte
}

// NewEventReader returns a reader of the events in r, each at most most bytes long.
func NewEventReader(r io.Reader, maxBytes int) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, readBufferSize), maxBytes: maxBytes}
}

// Next returns the next event, which holds until Next is called again. It returns
// io.EOF where the stream ended whole.
func (r *EventReader) Next() (Event, error) {
	r.buf = r.buf[:0]

	var ev Event

	for {
		line, err := r.r.ReadSlice('\n')
		if len(r.buf)+len(line) > r.maxBytes {
			return Event{}, ErrEventTooLong
		}

		r.buf = append(r.buf, line...)

		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.buf)) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err //nolint:wrapcheck // io.EOF must stay comparable
		}

		line = bytes.TrimRight(line, "\r\n")

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

// Buffered returns whether bytes of a next event are here already.
func (r *EventReader) Buffered() bool { return r.r.Buffered() > 0 }
