package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/loopback"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// fakeEngine records the orders that it receives.
type fakeEngine struct {
	mu       sync.Mutex
	received []EngineOrder
	// release, if set, blocks each order until it receives a value or is closed.
	release chan struct{}
	// answer, if set, writes the answer to an order.
	answer func(w http.ResponseWriter, o EngineOrder)
}

func (e *fakeEngine) serve(w http.ResponseWriter, r *http.Request) {
	var o EngineOrder
	_ = json.NewDecoder(r.Body).Decode(&o)

	e.mu.Lock()
	e.received = append(e.received, o)
	e.mu.Unlock()

	if e.release != nil {
		<-e.release
	}

	if e.answer != nil {
		e.answer(w, o)
		return
	}

	_ = json.NewEncoder(w).Encode(EngineAnswer{FencingNumber: o.FencingNumber, Done: true})
}

func (e *fakeEngine) orders() []EngineOrder {
	e.mu.Lock()
	defer e.mu.Unlock()

	return append([]EngineOrder(nil), e.received...)
}

func newOrderFixture(t *testing.T, e *fakeEngine) *fixture {
	t.Helper()

	return newFixture(t, httpTarget(t, e.serve), func(a *Agent) {
		a.HighestOrder = func() (uint64, bool) { return 4, true }
		a.Settings.UnsettledOrderTimeout = time.Nanosecond
		a.Settings.OrderTimeout = time.Second
		a.Settings.TickInterval = time.Millisecond
	})
}

func loadOrder(number uint64, version string) *wire.Order {
	return &wire.Order{
		AgentID: "agent-1", Incarnation: 3, FencingNumber: number, Kind: wire.OrderKind_OrderLoadAdapter,
		Subject: "staves", Version: version, Payload: []byte{0, 1},
	}
}

func (r *fixture) submitOrder(o *wire.Order) *wire.OrderResponse {
	r.t.Helper()

	resp, err := r.rpc.Give(context.Background(), o)
	require.NoError(r.t, err)

	return resp
}

// Guards against an engine that ignores fencing numbers and loads an outdated adapter. Orders
// are repeated, late, or for an earlier incarnation; the engine must receive each at most
// once.
func TestOrdersReachEngineOnce(t *testing.T) {
	t.Parallel()

	e := &fakeEngine{}
	r := newOrderFixture(t, e)

	var known atomic.Uint64

	r.agent.HighestOrder = func() (uint64, bool) { return known.Load(), true }

	require.True(t, r.submitOrder(loadOrder(5, "v5")).GetDone())
	require.True(t, r.submitOrder(loadOrder(5, "v5")).GetDone(), "a resent order gets the recorded answer")

	require.Equal(t, "FencedOff", r.submitOrder(loadOrder(4, "v4")).GetCause())
	known.Store(6)
	require.Equal(t, "AnswerLost", r.submitOrder(loadOrder(6, "v6")).GetCause())

	earlier := loadOrder(7, "v7")
	earlier.Incarnation = 2
	require.Equal(t, "EarlierIncarnation", r.submitOrder(earlier).GetCause())

	got := e.orders()
	require.Len(t, got, 1)
	require.Equal(t, EngineOrder{FencingNumber: 5, Kind: "LoadAdapter", Subject: "staves", Version: "v5", Payload: []byte{0, 1}}, got[0])
}

// Guards against two orders that overlap at the engine, and against a resent order that is
// executed again. The first order takes long, and its sender cancels the call.
func TestOrdersAreSerialized(t *testing.T) {
	t.Parallel()

	e := &fakeEngine{release: make(chan struct{})}
	r := newOrderFixture(t, e)
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)

	go func() {
		_, err := r.rpc.Give(ctx, loadOrder(5, "v5"))
		first <- err
	}()

	require.Eventually(t, func() bool { return len(e.orders()) == 1 }, 5*time.Second, time.Millisecond)
	cancel()
	require.Error(t, <-first)

	resent := make(chan *wire.OrderResponse, 1)

	go func() { resent <- r.submitOrder(loadOrder(5, "v5")) }()

	require.Equal(t, "FencingConflict", r.submitOrder(loadOrder(5, "v6")).GetCause())
	e.release <- struct{}{}
	require.True(t, (<-resent).GetDone(), "the order continues after its sender canceled the call")

	go func() { resent <- r.submitOrder(loadOrder(6, "v6")) }()

	require.Eventually(t, func() bool { return len(e.orders()) == 2 }, 5*time.Second, time.Millisecond)
	require.Equal(t, "Busy", r.submitOrder(loadOrder(7, "v7")).GetCause())
	e.release <- struct{}{}
	require.True(t, (<-resent).GetDone())
	require.Equal(t, "FencedOff", r.submitOrder(loadOrder(6, "v6")).GetCause())

	go func() { resent <- r.submitOrder(loadOrder(7, "v7")) }()

	e.release <- struct{}{}
	require.True(t, (<-resent).GetDone())
	require.Len(t, e.orders(), 3)
}

