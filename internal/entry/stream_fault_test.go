package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

const eventStream = "text/event-stream"

func answerStream(_ *fakeAgent, s *answerWriter) {
	s.head(http.StatusOK, eventStream)
	s.data(streamEvents(1, 4))
	s.end()
}

// continueStream continues after the event in the Last-Event-ID header.
func continueStream(_ *fakeAgent, s *answerWriter) {
	first := 1

	for _, h := range s.request.GetHeaders() {
		if h.GetName() == headerLastEventID {
			first = int(h.GetValue()[0]-'0') + 1
		}
	}

	s.head(http.StatusOK, eventStream)
	s.data(streamEvents(first, 4))
	s.end()
}

// The connection to the agent fails in different ways while an event stream is relayed.
// The caller must receive every event exactly once, or see that the answer is cut off.
func TestStreamUnderConnectionFaults(t *testing.T) {
	t.Parallel()

	complete := callerResult{status: 200, verdict: "Ran", body: streamEvents(1, 4)}
	cases := []struct {
		name       string
		behaviours []behaviour
		// change, if not nil, is applied to the entry.
		change func(*Entry)
		want   callerResult
	}{
		{name: "complete answer", behaviours: []behaviour{answerStream}, want: complete},
		{
			name: "unresponsive after two events", want: complete, change: withShortReadTimeout,
			behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(streamEvents(1, 2))
				s.stall()
			}, continueStream},
		},
		{
			name: "connection broken inside the third event", want: complete,
			behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(streamEvents(1, 2) + "id: 3\ndata: wo")
				s.breakConnection()
			}, continueStream},
		},
		{
			name: "another request's answer after two events", want: complete,
			behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(streamEvents(1, 2))
				s.frame(&wire.Frame{Kind: &wire.Frame_Head{Head: &wire.Head{AttemptID: "other", Status: 200}}})
			}, continueStream},
		},
		{
			name: "connection broken before the first event", want: complete,
			behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.breakConnection()
			}, continueStream},
		},
		{
			name: "no end frame", want: complete,
			behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(streamEvents(1, 4))
			}, continueStream},
		},
		{
			name: "next target returns an error instead of resuming",
			want: callerResult{status: 200, verdict: "Ran", body: streamEvents(1, 2), cutOff: true},
			behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(streamEvents(1, 2))
				s.breakConnection()
			}, func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusInternalServerError, "text/plain")
				s.data("broken")
				s.end()
			}},
		},
		{
			name: "next target ends without a new event, as its agent reports", want: complete,
			behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(streamEvents(1, 2))
				s.breakConnection()
			}, func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.refuse()
			}, continueStream},
		},
		{
			name: "next target repeats events", want: complete,
			behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(streamEvents(1, 2))
				s.breakConnection()
			}, answerStream},
		},
		{
			name: "next target repeats events, with other line ends and in pieces",
			want: callerResult{status: 200, verdict: "Ran", body: streamEvents(1, 2) + strings.ReplaceAll(streamEvents(3, 4), "\n", "\r\n")},
			behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(streamEvents(1, 2))
				s.breakConnection()
			}, func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)

				for _, b := range strings.ReplaceAll(streamEvents(1, 4), "\n", "\r\n") {
					s.data(string(b))
				}

				s.end()
			}},
		},
		{
			name: "next target repeats an event and breaks", want: complete,
			behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(streamEvents(1, 2))
				s.breakConnection()
			}, func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(streamEvents(1, 1))
				s.breakConnection()
			}, continueStream},
		},
		{
			name: "no target continues",
			want: callerResult{status: 200, verdict: "Ran", body: streamEvents(1, 2), cutOff: true},
			behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(streamEvents(1, 2))
				s.breakConnection()
			}, func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.refuse()
			}},
		},
		{
			name: "not an event stream, cannot be resumed",
			want: callerResult{status: 200, verdict: "Ran", body: "half", cutOff: true},
			behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, "application/json")
				s.data("half")
				s.breakConnection()
			}, answerStream},
		},
		{
			name: "events without IDs, cannot be resumed",
			want: callerResult{status: 200, verdict: "Ran", body: "data: one\n\n", cutOff: true},
			behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data("data: one\n\n")
				s.breakConnection()
			}, answerStream},
		},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			a := newFakeAgent(t, "agent-1", c.behaviours...)
			f := newFixture(t, streamService, c.change, a, a.sibling(t, "agent-2"), a.sibling(t, "agent-3"))
			require.Equal(t, c.want, f.postStreamRequest())
		})
	}
}

