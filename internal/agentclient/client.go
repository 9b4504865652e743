// Package agentclient is the entry's client for agents. It sends requests, reads the
// framed answers, and queries the outcome of attempts over new connections. A
// connection that timed out or failed is closed and never reused.
package agentclient

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/answers"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// RequestPath is the URL path at which an agent accepts requests and answers in frames.
const RequestPath = "/v1/request"

const (
	// maxFrame bounds the size of one frame, in bytes.
	maxFrame = 1 << 20
	// readBufferSize is the size of the read buffer of each answer, in bytes.
	readBufferSize = 4 << 10
	// maxCallBytes bounds the answers to all other calls that are read at the same time, in bytes. They may hold recorded
	// answers.
	maxCallBytes = 16 << 20
	// maxIdlePerAgent bounds the idle connections to one agent.
	maxIdlePerAgent = 64
)

// Client holds the connections of one entry to all agents. Set its fields before use.
type Client struct {
	// ReadTimeout is how long to wait for the next frame of an answer before the
	// attempt fails as unresponsive. Agents send a heartbeat every second. It also
	// bounds each Ask and Grant call.
	ReadTimeout time.Duration
	// DialTimeout bounds the default dialer's connection attempts. IdleConnTimeout is
	// how long an idle connection is kept.
	DialTimeout     time.Duration
	IdleConnTimeout time.Duration
	// Dial replaces the default dialer, for TLS and in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once      sync.Once
	transport *http.Transport
	// frames carries requests, whose answers are bounded frame by frame, and pooled other calls on the same connections.
	frames           *answers.Transport
	pooled, unpooled *http.Client
}

// errReadTimeout is the cause with which an attempt is canceled after ReadTimeout.
var errReadTimeout = eris.New("agent sent nothing for too long")

// Receiver holds the callbacks for an answer. Head is called at most once, and before
// any call of Data.
type Receiver struct {
	Head func(*wire.Head) error
	Data func([]byte) error
}

// Result is the outcome of an attempt. Err is nil if the answer is complete.
type Result struct {
	Err  *verdict.Error
	Load *wire.Load
	// EndedBoot identifies the boot of the target that ended while it had the request; zero if none is known
	// to have ended.
	EndedBoot uint64
}

func (c *Client) init() {
	c.once.Do(func() {
		if c.Dial == nil {
			c.Dial = (&net.Dialer{Timeout: c.DialTimeout, KeepAlive: -1}).DialContext
		}

		c.transport = &http.Transport{
			DialContext:         c.Dial,
			MaxIdleConnsPerHost: maxIdlePerAgent,
			IdleConnTimeout:     c.IdleConnTimeout,
			DisableCompression:  true,
		}
		c.frames = &answers.Transport{Base: c.transport}
		c.pooled = answers.NewClient(c.transport, maxCallBytes)
		c.unpooled = answers.NewClient(&http.Transport{DialContext: c.Dial, DisableKeepAlives: true, DisableCompression: true}, maxCallBytes)
	})
}

// Send sends req to the agent at address and passes the answer on to receiver.
func (c *Client) Send(ctx context.Context, address netip.AddrPort, req *wire.Request, receiver Receiver) Result {
	c.init()

	body, err := proto.Marshal(req)
	if err != nil {
		return Result{Err: &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseMalformed, Err: err}}
	}

	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	watchdog := time.AfterFunc(c.ReadTimeout, func() { cancel(errReadTimeout) })
	defer watchdog.Stop()

	var conn net.Conn

	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
	})

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+RequestPath, bytes.NewReader(body))
	if err != nil {
		return Result{Err: &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseMalformed, Err: err}}
	}

	// The transport may resend the body if a reused connection failed before any
	// byte was written. The agent rejects every other duplicate by its attempt ID.
	r.Header.Set("Content-Type", "application/x-protobuf")

	resp, err := c.frames.RoundTrip(r)
	if err != nil {
		return Result{Err: c.classify(ctx, err)}
	}
	defer func() { _ = resp.Body.Close() }()

	in := &reader{
		attempt: req.GetAttemptID(), receiver: receiver, digest: xxhash.New(),
		in: bufio.NewReaderSize(resp.Body, readBufferSize), watchdog: watchdog, readTimeout: c.ReadTimeout,
	}

	result, err := in.run(resp.StatusCode)
	if err != nil {
		result.Err = c.classify(ctx, err)
		// The transport pools the connection after any body that was read to its
		// end, even if the answer belonged to another attempt or was corrupted. The
		// next request on that connection could receive wrong data too.
		_ = conn.Close()

		return result
	}

	if !in.atEOF() {
		_ = conn.Close()
	}

	return result
}

// classify returns the verdict and cause of a failed attempt.
func (c *Client) classify(ctx context.Context, err error) *verdict.Error {
	var known *verdict.Error

	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(context.Cause(ctx), errReadTimeout):
		return c.onReadTimeout(err)
	case ctx.Err() != nil:
		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseCancelled, Err: err}
	case dialFailed(err):
		return &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseTargetDown, Err: err}
	default:
		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken, Err: err}
	}
}

// onReadTimeout closes all idle connections. A middlebox that dropped the state of one
// connection has often dropped others to the same agent, and on each of them a
// caller would wait for the whole timeout again.
func (c *Client) onReadTimeout(err error) *verdict.Error {
	c.transport.CloseIdleConnections()

	return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseSilent, Err: err}
}

