package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

const eventStream = "text/event-stream"

func answerDraft(_ *fakeAgent, s *answerWriter) {
	s.head(http.StatusOK, eventStream)
	s.data(draftEvents(1, 4))
	s.end()
}

// resumeDraft goes on after the event that the entry names.
func resumeDraft(_ *fakeAgent, s *answerWriter) {
	first := 1

	for _, h := range s.request.GetHeaders() {
		if h.GetName() == headerLastEventID {
			first = int(h.GetValue()[0]-'0') + 1
		}
	}

	s.head(http.StatusOK, eventStream)
	s.data(draftEvents(first, 4))
	s.end()
}

// A cooper reads a draft as it is written, and the stream fails in every way it
// can. The cooper must get the whole draft, each word once, or see it break off.
func TestStreamUnderConnectionFaults(t *testing.T) {
	t.Parallel()

	complete := callerResult{status: 200, verdict: "Ran", body: draftEvents(1, 4)}
	cases := []struct {
		name   string
		script []behaviour
		// change, if set, alters the entry.
		change func(*Entry)
		want   callerResult
	}{
		{name: "whole", script: []behaviour{answerDraft}, want: complete},
		{
			name: "silent after two words", want: complete, change: withShortReadTimeout,
			script: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(draftEvents(1, 2))
				s.stall()
			}, resumeDraft},
		},
		{
			name: "cut inside the third word", want: complete,
			script: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(draftEvents(1, 2) + "id: 3\ndata: wo")
				s.breakConnection()
			}, resumeDraft},
		},
		{
			name: "crossed after two words: nothing of the other's answer is passed on", want: complete,
			script: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(draftEvents(1, 2))
				s.frame(&wire.Frame{Kind: &wire.Frame_Head{Head: &wire.Head{AttemptID: "other", Status: 200}}})
			}, resumeDraft},
		},
		{
			name: "cut before the first word", want: complete,
			script: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.breakConnection()
			}, resumeDraft},
		},
		{
			name: "ended without the closing frame", want: complete,
			script: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(draftEvents(1, 4))
			}, resumeDraft},
		},
		{
			name: "the next target answers with an error page, not the rest",
			want: callerResult{status: 200, verdict: "Ran", body: draftEvents(1, 2), cutOff: true},
			script: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data(draftEvents(1, 2))
				s.breakConnection()
			}, func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusInternalServerError, "text/plain")
				s.data("broken")
				s.end()
			}},
		},
		{
			name: "no event stream: it cannot be continued",
			want: callerResult{status: 200, verdict: "Ran", body: "half", cutOff: true},
			script: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, "application/json")
				s.data("half")
				s.breakConnection()
			}, answerDraft},
		},
		{
			name: "events without ids: they cannot be continued",
			want: callerResult{status: 200, verdict: "Ran", body: "data: one\n\n", cutOff: true},
			script: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, eventStream)
				s.data("data: one\n\n")
				s.breakConnection()
			}, answerDraft},
		},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			a := newFakeAgent(t, "agent-1", c.script...)
			r := newFixture(t, draftService, c.change, a, a.sibling(t, "agent-2"), a.sibling(t, "agent-3"))
			require.Equal(t, c.want, r.draft())
		})
	}
}

// A cooper has half of a draft as a zone loses its power, and the control VMs have no
// leader for a moment. Until they have one every other agent refuses new work, since it
// cannot know that it is still in use. That is no fault of theirs: the draft goes on at
// one of them afterwards, while its caller still waits. It was cut once each had
// refused it.
func TestStreamResumesAfterAllTargetsRefusedAsStale(t *testing.T) {
	t.Parallel()

	refuseStale := refuseWith(verdict.NotRun, verdict.CauseStale)
	a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *answerWriter) {
		s.head(http.StatusOK, eventStream)
		s.data(draftEvents(1, 2))
		s.breakConnection()
	}, refuseStale, refuseStale, refuseStale, refuseStale, refuseStale, resumeDraft)
	r := newFixture(t, draftService, nil, a, a.sibling(t, "agent-2"), a.sibling(t, "agent-3"))

	require.Equal(t, callerResult{status: 200, verdict: "Ran", body: draftEvents(1, 4)}, r.draft())
	require.Len(t, a.received(), 7)
}

// A trader closes the page while the answer is being written. The engine must
// learn of it, or it goes on computing for nobody.
func TestCallerDisconnectReachesAgent(t *testing.T) {
	t.Parallel()

	canceled := make(chan struct{})
	a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *answerWriter) {
		s.head(http.StatusOK, eventStream)
		s.data(draftEvents(1, 1))

		<-s.r.Context().Done()
		close(canceled)
	})
	r := newFixture(t, draftService, nil, a)

	resp, err := http.Post(r.base+"/"+draftService+"/v1/drafts", "application/json", strings.NewReader("{}"))
	require.NoError(t, err)

	_, err = resp.Body.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	<-canceled
}

// An entry is stopped while a cooper's draft is being written. New requests are
// refused as not run; the draft is written to its end before the entry ends.
func TestStopFinishesStreams(t *testing.T) {
	t.Parallel()

	begun := make(chan struct{})
	resume := make(chan struct{})
	a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *answerWriter) {
		s.head(http.StatusOK, eventStream)
		s.data(draftEvents(1, 2))
		close(begun)
		<-resume
		s.data(draftEvents(3, 4))
		s.end()
	})
	r := newFixture(t, draftService, nil, a)
	answer := make(chan callerResult, 1)

	go func() { answer <- r.draft() }()

	<-begun
	r.entry.stopping.Store(true)

	refused := r.draft()
	require.Equal(t, "NotRun", refused.verdict)
	require.Equal(t, "Stopping", refused.cause)
	require.Equal(t, "1", refused.retryAfter)

	r.stop()
	close(resume)
	require.Equal(t, draftEvents(1, 4), (<-answer).body)
	require.NoError(t, <-r.done)
}
