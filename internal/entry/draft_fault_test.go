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

func drafted(_ *fakeAgent, s *sender) {
	s.head(http.StatusOK, eventStream)
	s.data(events(1, 4))
	s.end()
}

// resumed goes on after the event that the entry names.
func resumed(_ *fakeAgent, s *sender) {
	first := 1

	for _, h := range s.request.GetHeaders() {
		if h.GetName() == lastEventID {
			first = int(h.GetValue()[0]-'0') + 1
		}
	}

	s.head(http.StatusOK, eventStream)
	s.data(events(first, 4))
	s.end()
}

// A cooper reads a draft as it is written, and the stream fails in every way it
// can. The cooper must get the whole draft, each word once, or see it break off.
func TestDraftFaults(t *testing.T) {
	t.Parallel()

	whole := said{status: 200, verdict: "Ran", body: events(1, 4)}
	cases := []struct {
		name   string
		script []behaviour
		// change, if set, alters the entry.
		change func(*Entry)
		want   said
	}{
		{name: "whole", script: []behaviour{drafted}, want: whole},
		{
			name: "silent after two words", want: whole, change: impatient,
			script: []behaviour{func(_ *fakeAgent, s *sender) {
				s.head(http.StatusOK, eventStream)
				s.data(events(1, 2))
				s.silent()
			}, resumed},
		},
		{
			name: "cut inside the third word", want: whole,
			script: []behaviour{func(_ *fakeAgent, s *sender) {
				s.head(http.StatusOK, eventStream)
				s.data(events(1, 2) + "id: 3\ndata: wo")
				s.cut()
			}, resumed},
		},
		{
			name: "crossed after two words: nothing of the other's answer is passed on", want: whole,
			script: []behaviour{func(_ *fakeAgent, s *sender) {
				s.head(http.StatusOK, eventStream)
				s.data(events(1, 2))
				s.frame(&wire.Frame{Kind: &wire.Frame_Head{Head: &wire.Head{AttemptID: "other", Status: 200}}})
			}, resumed},
		},
		{
			name: "cut before the first word", want: whole,
			script: []behaviour{func(_ *fakeAgent, s *sender) {
				s.head(http.StatusOK, eventStream)
				s.cut()
			}, resumed},
		},
		{
			name: "ended without the closing frame", want: whole,
			script: []behaviour{func(_ *fakeAgent, s *sender) {
				s.head(http.StatusOK, eventStream)
				s.data(events(1, 4))
			}, resumed},
		},
		{
			name: "the next target answers with an error page, not the rest",
			want: said{status: 200, verdict: "Ran", body: events(1, 2), cut: true},
			script: []behaviour{func(_ *fakeAgent, s *sender) {
				s.head(http.StatusOK, eventStream)
				s.data(events(1, 2))
				s.cut()
			}, func(_ *fakeAgent, s *sender) {
				s.head(http.StatusInternalServerError, "text/plain")
				s.data("broken")
				s.end()
			}},
		},
		{
			name: "no event stream: it cannot be continued",
			want: said{status: 200, verdict: "Ran", body: "half", cut: true},
			script: []behaviour{func(_ *fakeAgent, s *sender) {
				s.head(http.StatusOK, "application/json")
				s.data("half")
				s.cut()
			}, drafted},
		},
		{
			name: "events without ids: they cannot be continued",
			want: said{status: 200, verdict: "Ran", body: "data: one\n\n", cut: true},
			script: []behaviour{func(_ *fakeAgent, s *sender) {
				s.head(http.StatusOK, eventStream)
				s.data("data: one\n\n")
				s.cut()
			}, drafted},
		},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			a := newFakeAgent(t, "agent-1", c.script...)
			r := newRig(t, draftService, c.change, a, a.sibling(t, "agent-2"), a.sibling(t, "agent-3"))
			require.Equal(t, c.want, r.draft())
		})
	}
}

// A cooper has half of a draft as a zone loses its power, and the control VMs have no
// leader for a moment. Until they have one every other agent refuses new work, since it
// cannot know that it is still in use. That is no fault of theirs: the draft goes on at
// one of them afterwards, while its caller still waits. It was cut once each had
// refused it.
func TestDraftOutlivesALostLeader(t *testing.T) {
	t.Parallel()

	refused := refusing(verdict.NotRun, verdict.CauseStale)
	a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *sender) {
		s.head(http.StatusOK, eventStream)
		s.data(events(1, 2))
		s.cut()
	}, refused, refused, refused, refused, refused, resumed)
	r := newRig(t, draftService, nil, a, a.sibling(t, "agent-2"), a.sibling(t, "agent-3"))

	require.Equal(t, said{status: 200, verdict: "Ran", body: events(1, 4)}, r.draft())
	require.Len(t, a.got(), 7)
}

// A trader closes the page while the answer is being written. The engine must
// learn of it, or it goes on computing for nobody.
func TestCallerDisconnectReachesAgent(t *testing.T) {
	t.Parallel()

	gone := make(chan struct{})
	a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *sender) {
		s.head(http.StatusOK, eventStream)
		s.data(events(1, 1))

		<-s.r.Context().Done()
		close(gone)
	})
	r := newRig(t, draftService, nil, a)

	resp, err := http.Post(r.base+"/"+draftService+"/v1/drafts", "application/json", strings.NewReader("{}"))
	require.NoError(t, err)

	_, err = resp.Body.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	<-gone
}

// An entry is stopped while a cooper's draft is being written. New requests are
// refused as not run; the draft is written to its end before the entry ends.
func TestStopFinishesStreams(t *testing.T) {
	t.Parallel()

	begun := make(chan struct{})
	goOn := make(chan struct{})
	a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *sender) {
		s.head(http.StatusOK, eventStream)
		s.data(events(1, 2))
		close(begun)
		<-goOn
		s.data(events(3, 4))
		s.end()
	})
	r := newRig(t, draftService, nil, a)
	answer := make(chan said, 1)

	go func() { answer <- r.draft() }()

	<-begun
	r.entry.stopping.Store(true)

	refused := r.draft()
	require.Equal(t, "NotRun", refused.verdict)
	require.Equal(t, "Stopping", refused.cause)
	require.Equal(t, "1", refused.retry)

	r.stop()
	close(goOn)
	require.Equal(t, events(1, 4), (<-answer).body)
	require.NoError(t, <-r.done)
}
