package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/agentclient"
	"github.com/parsleygate/parsleygate/internal/callerconn"
	"github.com/parsleygate/parsleygate/internal/eventstream"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// reply writes one answer to a caller.
type reply struct {
	w            http.ResponseWriter
	r            *http.Request
	ctrl         *http.ResponseController
	writeTimeout time.Duration

	headSent  bool
	bytesSent uint64
	// callerGone is set if writing to the caller has failed.
	callerGone bool
	// events is set for an event stream that another target may resume.
	events *eventBuffer
	// length is the length that was announced to the caller, or -1. lastPiece is the piece
	// that reaches it. It is held back until the answer is known to be complete.
	length    int64
	lastPiece []byte
}

func newReply(w http.ResponseWriter, r *http.Request, writeTimeout time.Duration) *reply {
	return &reply{w: w, r: r, ctrl: http.NewResponseController(w), writeTimeout: writeTimeout, length: -1}
}

// receiver returns a receiver that relays an answer to the caller as it arrives.
// resuming is set if the caller has already received the beginning of the answer.
func (p *reply) receiver(resumable, resuming bool) agentclient.Receiver {
	return agentclient.Receiver{
		Head: func(h *wire.Head) error {
			if resuming {
				return p.checkResumedHead(h)
			}

			if resumable && beginsEventStream(h) {
				p.events = &eventBuffer{}
			}

			return p.writeHead(h.GetStatus(), h.GetHeaders())
		},
		Data: p.writeData,
	}
}

// checkResumedHead rejects a response that does not continue the stream, such as an
// error page. The caller would take it for the rest of its answer.
func (p *reply) checkResumedHead(h *wire.Head) error {
	if h.GetStatus() == http.StatusOK && isEventStream(h.GetHeaders()) {
		return nil
	}

	return eris.Errorf("target did not resume the event stream: status %d", h.GetStatus())
}

func (p *reply) writeHead(status int32, headers []*wire.Header) error {
	id := p.w.Header().Get(HeaderRequestID)
	for _, h := range headers {
		if !strings.HasPrefix(h.GetName(), headerPrefix) {
			p.w.Header().Add(h.GetName(), string(h.GetValue()))
		}
	}

	p.w.Header().Set(HeaderRequestID, id)
	p.w.Header().Set(HeaderVerdict, verdict.Ran.String())

	if isEventStream(headers) && p.r.Method != http.MethodHead {
		// The length is that of one target's stream, which may end inside an event, or be
		// continued by another target. The caller must not take it for the end.
		p.w.Header().Del("Content-Length")
	}

	if length, err := strconv.ParseInt(p.w.Header().Get("Content-Length"), 10, 64); err == nil {
		p.length = length
	}

	p.headSent = true
	p.w.WriteHeader(int(status))

	return p.flush()
}

func (p *reply) writeData(b []byte) error {
	if p.events != nil {
		b = p.events.add(b)
	}

	if len(b) == 0 {
		return nil
	}

	if p.length >= 0 {
		switch rest := p.length - int64(p.bytesSent) - int64(len(p.lastPiece)) - int64(len(b)); {
		case rest < 0:
			return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken, Err: eris.New("answer is longer than announced")}
		case rest == 0:
			p.lastPiece = b

			return nil
		}
	}

	return p.write(b)
}

// finish writes what was held back of an answer that is complete.
func (p *reply) finish() {
	if len(p.lastPiece) > 0 {
		_ = p.write(p.lastPiece)
	}
}

func (p *reply) write(b []byte) error {
	_ = p.ctrl.SetWriteDeadline(time.Now().Add(p.writeTimeout))

	if _, err := p.w.Write(b); err != nil {
		return p.writeFailed(err)
	}

	p.bytesSent += uint64(len(b))

	return p.flush()
}

func (p *reply) flush() error {
	if err := p.ctrl.Flush(); err != nil {
		return p.writeFailed(err)
	}

	return nil
}

