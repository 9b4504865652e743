package targetclient

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/parsleygate/parsleygate/internal/eventstream"
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
	// Grow, if set, is called before the reader holds n more bytes of an event that does not fit into its
	// first readBufferSize bytes. Its error ends the stream.
	Grow func(n int) error

	source   io.Reader
	r        *bufio.Reader
	scanner  eventstream.Scanner
	maxBytes int
	buf      []byte
	// blank is set while buf holds nothing but line ends.
	blank bool
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

// Next returns the next event. Its bytes are valid until the next call of Next. Blank lines at the end
// of the stream are returned as an event of comments.
// The error is io.EOF if the stream ended after a complete event and
// io.ErrUnexpectedEOF if it ended within one.
func (r *EventReader) Next() (Event, error) {
	r.buf, r.blank = r.buf[:0], true

	for {
		if _, err := r.r.Peek(1); err != nil {
			return r.end(err)
		}

		part, _ := r.r.Peek(r.r.Buffered())
		n, ended := r.scanner.ScanEvent(part)

		if len(r.buf)+n > r.maxBytes {
			return Event{}, ErrEventTooLong
		}

		if err := r.add(part[:n]); err != nil {
			return Event{}, err
		}

		_, _ = r.r.Discard(n)

		if ended && !r.blank {
			return r.event(), nil
		}
	}
}

// add appends a part of the current event to buf.
func (r *EventReader) add(part []byte) error {
	r.blank = r.blank && len(bytes.TrimSpace(part)) == 0

	if need := len(r.buf) + len(part); need > cap(r.buf) {
		size := max(2*cap(r.buf), need, readBufferSize)
		if r.Grow != nil && size > readBufferSize {
			if err := r.Grow(size - cap(r.buf)); err != nil {
				return err
			}
		}

		grown := make([]byte, len(r.buf), size)
		copy(grown, r.buf)
		r.buf = grown
	}

	r.buf = append(r.buf, part...)

	return nil
}

// event returns the event in buf.
func (r *EventReader) event() Event {
	ev := Event{Comment: r.scanner.IsComment(), Bytes: r.buf}

	if id, ok := r.scanner.EventID(); ok {
		n, err := strconv.ParseUint(id, 10, 64)
		ev.ID, ev.HasID = n, err == nil
	}

	return ev
}

// end returns what follows the last complete event of a stream that ended with err.
func (r *EventReader) end(err error) (Event, error) {
	switch {
	case !errors.Is(err, io.EOF):
		return Event{}, err
	case r.scanner.InsideEvent():
		return Event{}, io.ErrUnexpectedEOF
	case len(r.buf) > 0:
		return Event{Comment: true, Bytes: r.buf}, nil
	default:
		return Event{}, io.EOF
	}
}
