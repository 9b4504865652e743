// Package agentclient is the entry's side of the connection to agents: it sends
// requests, reads the framed answers, and asks about attempts over new
// connections. A connection that fell silent or broke is closed and never used again.
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

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// RequestPath is where an agent takes framed requests.
const RequestPath = "/v1/request"

const (
	// maxFrame bounds one frame, in bytes.
	maxFrame = 1 << 20
	// readBufferSize is the size of the buffer behind each answer, in bytes.
	readBufferSize = 4 << 10
	// maxIdlePerAgent bounds the idle connections to one agent.
	maxIdlePerAgent = 64
)

// Client holds the connections of one entry to all agents. Its fields are set before use.
type Client struct {
	// ReadTimeout is how long an agent may send nothing before its connection counts
	// as silent. Agents send a heartbeat each second.
	ReadTimeout time.Duration
	// DialTimeout bounds a dial; IdleFor is how long an idle connection is kept.
	DialTimeout     time.Duration
	IdleConnTimeout time.Duration
	// Dial replaces the dialer, for tests and TLS.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once      sync.Once
	transport *http.Transport
	unpooled  *http.Transport
}

// errReadTimeout is the cause with which a silent answer is cancelled.
var errReadTimeout = eris.New("agent sent nothing for too long")

// Receiver takes an answer as it comes. Head comes once, before all Data.
type Receiver struct {
	Head func(*wire.Head) error
	Data func([]byte) error
}

// Result is how an attempt ended: whole where Err is nil.
type Result struct {
	Err  *verdict.Error
	Load *wire.Load
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
		c.unpooled = &http.Transport{DialContext: c.Dial, DisableKeepAlives: true, DisableCompression: true}
	})
}

// Send sends req to the agent at address and passes its answer on to rc.
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

	// The transport may send the body again on a reused connection that took no
	// byte of it; anything more the agent refuses by the attempt's id.
	r.Header.Set("Content-Type", "application/x-protobuf")

	resp, err := c.transport.RoundTrip(r)
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
		// The transport keeps the connection of any answer that it has read to its
		// end, also of a crossed or mixed one: the next request on it would get what
		// else is out of step there.
		_ = conn.Close()

		return result
	}

	if !in.atEOF() {
		_ = conn.Close()
	}

	return result
}

// classify names the verdict of a connection's fault.
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

// onReadTimeout closes the idle connections too: what lost track of one connection to
// an agent has often lost its sisters, and each would cost a caller the wait again.
func (c *Client) onReadTimeout(err error) *verdict.Error {
	c.transport.CloseIdleConnections()

	return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseSilent, Err: err}
}

// dialFailed reports whether err shows that no byte of the request was sent.
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

		// While the caller takes its time the agent is not the one who is silent.
		r.watchdog.Stop()

		res, done, err := r.handleFrame(f)
		if done || err != nil {
			return res, err
		}
	}
}

// atEOF reads to the end of the answer, which comes right behind its last
// frame: only then does the transport keep the connection. It reports false
// where more bytes come instead, or nothing.
func (r *reader) atEOF() bool {
	r.watchdog.Reset(r.readTimeout)

	_, err := r.in.ReadByte()

	return errors.Is(err, io.EOF)
}

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

// checkAttempt guards against crossed answers: a frame of another attempt means that
// the connection carries somebody else's answer, and nothing of it is passed on.
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

	r.headSeen = true

	return r.receiver.Head(head)
}

func (r *reader) handleData(b []byte) error {
	if !r.headSeen {
		return eris.New("data before head")
	}

	r.length += uint64(len(b))
	_, _ = r.digest.Write(b)

	return r.receiver.Data(b)
}

// handleEnd guards against answers that were cut or mixed on the way: length and
// digest of what was passed on must be those of what the agent sent.
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
	refused := &verdict.Error{Verdict: verdict.Verdict(refusal.GetVerdict()), Cause: verdict.Cause(refusal.GetCause())}

	// An agent that could not read a request, or would not for lack of room, names
	// no attempt. The cause helps the caller; but whose refusal it is nobody can
	// tell, so that its word that the request did not run counts for nothing.
	if refusal.GetAttemptID() == "" {
		refused.Verdict = verdict.MayHaveRun
	} else if err := r.checkAttempt(refusal.GetAttemptID()); err != nil {
		return Result{}, err
	}

	if refusal.GetRetryAfterMillis() > 0 {
		refused.RetryAt = time.Now().Add(time.Duration(refusal.GetRetryAfterMillis()) * time.Millisecond)
	}

	return Result{Err: refused, Load: refusal.GetLoad()}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.init()
	c.transport.CloseIdleConnections()
}