func (p *reply) writeFailed(err error) error {
	p.callerGone = true

	return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseCancelled, Err: err}
}

// writeAnswer writes a complete answer.
func (p *reply) writeAnswer(a *wire.Answer) {
	if err := p.writeHead(a.GetStatus(), a.GetHeaders()); err != nil {
		return
	}

	p.events = nil
	_ = p.writeData(a.GetBody())
}

// abort closes the connection or resets the HTTP/2 stream, so that the caller sees that
// the answer is incomplete. A connection of HTTP/1.0 is reset, since a regular end could
// be that of a complete answer.
func (p *reply) abort() {
	callerconn.Reset(p.r)
	panic(http.ErrAbortHandler)
}

// resumable reports whether another target can continue the answer. This requires that
// the events have IDs or that no event was sent to the caller. Otherwise the caller
// would receive the beginning twice.
func (p *reply) resumable() bool {
	return p.events != nil && (p.bytesSent == 0 || p.events.lastID() != "")
}

// headerValue returns the value of the first header with the given name, or "".
func headerValue(headers []*wire.Header, name string) string {
	for _, h := range headers {
		if strings.EqualFold(h.GetName(), name) {
			return string(h.GetValue())
		}
	}

	return ""
}

// beginsEventStream reports whether an answer with this head is a stream of events. A failure may have a
// text instead, whatever its type says.
func beginsEventStream(h *wire.Head) bool {
	return h.GetStatus() >= 200 && h.GetStatus() < 300 && isEventStream(h.GetHeaders())
}

// isEventStream reports whether an answer with these headers is a stream whose events can
// be read.
func isEventStream(headers []*wire.Header) bool {
	return eventstream.IsReadable(headerValue(headers, "Content-Type"), headerValue(headers, "Content-Encoding"))
}

// eventBuffer holds back the incomplete last event of a stream, so that a broken stream
// is never resumed in the middle of an event.
type eventBuffer struct {
	pending []byte
	scanner eventstream.Scanner
}

// add appends b to the buffer, and removes and returns the complete events. It drops those
// that the caller already has: a target that resumes a stream may repeat them.
func (v *eventBuffer) add(b []byte) []byte {
	var out []byte

	for len(b) > 0 {
		n, ended := v.scanner.ScanEvent(b)
		v.pending = append(v.pending, b[:n]...)
		b = b[n:]

		if !ended {
			break
		}

		if !v.scanner.Repeated() {
			out = append(out, v.pending...)
		}

		v.pending = v.pending[:0]
	}

	return out
}

// lastID returns the ID of the last event sent to the caller, or "" if it had none.
func (v *eventBuffer) lastID() string { return v.scanner.LastID() }

// interrupt drops the incomplete event of a broken stream. The next target sends it again
// completely.
func (v *eventBuffer) interrupt() {
	v.pending = nil
	v.scanner.Interrupt()
}

// collector buffers a complete answer, so that it is recorded before the caller gets
// it. An answer larger than maxBytes is not recorded but relayed to overflow.
type collector struct {
	answer   *wire.Answer
	maxBytes int
	overflow *reply
}

func (c *collector) receiver() agentclient.Receiver {
	return agentclient.Receiver{
		Head: func(h *wire.Head) error {
			c.answer = &wire.Answer{Status: h.GetStatus(), Headers: h.GetHeaders()}

			return nil
		},
		Data: c.data,
	}
}

func (c *collector) data(b []byte) error {
	if c.overflow.headSent {
		return c.overflow.writeData(b)
	}

	c.answer.Body = append(c.answer.Body, b...)
	if len(c.answer.GetBody()) <= c.maxBytes {
		return nil
	}

	if err := c.overflow.writeHead(c.answer.GetStatus(), c.answer.GetHeaders()); err != nil {
		return err
	}

	return c.overflow.writeData(c.answer.GetBody())
}
