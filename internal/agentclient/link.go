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
	// readBuffer is the size of the buffer behind each answer, in bytes.
	readBuffer = 4 << 10
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
	fresh     *http.Transport
}

// errSilent is the cause with which a silent answer is cancelled.
var errSilent = eris.New("agent sent nothing for too long")

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

func (l *Client) init() {
	l.once.Do(func() {
		if l.Dial == nil {
			l.Dial = (&net.Dialer{Timeout: l.DialTimeout, KeepAlive: -1}).DialContext
		}

		l.transport = &http.Transport{
			DialContext:         l.Dial,
			MaxIdleConnsPerHost: maxIdlePerAgent,
			IdleConnTimeout:     l.IdleConnTimeout,
			DisableCompression:  true,
		}
		l.fresh = &http.Transport{DialContext: l.Dial, DisableKeepAlives: true, DisableCompression: true}
	})
}

// Send sends req to the agent at address and passes its answer on to rc.
func (l *Client) Send(ctx context.Context, address netip.AddrPort, req *wire.Request, rc Receiver) Result {
	l.init()

	body, err := proto.Marshal(req)
	if err != nil {
		return Result{Err: &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseMalformed, Err: err}}
	}

	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	watch := time.AfterFunc(l.ReadTimeout, func() { cancel(errSilent) })
	defer watch.Stop()

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

	resp, err := l.transport.RoundTrip(r)
	if err != nil {
		return Result{Err: l.fault(ctx, err)}
	}
	defer func() { _ = resp.Body.Close() }()

	in := &reader{
		attempt: req.GetAttemptID(), receiver: rc, digest: xxhash.New(),
		in: bufio.NewReaderSize(resp.Body, readBuffer), watch: watch, silence: l.ReadTimeout,
	}

	res, err := in.run(resp.StatusCode)
	if err != nil {
		res.Err = l.fault(ctx, err)
		// The transport keeps the connection of any answer that it has read to its
		// end, also of a crossed or mixed one: the next request on it would get what
		// else is out of step there.
		_ = conn.Close()

		return res
	}

	if !in.finish() {
		_ = conn.Close()
	}

	return res
}

// fault names the verdict of a connection's fault.
func (l *Client) fault(ctx context.Context, err error) *verdict.Error {
	var known *verdict.Error

	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(context.Cause(ctx), errSilent):
		return l.silent(err)
	case ctx.Err() != nil:
		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseCancelled, Err: err}
	case neverConnected(err):
		return &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseTargetDown, Err: err}
	default:
		return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken, Err: err}
	}
}

// silent closes the idle connections too: what lost track of one connection to
// an agent has often lost its sisters, and each would cost a caller the wait again.
func (l *Client) silent(err error) *verdict.Error {
	l.transport.CloseIdleConnections()

	return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseSilent, Err: err}
}

// neverConnected reports whether err shows that no byte of the request was sent.
func neverConnected(err error) bool {
	var op *net.OpError

	return errors.As(err, &op) && op.Op == "dial"
}

// reader reads the frames of one answer.
type reader struct {
	attempt  string
	receiver Receiver
	digest   *xxhash.Digest
	length   uint64
	in       *bufio.Reader
	watch    *time.Timer
	silence  time.Duration
	headed   bool
}

var frameOptions = protodelim.UnmarshalOptions{MaxSize: maxFrame}

func (d *reader) run(status int) (Result, error) {
	if status != http.StatusOK {
		return Result{}, eris.Errorf("agent answered with status %d", status)
	}

	for {
		f := &wire.Frame{}

		d.watch.Reset(d.silence)

		if err := frameOptions.UnmarshalFrom(d.in, f); err != nil {
			return Result{}, eris.Wrap(err, "read frame")
		}

		// While the caller takes its time the agent is not the one who is silent.
		d.watch.Stop()

		res, done, err := d.frame(f)
		if done || err != nil {
			return res, err
		}
	}
}

// finish reads to the end of the answer, which comes right behind its last
// frame: only then does the transport keep the connection. It reports false
// where more bytes come instead, or nothing.
func (d *reader) finish() bool {
	d.watch.Reset(d.silence)

	_, err := d.in.ReadByte()

	return errors.Is(err, io.EOF)
}

func (d *reader) frame(f *wire.Frame) (Result, bool, error) {
	switch k := f.GetKind().(type) {
	case *wire.Frame_Head:
		return Result{}, false, d.head(k.Head)
	case *wire.Frame_Data:
		return Result{}, false, d.data(k.Data)
	case *wire.Frame_Heartbeat:
		return Result{}, false, d.mine(k.Heartbeat.GetAttemptID())
	case *wire.Frame_End:
		res, err := d.end(k.End)

		return res, true, err
	case *wire.Frame_Refusal:
		res, err := d.refusal(k.Refusal)

		return res, true, err
	default:
		return Result{}, true, eris.New("unknown frame")
	}
}

// mine guards against crossed answers: a frame of another attempt means that
// the connection carries somebody else's answer, and nothing of it is passed on.
func (d *reader) mine(attempt string) error {
	if attempt == d.attempt {
		return nil
	}

	return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseCrossed}
}

func (d *reader) head(h *wire.Head) error {
	if err := d.mine(h.GetAttemptID()); err != nil {
		return err
	}

	if d.headed {
		return eris.New("second head in one answer")
	}

	d.headed = true

	return d.receiver.Head(h)
}

func (d *reader) data(b []byte) error {
	if !d.headed {
		return eris.New("data before head")
	}

	d.length += uint64(len(b))
	_, _ = d.digest.Write(b)

	return d.receiver.Data(b)
}

// end guards against answers that were cut or mixed on the way: length and
// digest of what was passed on must be those of what the agent sent.
func (d *reader) end(e *wire.End) (Result, error) {
	if err := d.mine(e.GetAttemptID()); err != nil {
		return Result{}, err
	}

	if !d.headed || e.GetLength() != d.length || e.GetDigest() != d.digest.Sum64() {
		return Result{}, eris.New("answer is not what the agent sent")
	}

	return Result{Load: e.GetLoad()}, nil
}

func (d *reader) refusal(f *wire.Refusal) (Result, error) {
	refused := &verdict.Error{Verdict: verdict.Verdict(f.GetVerdict()), Cause: verdict.Cause(f.GetCause())}

	// An agent that could not read a request, or would not for lack of room, names
	// no attempt. The cause helps the caller; but whose refusal it is nobody can
	// tell, so that its word that the request did not run counts for nothing.
	if f.GetAttemptID() == "" {
		refused.Verdict = verdict.MayHaveRun
	} else if err := d.mine(f.GetAttemptID()); err != nil {
		return Result{}, err
	}

	if f.GetRetryAfterMillis() > 0 {
		refused.RetryAt = time.Now().Add(time.Duration(f.GetRetryAfterMillis()) * time.Millisecond)
	}

	return Result{Err: refused, Load: f.GetLoad()}, nil
}

// Close closes the idle connections.
func (l *Client) Close() {
	l.init()
	l.transport.CloseIdleConnections()
}
