package agent

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/internal/fields"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// refusal says why a request gets no response, and whether it may have run.
type refusal struct {
	verdict verdict.Verdict
	cause   verdict.Cause
	retryAt time.Time
	// endedBoot identifies the boot of the target that has ended, if it has.
	endedBoot uint64
}

// serveRequest handles one request of an entry and responds with frames.
func (a *Agent) serveRequest(w http.ResponseWriter, r *http.Request) {
	out := newFrameWriter(w, a.Settings.WriteTimeout)

	pending := &pendingBytes{total: a.pendingBytes}
	defer pending.release()

	req, refused := a.readRequest(w, r, pending)
	if req == nil {
		a.refuse(out, &wire.Request{}, *refused)
		return
	}

	admissionReq := admissionRequest(req)
	now := a.Now()

	var d admission.Decision
	if refused != nil {
		d = a.admitter.reject(now, admissionReq, refused)
	} else {
		d = a.admitter.admit(now, admissionReq)
	}

	if !d.Admitted {
		a.refuse(out, req, refusal{verdict: d.Verdict, cause: d.Cause, retryAt: d.RetryAt})
		return
	}

	a.counters.admitted.Inc(1)
	newExchange(a, req, out, now).run(r.Context())
}

// pendingBytes is what one request takes of MaxPendingBytes: many large requests at once would take memory that the
// target on this VM needs.
type pendingBytes struct {
	total *semaphore.Weighted
	taken int64
}

// grow reports whether there is room for n bytes more.
func (p *pendingBytes) grow(n int64) bool {
	if !p.total.TryAcquire(n) {
		return false
	}

	p.taken += n

	return true
}

func (p *pendingBytes) release() { p.total.Release(p.taken) }

// refuse ends a request without a response. The entry gets a new credit with it, so that an
// entry whose credit has expired need not request one.
func (a *Agent) refuse(out *frameWriter, req *wire.Request, reason refusal) {
	now := a.Now()
	a.counters.refused.Inc(1)

	load, credit := a.admitter.load(now), (*wire.Credit)(nil)

	if id := req.GetCredit().GetEntryID(); id != "" {
		var g admission.Grant

		g, load = a.admitter.renew(now, id)
		credit = creditToWire(g, now)
	}

	_ = out.write(refusalFrame(req.GetAttemptID(), reason, now, loadToWire(load, credit)))
}

func refusalFrame(attemptID string, reason refusal, now time.Time, load *wire.Load) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Refusal{Refusal: &wire.Refusal{
		AttemptID:        attemptID,
		Verdict:          wire.Verdict(reason.verdict),
		Cause:            string(reason.cause),
		RetryAfterMillis: millisUntil(reason.retryAt, now),
		Load:             load,
		EndedBoot:        reason.endedBoot,
	}}}
}

// maxMessageBytes bounds the encoded request.
func (a *Agent) maxMessageBytes() int64 {
	return int64(a.Settings.MaxBodyBytes + a.Settings.MaxHeaderBytes)
}

// readRequest reads a request within its limits. It returns no request if the message has no
// readable attempt ID, and both a request and a refusal if the request was decoded but is
// invalid.
func (a *Agent) readRequest(w http.ResponseWriter, r *http.Request, pending *pendingBytes) (*wire.Request, *refusal) {
	s := a.Settings
	limit := a.maxMessageBytes()
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(s.ReadTimeout))

	raw, err := readBody(http.MaxBytesReader(w, r.Body, limit), min(r.ContentLength, limit), pending)

	var tooLarge *http.MaxBytesError

	switch {
	case errors.As(err, &tooLarge):
		return nil, &refusal{verdict: verdict.NotRun, cause: verdict.CauseTooLarge}
	case errors.Is(err, errPendingFull):
		return nil, &refusal{verdict: verdict.NotRun, cause: verdict.CauseOverload}
	}

	req := new(wire.Request)
	if err != nil || proto.Unmarshal(raw, req) != nil || req.GetAttemptID() == "" {
		return nil, &refusal{verdict: verdict.NotRun, cause: verdict.CauseMalformed}
	}

	_ = rc.SetReadDeadline(time.Time{})

	if cause := checkRequest(req, s); cause != "" {
		return req, &refusal{cause: cause}
	}

	return req, nil
}

// errPendingFull means that there is no room for a request.
var errPendingFull = errors.New("agent: too many bytes of requests are pending")

// firstReadBytes is the size of the buffer into which a body is read at first.
const firstReadBytes = 16 << 10

// readBody reads all of r into memory that it takes as the bytes arrive. The announced size is -1 if it is
// unknown, and may not be what arrives.
func readBody(r io.Reader, size int64, pending *pendingBytes) ([]byte, error) {
	var out []byte

	for {
		if len(out) == cap(out) {
			grown := int64(max(2*cap(out), firstReadBytes))
			if size >= 0 && int64(len(out)) <= size {
				grown = min(grown, size+1) // The last read finds the end.
			}

			if !pending.grow(grown - int64(cap(out))) {
				return nil, errPendingFull
			}

			out = append(make([]byte, 0, grown), out...)
		}

		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]

		switch {
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return out, err //nolint:wrapcheck // the caller checks only the type
		}
	}
}

// checkRequest returns the cause for which a request can't be sent to a target, or "".
func checkRequest(req *wire.Request, s Settings) verdict.Cause {
	if len(req.GetBody()) > s.MaxBodyBytes {
		return verdict.CauseTooLarge
	}

	size := len(req.GetPath()) + len(req.GetMethod())
	for _, h := range req.GetHeaders() {
		size += len(h.GetName()) + len(h.GetValue())

		if !fields.IsToken(h.GetName()) || !fields.IsValue(string(h.GetValue())) {
			return verdict.CauseMalformed
		}
	}

	if size > s.MaxHeaderBytes {
		return verdict.CauseTooLarge
	}

	if xxhash.Sum64(req.GetBody()) != req.GetBodyDigest() || !validRequestLine(req) || !validAttemptID(req.GetAttemptID()) {
		return verdict.CauseMalformed
	}

	if req.GetRemainingMillis() == 0 {
		return verdict.CauseDeadline
	}

	return ""
}

// validRequestLine reports whether method and path can be written on a request line.
func validRequestLine(req *wire.Request) bool {
	if !fields.IsToken(req.GetMethod()) || req.GetMethod() == http.MethodConnect {
		return false
	}

	_, err := url.ParseRequestURI(req.GetPath())

	return err == nil && strings.HasPrefix(req.GetPath(), "/")
}

// maxIDBytes bounds an attempt ID, because IDs are kept in memory.
const maxIDBytes = 128

func validAttemptID(id string) bool {
	return len(id) <= maxIDBytes && fields.IsValue(id)
}

func admissionRequest(req *wire.Request) admission.Request {
	return admission.Request{
		AttemptID:   req.GetAttemptID(),
		Credit:      creditFromWire(req.GetCredit()),
		Service:     req.GetService(),
		ViewVersion: req.GetViewVersion(),
		ViewFresh:   req.GetViewFresh(),
	}
}
