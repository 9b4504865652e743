package entry

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/agentclient"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// reply is the entry's side of one answer to a caller.
type reply struct {
	w            http.ResponseWriter
	ctrl         *http.ResponseController
	writeTimeout time.Duration

	headSent  bool
	bytesSent uint64
	// callerGone says that the caller no longer takes the answer.
	callerGone bool
	// events is set for a stream that another target can continue.
	events *eventBuffer
}

func newReply(w http.ResponseWriter, writeTimeout time.Duration) *reply {
	return &reply{w: w, ctrl: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// receiver passes an answer on as it comes. resuming says that the caller has its
// beginning already.
func (p *reply) receiver(resumable, resuming bool) agentclient.Receiver {
	return agentclient.Receiver{
		Head: func(h *wire.Head) error {
			if resuming {
				return p.checkResumedHead(h)
			}

			if resumable && isEventStream(h.GetHeaders()) {
				p.events = &eventBuffer{}
			}

			return p.writeHead(h.GetStatus(), h.GetHeaders())
		},
		Data: p.writeData,
	}
}

// checkResumedHead guards against a target that answers a resumption with something
// else, an error page say: the caller would take it for the rest of its draft.
func (p *reply) checkResumedHead(h *wire.Head) error {
	if h.GetStatus() == http.StatusOK && isEventStream(h.GetHeaders()) {
		return nil
	}

	return eris.Errorf("target did not resume: status %d", h.GetStatus())
}

func (p *reply) writeHead(status int32, headers []*wire.Header) error {
	id := p.w.Header().Get(HeaderRequestID)
	for _, h := range headers {
		if !strings.HasPrefix(h.GetName(), headerPrefix) {
			p.w.Header().Add(h.GetName(), h.GetValue())
		}
	}

	p.w.Header().Set(HeaderRequestID, id)
	p.w.Header().Set(HeaderVerdict, verdict.Ran.String())
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

// writeAnswer gives a whole answer at once.
func (p *reply) writeAnswer(a *wire.Answer) {
	if err := p.writeHead(a.GetStatus(), a.GetHeaders()); err != nil {
		return
	}

	p.events = nil
	_ = p.writeData(a.GetBody())
}

// abort breaks the connection, or resets the HTTP/2 stream, so that the caller
// sees a cut answer as cut and never as ended.
func (p *reply) abort() {
	panic(http.ErrAbortHandler)
}

// flushPending gives what is left of an event stream that ended whole.
func (p *reply) flushPending() {
	if p.events == nil {
		return
	}

	pending := p.events.pending
	p.events = nil
	_ = p.writeData(pending)
}

// resumable reports whether another target can continue what the caller has: a
// stream of numbered events, or one of which no event has been passed on. Going
// on with anything else would give the caller its beginning twice.
func (p *reply) resumable() bool {
	return p.events != nil && (p.bytesSent == 0 || p.events.lastID != "")
}

func isEventStream(headers []*wire.Header) bool {
	for _, h := range headers {
		if strings.EqualFold(h.GetName(), "Content-Type") {
			return strings.HasPrefix(h.GetValue(), "text/event-stream")
		}
	}

	return false
}

// eventBuffer holds back the unfinished last event of a stream. A stream that
// breaks inside an event would otherwise be continued in the middle of it.
type eventBuffer struct {
	pending []byte
	// lastID is the id of the last event passed on.
	lastID string
}

// add takes in b and returns the events that are whole now.
func (v *eventBuffer) add(b []byte) []byte {
	v.pending = append(v.pending, b...)

	end := bytes.LastIndex(v.pending, []byte("\n\n"))
	if end < 0 {
		return nil
	}

	out := bytes.Clone(v.pending[:end+2])
	v.pending = append(v.pending[:0], v.pending[end+2:]...)
	v.recordLastID(out)

	return out
}

func (v *eventBuffer) recordLastID(events []byte) {
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			v.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// collector keeps a whole answer, to be recorded before the caller gets it. One
// that grows too large to be recorded is relayed from then on.
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
