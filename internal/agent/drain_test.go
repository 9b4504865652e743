package agent

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Guards against a planned stop that breaks streams. With streams open, a draining agent must
// refuse new requests as not run and stop only when all streams are complete.
func TestDrainFinishesStreams(t *testing.T) {
	t.Parallel()

	const streams = 8

	bt := newBlockingTarget()
	r := newFixture(t, httpTarget(t, bt.serve("text/event-stream")), nil)
	drained := make(chan error, 1)

	type openStream struct {
		resp   *http.Response
		answer response
		read   func(a *response)
	}

	var open []*openStream

	refused := r.nonIdempotentRequest("/book", "late")

	for range streams {
		resp, frames := r.open(context.Background(), r.request("/draft", "x")) //nolint:bodyclose // closed below
		open = append(open, &openStream{resp: resp, read: func(a *response) { a.readFrame(frames) }})
		<-bt.started
	}

	go func() { drained <- r.agent.Drain(context.Background()) }()

	require.Eventually(t, func() bool { return r.agent.Node().GetLeaving() }, 5*time.Second, time.Millisecond)
	a := r.do(refused)
	a.requireRefused(t, wire.Verdict_NotRun, "Stopping")
	require.Zero(t, r.credit().GetSlots())
	require.Empty(t, drained)
	close(bt.release)

	for _, s := range open {
		for s.answer.end == nil && s.answer.err == nil {
			s.read(&s.answer)
		}

		s.answer.requireComplete(t, firstPiece+lastPiece)
		s.resp.Body.Close()
	}

	r.client.CloseIdleConnections()
	require.NoError(t, <-drained)
	require.NoError(t, <-r.runErr)
}

// messageHandler calls onMessage for each log record with the given message.
type messageHandler struct {
	message   string
	onMessage func()
}

func (h messageHandler) Enabled(context.Context, slog.Level) bool { return true }
func (h messageHandler) WithAttrs([]slog.Attr) slog.Handler       { return h }
func (h messageHandler) WithGroup(string) slog.Handler            { return h }

func (h messageHandler) Handle(_ context.Context, r slog.Record) error {
	if r.Message == h.message {
		h.onMessage()
	}

	return nil
}

// Guards against a request that ran being reported as one that may have run, because its
// entry's connection broke and the agent stopped before the entry could query the outcome.
func TestDrainWaitsForAttemptQueries(t *testing.T) {
	t.Parallel()

	bt := newBlockingTarget()
	disconnected := make(chan struct{})
	r := newFixture(t, httpTarget(t, bt.serve("text/plain")), func(a *Agent) {
		a.Logger = slog.New(messageHandler{message: "Entry disconnected during a request.", onMessage: func() { close(disconnected) }})
		a.Settings.AttemptQueryWait = 4 * time.Second
		a.Settings.TickInterval = time.Millisecond
	})
	req := r.nonIdempotentRequest("/book", "x")
	ctx, cancel := context.WithCancel(context.Background())
	resp, frames := r.open(ctx, req)

	var a response
	a.readFrame(frames)
	<-bt.started
	cancel()
	resp.Body.Close()

	drained := make(chan error, 1)

	go func() { drained <- r.agent.Drain(context.Background()) }()

	<-disconnected
	close(bt.release)
	require.Eventually(t, func() bool { return r.agent.Dump().Load.InFlight == 0 }, 5*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond) // time in which an agent that does not wait would stop
	require.Equal(t, firstPiece+lastPiece, string(r.queryAttempt(req, true).GetAnswer().GetBody()))
	r.client.CloseIdleConnections()
	require.NoError(t, <-drained)
	require.NoError(t, <-r.runErr)
}

// Guards against stopping between the release of a request by the admission core and the end
// of its exchange. A disconnected entry could then no longer query the response.
func TestDrainWaitsForOpenExchanges(t *testing.T) {
	t.Parallel()

	r := newFixture(t, httpTarget(t, newBlockingTarget().serve("text/plain")), nil)
	r.agent.admitter.drain()
	require.True(t, r.agent.idle())
	r.agent.openExchanges.Add(1)
	require.False(t, r.agent.idle())
	r.agent.openExchanges.Add(-1)
	require.True(t, r.agent.idle())
}