// Guards against a planned stop that interrupts an order at the engine.
func TestDrainWaitsForOrder(t *testing.T) {
	t.Parallel()

	e := &fakeEngine{release: make(chan struct{})}
	r := newOrderFixture(t, e)
	answered := make(chan *wire.OrderResponse, 1)
	drained := make(chan error, 1)

	go func() { answered <- r.submitOrder(loadOrder(5, "v5")) }()

	require.Eventually(t, func() bool { return len(e.orders()) == 1 }, 5*time.Second, time.Millisecond)

	go func() { drained <- r.agent.Drain(context.Background()) }()

	require.Eventually(t, func() bool { return r.agent.Node().GetLeaving() }, 5*time.Second, time.Millisecond)
	require.Equal(t, "Leaving", r.submitOrder(loadOrder(6, "v6")).GetCause())
	time.Sleep(20 * time.Millisecond) // time in which an agent that does not wait would stop
	require.Empty(t, drained)
	close(e.release)
	require.True(t, (<-answered).GetDone())
	r.client.CloseIdleConnections()
	require.NoError(t, <-drained)
}

// Guards against an order that is reported as done but is not, or as failed for certain if it
// may still be carried out. The engine's answer is lost, truncated, empty or for another
// order, or the engine is down.
func TestFaultyEngineAnswers(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name   string
		answer func(w http.ResponseWriter, o EngineOrder)
		cause  string
	}{
		{"refused by the engine", func(w http.ResponseWriter, o EngineOrder) {
			_ = json.NewEncoder(w).Encode(EngineAnswer{FencingNumber: o.FencingNumber, Cause: "NoSpace"})
		}, "NoSpace"},
		{"answer to another order", func(w http.ResponseWriter, o EngineOrder) {
			_ = json.NewEncoder(w).Encode(EngineAnswer{FencingNumber: o.FencingNumber - 1, Done: true})
		}, "EngineSilent"},
		{"answer to another request", func(w http.ResponseWriter, o EngineOrder) {
			w.Header().Set(HeaderRequestID, "other")
			_ = json.NewEncoder(w).Encode(EngineAnswer{FencingNumber: o.FencingNumber, Done: true})
		}, "EngineSilent"},
		{"truncated answer", func(w http.ResponseWriter, _ EngineOrder) { _, _ = io.WriteString(w, `{"FencingNumber":5,"Do`) }, "EngineSilent"},
		{"answer without a result", func(w http.ResponseWriter, o EngineOrder) {
			fmt.Fprintf(w, `{"FencingNumber":%d}`, o.FencingNumber)
		}, "EngineSilent"},
		{"connection closed without an answer", func(http.ResponseWriter, EngineOrder) { panic(http.ErrAbortHandler) }, "EngineSilent"},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			e := &fakeEngine{answer: tc.answer}
			r := newOrderFixture(t, e)
			resp := r.submitOrder(loadOrder(5, "v5"))
			require.False(t, resp.GetDone())
			require.True(t, strings.HasPrefix(resp.GetCause(), tc.cause), resp.GetCause())
			require.EqualValues(t, 5, resp.GetHighestFencingNumber())
		})
	}

	t.Run("engine exceeds the order timeout", func(t *testing.T) {
		t.Parallel()

		e := &fakeEngine{release: make(chan struct{})}
		r := newOrderFixture(t, e)

		require.Contains(t, r.submitOrder(loadOrder(5, "v5")).GetCause(), "EngineSilent")
		close(e.release)
	})
	t.Run("engine down", func(t *testing.T) {
		t.Parallel()

		r := newOrderFixture(t, &fakeEngine{})
		unused, err := loopback.Address()
		require.NoError(t, err)

		down := *r.agent.target.load()
		down.Address = unused
		r.agent.target.latest.Store(&down)
		require.Contains(t, r.submitOrder(loadOrder(5, "v5")).GetCause(), "EngineDown")
	})
	t.Run("highest number unknown after a restart", func(t *testing.T) {
		t.Parallel()

		r := newFixture(t, httpTarget(t, ok), nil)
		require.Equal(t, "HighestNumberUnknown", r.submitOrder(loadOrder(5, "v5")).GetCause())
	})
}

// Guards against announcements from another host and against invalid announcements.
func TestAnnouncements(t *testing.T) {
	t.Parallel()

	r := newFixture(t, httpTarget(t, ok), nil)

	for _, body := range []string{
		"", "no JSON", `{"BootID":"b"}`, `{"BootID":"b","Service":"s","Address":"elsewhere:80"}`,
		`{"BootID":"b","Service":"s","Address":"127.0.0.1:0"}`, `{"BootID":"` + strings.Repeat("x", maxAnnouncementBytes) + `"}`,
	} {
		r.post(AnnouncePath, body, http.StatusBadRequest)
	}

	hr := httptest.NewRequest(http.MethodPost, AnnouncePath, strings.NewReader(`{}`))
	hr.RemoteAddr = "10.0.0.7:1000"
	w := httptest.NewRecorder()
	r.agent.serveAnnounce(w, hr)
	require.Equal(t, http.StatusForbidden, w.Code)

	n := r.agent.Node()
	require.Equal(t, []string{"agent-1", "muscat-a", testService, "boot-1"}, []string{n.GetID(), n.GetZone(), n.GetService(), n.GetBootID()})
	require.Equal(t, r.agent.address().String(), n.GetAddress())
	require.EqualValues(t, 64, n.GetCapacity())

	_, err := r.rpc.Grant(context.Background(), &wire.GrantRequest{})
	require.ErrorContains(t, err, "invalid_argument")
	_, err = r.rpc.Ask(context.Background(), &wire.AskRequest{})
	require.ErrorContains(t, err, "invalid_argument")

	resp, err := r.client.Get(r.url(DumpPath))
	require.NoError(t, err)

	defer resp.Body.Close()

	var d Dump
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&d))
	require.Equal(t, "boot-1", d.Target.BootID)
	require.EqualValues(t, 7, d.View.Version)
}
