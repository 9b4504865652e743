package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/internal/agent"
	"github.com/parsleygate/parsleygate/internal/routing"
)

// targetAnswer is what a target sends, after the head, and how its connection ends then.
type targetAnswer struct {
	head  string
	body  string
	reset bool
}

// Heads of answers that end with their connection.
const (
	streamHead11 = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	streamHead10 = "HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n"
	plainHead    = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
)

// answeringTargets are targets that share a list of answers. The last one is repeated.
type answeringTargets struct {
	mu           sync.Mutex
	answers      []targetAnswer
	lastEventIDs []string
}

func (g *answeringTargets) next(r *http.Request) targetAnswer {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.lastEventIDs = append(g.lastEventIDs, r.Header.Get(headerLastEventID))

	return g.answers[min(len(g.lastEventIDs), len(g.answers))-1]
}

// received returns the values of Last-Event-Id in the requests.
func (g *answeringTargets) received() []string {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.lastEventIDs
}

func (g *answeringTargets) serve(c net.Conn) {
	defer c.Close()

	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}

	_, _ = io.Copy(io.Discard, r.Body)

	a := g.next(r)
	fmt.Fprintf(c, "%s%s: %s\r\n\r\n%s", a.head, agent.HeaderRequestID, r.Header.Get(agent.HeaderRequestID), a.body)

	if a.reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// start starts one of the targets with an agent and returns the agent's address.
func (g *answeringTargets) start(t *testing.T, agentID string) netip.AddrPort {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })

	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}

			go g.serve(c)
		}
	}()

	agentListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	a := &agent.Agent{
		ID: agentID, Zone: "muscat-a", Incarnation: 1, Listener: agentListener,
		View: func() admission.View {
			return admission.View{Version: 7, FreshUntil: time.Now().Add(time.Hour), ColdLimit: 64, WarmLimit: 64}
		},
	}
	a.Settings.Admission.AnnounceTimeout = time.Hour

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- a.Run(ctx) }()

	t.Cleanup(func() {
		cancel()
		<-done
	})
	<-a.Ready()

	address := netip.MustParseAddrPort(agentListener.Addr().String())
	announcement := fmt.Sprintf(`{"BootID":"boot","Address":%q,"Service":%q,"Capacity":64,"InFlight":0}`, ln.Addr(), streamService)

	// The agent ignores InFlight in the first announcement.
	for range 2 {
		resp, err := ownClient().Post("http://"+address.String()+agent.AnnouncePath, "application/json", strings.NewReader(announcement))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
	}

	return address
}

// Guards against a broken answer that is framed as complete, and against a complete one that is
// cut, on the whole path from a target without framing through agent and entry to the caller.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	t.Parallel()

	first := targetAnswer{streamHead11, streamEvents(1, 2), true}
	rest := targetAnswer{streamHead11, streamEvents(3, 4), false}
	complete := callerResult{status: 200, verdict: "Ran", body: streamEvents(1, 4)}
	cutAfterTwo := callerResult{status: 200, verdict: "Ran", body: streamEvents(1, 2), cutOff: true}

	cases := []struct {
		name    string
		answers []targetAnswer
		want    callerResult
		// lastEventIDs are those of the requests that must reach targets.
		lastEventIDs []string
	}{
		{"complete stream", []targetAnswer{{streamHead11, streamEvents(1, 4), false}}, complete, []string{""}},
		{"complete stream of HTTP/1.0", []targetAnswer{{streamHead10, streamEvents(1, 4), false}}, complete, []string{""}},
		{"reset after an event", []targetAnswer{first, rest}, complete, []string{"", "2"}},
		{"end inside an event", []targetAnswer{{streamHead10, streamEvents(1, 2) + "id: 3\nda", false}, rest}, complete, []string{"", "2"}},
		{"end before the first event", []targetAnswer{{streamHead11, "", false}, {streamHead11, streamEvents(1, 4), false}}, complete, []string{"", ""}},
		{"resumed, end before an event", []targetAnswer{first, {streamHead11, "", false}, rest}, complete, []string{"", "2", "2"}},
		{"resumed, end after a comment", []targetAnswer{first, {streamHead10, ": here\n\n", false}}, callerResult{
			status: 200, verdict: "Ran", body: streamEvents(1, 2) + ": here\n\n: here\n\n", cutOff: true,
		}, []string{"", "2", "2"}},
		{"resumed, always end before an event", []targetAnswer{first, {streamHead10, "", false}}, cutAfterTwo, []string{"", "2", "2"}},
		{"complete plain body", []targetAnswer{{plainHead, "whole", false}}, callerResult{status: 200, verdict: "Ran", body: "whole"}, []string{""}},
		{"reset plain body", []targetAnswer{{plainHead, "half", true}}, callerResult{status: 200, verdict: "Ran", body: "half", cutOff: true}, []string{""}},
	}

	posts := map[string]func(f *fixture) callerResult{
		"HTTP/1.1": (*fixture).postStreamRequest,
		"HTTP/1.0": func(f *fixture) callerResult { return f.postHTTP10(streamService+"/v1/drafts", "{}") },
	}
	for proto, post := range posts {
		for _, tc := range cases {
			t.Run(proto+", "+tc.name, func(t *testing.T) {
				t.Parallel()

				g := &answeringTargets{answers: tc.answers}
				f := newFixture(t, streamService, nil)

				var ev routing.TargetsChanged

				for _, id := range []string{"agent-1", "agent-2", "agent-3"} {
					ev.Targets = append(ev.Targets, routing.Target{
						AgentID: id, Service: streamService, Address: g.start(t, id), Zone: "muscat-a", Capacity: 64, Incarnation: 1,
					})
				}

				f.entry.Chooser.ChangeTargets(ev)

				got := post(f)
				require.Equal(t, tc.want, got)
				require.Equal(t, tc.lastEventIDs, g.received())
			})
		}
	}
}