// dialFailed reports whether the connection was never established, so that no byte of
// the request was sent.
func dialFailed(err error) bool {
	var op *net.OpError

	return errors.As(err, &op) && op.Op == "dial"
}

// reader reads the frames of one answer.
type reader struct {
	attempt     string
	receiver    Receiver
	digest      *xxhash.Digest
	length      uint64
	in          *bufio.Reader
	watchdog    *time.Timer
	readTimeout time.Duration
	headSeen    bool
}

var frameOptions = protodelim.UnmarshalOptions{MaxSize: maxFrame}

// run reads frames up to the end or refusal frame, or the first error.
func (r *reader) run(status int) (Result, error) {
	if status != http.StatusOK {
		return Result{}, eris.Errorf("agent answered with status %d", status)
	}

	for {
		f := &wire.Frame{}

		r.watchdog.Reset(r.readTimeout)

		if err := frameOptions.UnmarshalFrom(r.in, f); err != nil {
			return Result{}, eris.Wrap(err, "read frame")
		}

		// The time that the receiver takes, for instance to write to a slow caller,
		// does not count towards the agent's timeout.
		r.watchdog.Stop()

		res, done, err := r.handleFrame(f)
		if done || err != nil {
			return res, err
		}
	}
}

// atEOF reports whether the response body ends right after the last frame. The
// transport reuses a connection only after the body was read to its end. It returns
// false if more bytes follow, or if nothing arrives within the read timeout.
func (r *reader) atEOF() bool {
	r.watchdog.Reset(r.readTimeout)

	_, err := r.in.ReadByte()

	return errors.Is(err, io.EOF)
}

// handleFrame processes one frame and reports whether it was the last.
func (r *reader) handleFrame(f *wire.Frame) (Result, bool, error) {
	switch k := f.GetKind().(type) {
	case *wire.Frame_Head:
		return Result{}, false, r.handleHead(k.Head)
	case *wire.Frame_Data:
		return Result{}, false, r.handleData(k.Data)
	case *wire.Frame_Heartbeat:
		return Result{}, false, r.checkAttempt(k.Heartbeat.GetAttemptID())
	case *wire.Frame_End:
		res, err := r.handleEnd(k.End)

		return res, true, err
	case *wire.Frame_Refusal:
		res, err := r.handleRefusal(k.Refusal)

		return res, true, err
	default:
		return Result{}, true, eris.New("unknown frame")
	}
}

// checkAttempt guards against crossed answers. A frame with another attempt ID means
// that the connection carries the answer to another request. Nothing of that frame is
// passed on.
func (r *reader) checkAttempt(attempt string) error {
	if attempt == r.attempt {
		return nil
	}

	return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseCrossed}
}

func (r *reader) handleHead(head *wire.Head) error {
	if err := r.checkAttempt(head.GetAttemptID()); err != nil {
		return err
	}

	if r.headSeen {
		return eris.New("second head in one answer")
	}

	// An agent of an earlier build passes on what the HTTP library accepted.
	if err := CheckHead(head.GetStatus(), head.GetHeaders()); err != nil {
		return err
	}

	r.headSeen = true

	return r.receiver.Head(head)
}

// CheckHead returns an error of type *answers.HeadError unless a final answer may have this status and these headers.
func CheckHead(status int32, headers []*wire.Header) error {
	if err := answers.CheckFinalStatus(int(status)); err != nil {
		return err //nolint:wrapcheck // callers compare it
	}

	for _, h := range headers {
		if err := answers.CheckField(h.GetName(), string(h.GetValue())); err != nil {
			return err //nolint:wrapcheck // callers compare it
		}
	}

	return nil
}

func (r *reader) handleData(b []byte) error {
	if !r.headSeen {
		return eris.New("data before head")
	}

	r.length += uint64(len(b))
	_, _ = r.digest.Write(b)

	return r.receiver.Data(b)
}

// handleEnd guards against answers that were truncated or corrupted in transit: the
// length and digest of the data passed on must match those in the end frame.
func (r *reader) handleEnd(end *wire.End) (Result, error) {
	if err := r.checkAttempt(end.GetAttemptID()); err != nil {
		return Result{}, err
	}

	if !r.headSeen || end.GetLength() != r.length || end.GetDigest() != r.digest.Sum64() {
		return Result{}, eris.New("answer is not what the agent sent")
	}

	return Result{Load: end.GetLoad()}, nil
}

func (r *reader) handleRefusal(refusal *wire.Refusal) (Result, error) {
	rejection := &verdict.Error{Verdict: verdict.Verdict(refusal.GetVerdict()), Cause: verdict.Cause(refusal.GetCause())}

	// An agent that could not read a request, or rejected it unread for lack of
	// capacity, sends no attempt ID. The cause is still useful to the caller. But the
	// refusal cannot be matched to this attempt, so NotRun cannot be trusted.
	if refusal.GetAttemptID() == "" {
		rejection.Verdict = verdict.MayHaveRun
	} else if err := r.checkAttempt(refusal.GetAttemptID()); err != nil {
		return Result{}, err
	}

	if refusal.GetRetryAfterMillis() > 0 {
		rejection.RetryAt = time.Now().Add(time.Duration(refusal.GetRetryAfterMillis()) * time.Millisecond)
	}

	return Result{Err: rejection, Load: refusal.GetLoad(), EndedBoot: refusal.GetEndedBoot()}, nil
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.init()
	c.transport.CloseIdleConnections()
}
