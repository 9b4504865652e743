// Package view is the side of entries and agents in following the replicated
// state: it polls the control VMs, holds what they answer as an immutable
// snapshot, and knows until when that may be acted on. Nothing is kept on disk;
// a process that restarts gets everything anew.
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

// Reader follows the replicated state. Set its exported fields before Run.
type Reader struct {
	// Cluster names the deployment.
	Cluster string
	// Controls are the addresses of the control VMs.
	Controls []netip.AddrPort
	// Poll sends one poll to a control VM. It must end when ctx does.
	Poll func(ctx context.Context, control netip.AddrPort, r *wire.PollRequest) (*wire.PollResponse, error)
	// Self says what this process is now; Report is filled in by the reader.
	Self func() *wire.Node
	// Load says what this process has in hand; nil leaves it out.
	Load func() *wire.NodeLoad
	// FindControls, if set, returns the control VMs to ask from now on, after each
	// change of the configuration; at least one.
	FindControls func(*Snapshot) []netip.AddrPort
	// OnChange is called from the goroutine of Run after each change of the
	// configuration, with the new snapshot; nil means none.
	OnChange func(*Snapshot)
	// Settings holds the intervals; the zero value stands for DefaultSettings.
	Settings Settings
	Logger   *slog.Logger

	state        *pollState
	current      atomic.Pointer[Snapshot]
	controlIndex int
	failures     int
}

// Settings are the intervals of a reader.
type Settings struct {
	// Lease is how long the process may act on a view after it was current. It
	// must not exceed the control VMs' own.
	Lease time.Duration
	// MaxPollWait is how long a control VM may hold a poll.
	MaxPollWait time.Duration
	// AnswerTimeout is how long a control VM may take beyond Wait.
	AnswerTimeout time.Duration
	// FullAnswerTimeout is Timeout for a poll whose answer holds everything.
	FullAnswerTimeout time.Duration
	// MinBackoff and BackoffMax bound the pause after a poll that failed.
	MinBackoff, MaxBackoff time.Duration
	// MinPollInterval is the least time between two polls.
	MinPollInterval time.Duration
}

// DefaultSettings returns the intervals for the size that parsleygate is designed for.
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

// Init prepares the reader for Snapshot and Run. It must be called once, after
// the exported fields are set.
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

// Snapshot returns the configuration in force. It is never nil after Init, and
// has version 0 until the first answer.
func (r *Reader) Snapshot() *Snapshot { return r.current.Load() }

// Run polls until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	if len(r.Controls) == 0 {
		return eris.New("no control VM is set")
	}

	r.controlIndex = rand.IntN(len(r.Controls))

	for ctx.Err() == nil {
		err := r.pollOnce(ctx)
		r.delayNextPoll(ctx, err)
	}

	return nil
}

// Leave tells a control VM that this process has finished its work. Call it
// after Run has returned; an error leaves the process to be expired.
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

// pollWait returns how long the next poll may be held. It varies, since a change
// answers the polls of all readers at once, and they would poll in step from then on.
func (r *Reader) pollWait() time.Duration {
	return r.Settings.MaxPollWait - rand.N(r.Settings.MaxPollWait/pollWaitJitterDivisor+1)
}

// pollWaitJitterDivisor divides Wait: 4 lets a poll be held for three quarters of it at least.
const pollWaitJitterDivisor = 4

// errNotCurrent says that a control VM is not current, and another may be.
var errNotCurrent = eris.New("the control VM is not current")

// pollOnce sends one poll. Its deadline guards against a connection that went
// silent: the poll is given up and the next control VM is tried.
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
		return errNotCurrent
	}

	return nil
}

// delayNextPoll waits before the next poll: shortly after success, longer and with
// jitter after failures, so that readers do not return all at once.
func (r *Reader) delayNextPoll(ctx context.Context, err error) {
	wait := r.Settings.MinPollInterval

	if err == nil {
		r.failures = 0
	} else {
		r.Logger.Debug("poll failed", "control", r.Controls[r.controlIndex], "error", err)

		limit := min(r.Settings.MinBackoff<<min(r.failures, 10), r.Settings.MaxBackoff)
		wait = limit/2 + rand.N(limit/2+1)
		r.failures++
		r.controlIndex = (r.controlIndex + 1) % len(r.Controls)
	}

	pauses.For(ctx, wait)
}
