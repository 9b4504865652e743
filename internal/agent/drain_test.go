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

// A caller would be cut off by a planned stop. Streams are open when the agent is
// told to leave; new work is refused as not run, and the agent goes when all are done.
func TestDrainFinishesStreams(t *testing.T) {
	t.Parallel()

	const streams = 8

	g := newGate()
	r := newRig(t, httpTarget(t, g.serve("text/event-stream")), nil)
	drained := make(chan error, 1)

	type open struct {
		resp   *http.Response
		answer answer
		read   func(a *answer)
	}

	var opens []*open

	late := r.booking("/book", "late")

	for range streams {
		resp, frames := r.open(context.Background(), r.request("/draft", "x")) //nolint:bodyclose // closed below
		opens = append(opens, &open{resp: resp, read: func(a *answer) { a.add(frames) }})
		<-g.started
	}

	go func() { drained <- r.agent.Drain(context.Background()) }()

	require.Eventually(t, func() bool { return r.agent.Node().GetLeaving() }, 5*time.Second, time.Millisecond)
	a := r.do(late)
	a.requireRefused(t, wire.Verdict_NotRun, "Stopping")
	require.Zero(t, r.credit().GetSlots())
	require.Empty(t, drained)
	close(g.release)

	for _, o := range opens {
		for o.answer.end == nil && o.answer.err == nil {
			o.read(&o.answer)
		}

		o.answer.requireWhole(t, "first last")
		o.resp.Body.Close()
	}

	r.client.CloseIdleConnections()
	require.NoError(t, <-drained)
	require.NoError(t, <-r.done)
}

// lineHandler calls seen at one line of the log.
type lineHandler struct {
	line string
	seen func()
}

func (h lineHandler) Enabled(context.Context, slog.Level) bool { return true }
func (h lineHandler) WithAttrs([]slog.Attr) slog.Handler       { return h }
func (h lineHandler) WithGroup(string) slog.Handler            { return h }

func (h lineHandler) Handle(_ context.Context, r slog.Record) error {
	if r.Message == h.line {
		h.seen()
	}

	return nil
}

// A booking that ran would be reported as one that may have run: its entry's
// connection broke, and the agent left before the entry could ask.
func TestDrainWaitsForAsks(t *testing.T) {
	t.Parallel()

	g := newGate()
	noticed := make(chan struct{})
	r := newRig(t, httpTarget(t, g.serve("text/plain")), func(a *Agent) {
		a.Logger = slog.New(lineHandler{line: "The entry is gone.", seen: func() { close(noticed) }})
		a.Settings.AttemptQueryWait = 4 * time.Second
		a.Settings.TickInterval = time.Millisecond
	})
	req := r.booking("/book", "x")
	ctx, cancel := context.WithCancel(context.Background())
	resp, frames := r.open(ctx, req)

	var a answer
	a.add(frames)
	<-g.started
	cancel()
	resp.Body.Close()

	drained := make(chan error, 1)

	go func() { drained <- r.agent.Drain(context.Background()) }()

	<-noticed
	close(g.release)
	require.Eventually(t, func() bool { return r.agent.Dump().Load.InFlight == 0 }, 5*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond) // an agent that doesn't wait is gone by now
	require.Equal(t, "first last", string(r.ask(req, true).GetAnswer().GetBody()))
	r.client.CloseIdleConnections()
	require.NoError(t, <-drained)
	require.NoError(t, <-r.done)
}

// A booking's entry is gone, and its agent is told to leave. The core has let go of
// the request, and its answer is not out yet: an agent that goes now cannot be asked.
func TestDrainWaitsForOpenExchanges(t *testing.T) {
	t.Parallel()

	r := newRig(t, httpTarget(t, newGate().serve("text/plain")), nil)
	r.agent.door.leave()
	require.True(t, r.agent.idle())
	r.agent.open.Add(1)
	require.False(t, r.agent.idle())
	r.agent.open.Add(-1)
	require.True(t, r.agent.idle())
}
