package entry

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Headers of requests from callers and of responses to them.
const (
	HeaderRequestID = "Parsleygate-Request-Id"
	HeaderWorkspace = "Parsleygate-Workspace"
	// HeaderTimeout is the caller's timeout in milliseconds, counted from receipt.
	HeaderTimeout  = "Parsleygate-Timeout-Ms"
	HeaderPriority = "Parsleygate-Priority"
	HeaderKey      = "Idempotency-Key"
	HeaderVerdict  = "Parsleygate-Verdict"
	HeaderCause    = "Parsleygate-Cause"
	// HeaderKeyWindow is how long a key is kept, in seconds from its claim.
	HeaderKeyWindow   = "Parsleygate-Key-Window"
	headerPrefix      = "Parsleygate-"
	headerLastEventID = "Last-Event-ID"
)

// maxIDLength bounds request IDs, keys and workspace names, in bytes.
const maxIDLength = 128

// call is a request of a caller, including its complete body.
type call struct {
	id         string
	service    *wire.Service
	workspace  string
	method     string
	path       string
	headers    []*wire.Header
	body       []byte
	bodyDigest uint64
	deadline   time.Time
	idempotent bool
	key        string
	priority   int
}

// readCall reads a call from r, or returns the refusal of an invalid one.
func (e *Entry) readCall(w http.ResponseWriter, r *http.Request) (*call, *verdict.Error) {
	now := time.Now()
	c := &call{
		id:        r.Header.Get(HeaderRequestID),
		workspace: r.Header.Get(HeaderWorkspace),
		key:       r.Header.Get(HeaderKey),
		method:    r.Method,
		path:      "/" + chi.URLParam(r, "*"),
	}
	if c.id == "" {
		c.id = uuid.NewString()
	}

	w.Header().Set(HeaderRequestID, c.id)

	if r.URL.RawQuery != "" {
		c.path += "?" + r.URL.RawQuery
	}

	if err := c.readTimeoutAndPriority(r, now, e.Limits); err != nil {
		return c, malformed(err)
	}

	view := e.View()

	name := chi.URLParam(r, "service")
	if c.service = view.Service(name); c.service == nil {
		return c, &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseUnknownService, Err: eris.Errorf("no service %q", name)}
	}

	c.idempotent = isIdempotent(c.service, c.method, "/"+chi.URLParam(r, "*"))
	c.headers = forwardedHeaders(r.Header)

	return c, c.readBody(w, r, e.Limits.MaxBodyBytes)
}

func malformed(err error) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseMalformed, Err: err}
}

func (c *call) readTimeoutAndPriority(r *http.Request, now time.Time, limits Limits) error {
	if len(c.id) > maxIDLength || len(c.key) > maxIDLength || len(c.workspace) > maxIDLength {
		return eris.Errorf("request id, key and workspace have at most %d bytes", maxIDLength)
	}

	timeout := limits.DefaultTimeout

	if s := r.Header.Get(HeaderTimeout); s != "" {
		ms, err := strconv.ParseInt(s, 10, 32)
		if err != nil || ms < 1 {
			return eris.Errorf("%s is no number of milliseconds above 0: %q", HeaderTimeout, s)
		}

		timeout = min(time.Duration(ms)*time.Millisecond, limits.MaxTimeout)
	}

	c.deadline = now.Add(timeout)

	if s := r.Header.Get(HeaderPriority); s != "" {
		p, err := strconv.Atoi(s)
		if err != nil || p < -1 || p > 2 {
			return eris.Errorf("%s is no number from -1 to 2: %q", HeaderPriority, s)
		}

		c.priority = p
	}

	return nil
}

func (c *call) readBody(w http.ResponseWriter, r *http.Request, limit int64) *verdict.Error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))

	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &verdict.Error{
			Verdict: verdict.NotRun, Cause: verdict.CauseTooLarge,
			Err: eris.Errorf("a body has at most %d bytes", limit),
		}
	}

	if err != nil {
		return malformed(eris.Wrap(err, "read body"))
	}

	c.body = body
	c.bodyDigest = xxhash.Sum64(body)

	return nil
}

// digest returns a hash of the method, path and body. It detects the use of one key for
// different requests.
func (c *call) digest() []byte {
	h := sha256.New()
	for _, s := range []string{c.method, c.path} {
		_, _ = io.WriteString(h, strconv.Itoa(len(s))+":"+s)
	}

	_, _ = h.Write(c.body)

	return h.Sum(nil)
}

// isIdempotent reports whether the service declares the call idempotent. A call that is
// not declared is not idempotent, whatever its method.
func isIdempotent(s *wire.Service, method, p string) bool {
	for _, pattern := range s.GetIdempotentCalls() {
		patternMethod, patternPath, ok := strings.Cut(pattern, " ")
		if !ok || patternMethod != method {
			continue
		}

		if matched, err := path.Match(patternPath, p); err == nil && matched {
			return true
		}
	}

	return false
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardedHeaders returns the headers that are forwarded to the target.
func forwardedHeaders(h http.Header) []*wire.Header {
	h = h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}

	for _, name := range hopByHopHeaders {
		h.Del(name)
	}

	var out []*wire.Header

	for name, values := range h {
		if strings.HasPrefix(name, headerPrefix) {
			continue
		}

		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: []byte(v)})
		}
	}

	return out
}