// A stream breaks while the control VMs have no leader, as after a power failure of a
// zone. The leases of the agents' views have expired, so every other agent refuses new
// requests until there is a leader. The stream must resume at one of them afterwards.
// It must not be cut off as soon as each of them has refused it once.
func TestStreamResumesAfterAllTargetsRefusedAsStale(t *testing.T) {
	t.Parallel()

	refuseStale := refuseWith(verdict.NotRun, verdict.CauseStale)
	a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *answerWriter) {
		s.head(http.StatusOK, eventStream)
		s.data(streamEvents(1, 2))
		s.breakConnection()
	}, refuseStale, refuseStale, refuseStale, refuseStale, refuseStale, continueStream)
	f := newFixture(t, streamService, nil, a, a.sibling(t, "agent-2"), a.sibling(t, "agent-3"))

	require.Equal(t, callerResult{status: 200, verdict: "Ran", body: streamEvents(1, 4)}, f.postStreamRequest())
	require.Len(t, a.received(), 7)
}

// A caller disconnects while its answer is generated. The agent must see this, or the
// engine continues to generate an answer that no caller reads.
func TestCallerDisconnectReachesAgent(t *testing.T) {
	t.Parallel()

	canceled := make(chan struct{})
	a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *answerWriter) {
		s.head(http.StatusOK, eventStream)
		s.data(streamEvents(1, 1))

		<-s.r.Context().Done()
		close(canceled)
	})
	f := newFixture(t, streamService, nil, a)

	resp, err := ownClient().Post(f.base+"/"+streamService+"/v1/drafts", "application/json", strings.NewReader("{}"))
	require.NoError(t, err)

	_, err = resp.Body.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	<-canceled
}

// An entry is stopped while it relays a stream. New requests must be refused as NotRun,
// and the stream must end completely before the entry does.
func TestStopFinishesStreams(t *testing.T) {
	t.Parallel()

	begun := make(chan struct{})
	resume := make(chan struct{})
	a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *answerWriter) {
		s.head(http.StatusOK, eventStream)
		s.data(streamEvents(1, 2))
		close(begun)
		<-resume
		s.data(streamEvents(3, 4))
		s.end()
	})
	f := newFixture(t, streamService, nil, a)
	answer := make(chan callerResult, 1)

	go func() { answer <- f.postStreamRequest() }()

	<-begun
	f.entry.stopping.Store(true)

	refused := f.postStreamRequest()
	require.Equal(t, "NotRun", refused.verdict)
	require.Equal(t, "Stopping", refused.cause)
	require.Equal(t, "1", refused.retryAfter)

	f.stop()
	close(resume)
	require.Equal(t, streamEvents(1, 4), (<-answer).body)
	require.NoError(t, <-f.done)
}

// Guards against events that are held back until their stream ends, because their lines
// end with CR LF or CR.
func TestEventsAreForwardedWhateverTheirLineEnds(t *testing.T) {
	t.Parallel()

	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		t.Run(fmt.Sprintf("%q", lineEnd), func(t *testing.T) {
			t.Parallel()

			first := strings.ReplaceAll(streamEvents(1, 2), "\n", lineEnd)
			received := make(chan struct{})
			a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(first)

				select {
				case <-received:
				case <-s.r.Context().Done():
				}

				s.breakConnection()
			}, continueStream)
			f := newFixture(t, streamService, nil, a, a.sibling(t, "agent-2"))

			// The timeout ends the test if the events are held back.
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()

			q, err := http.NewRequestWithContext(ctx, http.MethodPost, f.base+"/"+streamService+"/v1/drafts", strings.NewReader("{}"))
			require.NoError(t, err)

			resp, err := ownClient().Do(q)
			require.NoError(t, err)

			defer resp.Body.Close()

			got := make([]byte, len(first))
			_, err = io.ReadFull(resp.Body, got)
			require.NoError(t, err)
			require.Equal(t, first, string(got))
			close(received)

			rest, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, streamEvents(3, 4), string(rest))
		})
	}
}
