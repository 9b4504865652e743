// Package view lets entries and agents follow the replicated state. It polls the
// control VMs, keeps their answers as an immutable snapshot, and tracks until when the
// snapshot may be acted on. Nothing is stored on disk; a restarted process fetches the
// complete state again.
package view

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Reader follows the replicated state by polling one control VM at a time. Set its
// exported fields before calling Init and Run.
type Reader struct {
	// Cluster names the deployment.
	Cluster string
	// Controls holds the addresses of the control VMs.
	Controls []netip.AddrPort
	// Poll sends one poll to a control VM. It must return when ctx is done.
	Poll func(ctx context.Context, control netip.AddrPort, r *wire.PollRequest) (*wire.PollResponse, error)
	// Self describes this process; the reader sets Report.
	Self func() *wire.Node
	// Load returns the current load of this process; if nil, no load is reported.
	Load func() *wire.NodeLoad
	// FindControls, if set, is called after each change of the configuration and
	// returns the control VMs to poll from then on, at least one.
	FindControls func(*Snapshot) []netip.AddrPort
	// OnChange, if set, is called from Run's goroutine after each change of the
	// configuration.
	OnChange func(*Snapshot)
	// Settings holds the intervals; the zero value means DefaultSettings.
	Settings Settings
	Logger   *slog.Logger

	state        *pollState
	current      atomic.Pointer[Snapshot]
	controlIndex int
	failures     int
}

// Settings holds the intervals of a reader.
type Settings struct {
	// Lease is how long the process may act on a snapshot after it was current. It
	// must not exceed the lease of the control VMs.
	Lease time.Duration
	// MaxPollWait is how long a control VM may hold a poll.
	MaxPollWait time.Duration
	// AnswerTimeout is how long an answer may take beyond MaxPollWait.
	AnswerTimeout time.Duration
	// FullAnswerTimeout is the minimum timeout of a poll whose answer holds the
	// complete configuration.
	FullAnswerTimeout time.Duration
	// MinBackoff and MaxBackoff bound the delay after a failed poll.
	MinBackoff, MaxBackoff time.Duration
	// MinPollInterval is the delay between an answer and the next poll.
	MinPollInterval time.Duration
}

// DefaultSettings returns the intervals for the deployment size that parsleygate is
// designed for.
func DefaultSettings() Settings {
	return Settings{
		Lease:             4 * time.Second,
		MaxPollWait:       time.Second,
		AnswerTimeout:     700 * time.Millisecond,
		FullAnswerTimeout: 5 * time.Second,
		MinBackoff:        20 * time.Millisecond,
		MaxBackoff:        500 * time.Millisecond,
		MinPollInterval:   20 * time.Millisecond,
	}
}

// Init prepares the reader for Snapshot and Run. It must be called once, after the
// exported fields are set.
func (r *Reader) Init() {
	if r.Settings == (Settings{}) {
		r.Settings = DefaultSettings()
	}

	if r.Logger == nil {
		r.Logger = slog.New(slog.DiscardHandler)
	}

	r.Logger = r.Logger.With("part", "view")
	r.state = newPollState(r.Settings.Lease)
	r.current.Store(r.state.snapshot)
}

// Snapshot returns the configuration in force. After Init it is never nil; its version
// is 0 until the first answer.
func (r *Reader) Snapshot() *Snapshot { return r.current.Load() }

// Run polls until ctx is done.
func (r *Reader) Run(ctx context.Context) error {
	if len(r.Controls) == 0 {
		return eris.New("no control VM addresses configured")
	}

	r.controlIndex = rand.IntN(len(r.Controls))

	for ctx.Err() == nil {
		err := r.pollOnce(ctx)
		r.delayNextPoll(ctx, err)
	}

	return nil
}

// Leave informs a control VM that this process has finished its work. Call it after
// Run has returned. If it fails, the control VMs expire the process later.
func (r *Reader) Leave(ctx context.Context) error {
	request := r.newRequest()
	request.Gone = true
	request.WaitMillis = 0

	var err error

	for range r.Controls {
		_, err = r.Poll(ctx, r.Controls[r.controlIndex], request)
		if err == nil {
			return nil
		}

		r.controlIndex = (r.controlIndex + 1) % len(r.Controls)
	}

	return err
}

func (r *Reader) newRequest() *wire.PollRequest {
	request := &wire.PollRequest{
		Cluster:      r.Cluster,
		Node:         r.state.numberReport(r.Self()),
		KnownVersion: r.state.snapshot.Version,
		WaitMillis:   uint64(r.pollWait().Milliseconds()),
	}

	if r.Load != nil {
		request.Load = r.Load()
	}

	if r.failures > 0 || !r.state.snapshot.Valid(time.Now()) {
		request.WaitMillis = 0
	}

	return request
}

// pollWait returns how long the next poll may be held. It is random because a change
// answers the polls of all readers at once, and without jitter they would stay
// synchronized.
func (r *Reader) pollWait() time.Duration {
	return r.Settings.MaxPollWait - rand.N(r.Settings.MaxPollWait/pollWaitJitterDivisor+1)
}

// pollWaitJitterDivisor sets the random part of MaxPollWait: 4 means up to a quarter
// is subtracted.
const pollWaitJitterDivisor = 4

// errUnusableAnswer means that a control VM's answer was stale or ignored; another control
// VM may be current.
var errUnusableAnswer = eris.New("answer of the control VM is stale or not applicable")

// pollOnce sends one poll. Its deadline guards against an unresponsive connection: the
// poll times out, and the next one goes to another control VM.
func (r *Reader) pollOnce(ctx context.Context) error {
	request := r.newRequest()
	limit := time.Duration(request.GetWaitMillis())*time.Millisecond + r.Settings.AnswerTimeout

	if request.GetKnownVersion() == 0 {
		limit = max(limit, r.Settings.FullAnswerTimeout)
	}

	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()

	sent := time.Now()

	response, err := r.Poll(ctx, r.Controls[r.controlIndex], request)
	if err != nil {
		return err
	}

	return r.handleAnswer(sent, request.GetKnownVersion(), response)
}

func (r *Reader) handleAnswer(sent time.Time, knownVersion uint64, response *wire.PollResponse) error {
	result := r.state.applyAnswer(sent, knownVersion, response)
	r.current.Store(r.state.snapshot)

	if result == outcomeChanged && r.FindControls != nil {
		r.Controls = r.FindControls(r.state.snapshot)
		r.controlIndex = min(r.controlIndex, len(r.Controls)-1)
	}

	if result == outcomeChanged && r.OnChange != nil {
		r.OnChange(r.state.snapshot)
	}

	if response.GetStale() || result == outcomeIgnored {
		return errUnusableAnswer
	}

	return nil
}

// delayNextPoll waits before the next poll: MinPollInterval after a success, and
// exponential backoff with jitter after a failure, so that readers do not all return
// at once.
func (r *Reader) delayNextPoll(ctx context.Context, err error) {
	wait := r.Settings.MinPollInterval

	if err == nil {
		r.failures = 0
	} else {
		r.Logger.Debug("Poll failed; retrying at the next control VM.", "control", r.Controls[r.controlIndex], "error", err)

		limit := min(r.Settings.MinBackoff<<min(r.failures, 10), r.Settings.MaxBackoff)
		wait = limit/2 + rand.N(limit/2+1)
		r.failures++
		r.controlIndex = (r.controlIndex + 1) % len(r.Controls)
	}

	pauses.Sleep(ctx, wait)
}
