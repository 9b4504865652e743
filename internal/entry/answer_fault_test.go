package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Guards against an answer that is altered or fails after its last byte, and whose caller has
// already received the announced length.
func TestBrokenAnswerWithLengthIsNotComplete(t *testing.T) {
	t.Parallel()

	const body = "the whole answer"

	cases := []struct {
		name string
		end  behaviour
	}{
		{"digest of other data", func(_ *fakeAgent, s *answerWriter) {
			_, _ = s.digest.WriteString("other")
			s.end()
		}},
		{"another answer's end", func(_ *fakeAgent, s *answerWriter) {
			s.frame(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{AttemptID: "other", Length: s.length, Digest: s.digest.Sum64()}}})
		}},
		{"refused", func(_ *fakeAgent, s *answerWriter) { s.refuse() }},
		{"broken connection", func(_ *fakeAgent, s *answerWriter) { s.breakConnection() }},
		{"more data than announced", func(_ *fakeAgent, s *answerWriter) {
			s.data("more")
			s.end()
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			a := newFakeAgent(t, "agent-1", func(a *fakeAgent, s *answerWriter) {
				s.headWithLength("text/plain", len(body))
				s.data(body[:4])
				s.data(body[4:])
				tc.end(a, s)
			})
			f := newFixture(t, streamService, nil, a)
			require.True(t, f.postStreamRequest().cutOff)
			require.True(t, f.postHTTP10(streamService+"/v1/drafts", "{}").cutOff)
		})
	}
}

// Guards against an answer with a length of which the last piece is not sent.
func TestCompleteAnswerWithLengthIsWhole(t *testing.T) {
	t.Parallel()

	for _, body := range []string{"", "a", "ab", strings.Repeat("0123456789abcdef", 1<<12)} {
		a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *answerWriter) {
			s.headWithLength("text/plain", len(body))

			for rest := body; rest != ""; {
				n := min(len(rest), 1<<13)
				s.data(rest[:n])
				rest = rest[n:]
			}

			s.end()
		})
		f := newFixture(t, streamService, nil, a)
		want := callerResult{status: http.StatusOK, verdict: "Ran", body: body}
		require.Equal(t, want, f.postStreamRequest())
		require.Equal(t, want, f.postHTTP10(streamService+"/v1/drafts", "{}"))
	}
}

// Guards against a broken answer that reaches its caller framed as complete: each way in which
// an answer breaks, as stream and plain body, to each kind of caller.
func TestBrokenAnswersAreCut(t *testing.T) {
	t.Parallel()

	ends := []struct {
		name   string
		change func(*Entry)
		end    behaviour
	}{
		{"unresponsive agent", withShortReadTimeout, func(_ *fakeAgent, s *answerWriter) { s.stall() }},
		{"deadline", nil, func(_ *fakeAgent, s *answerWriter) { s.stall() }},
		{"broken connection", nil, func(_ *fakeAgent, s *answerWriter) { s.breakConnection() }},
		{"no end", nil, func(*fakeAgent, *answerWriter) {}},
		{"refused as may have run", nil, func(_ *fakeAgent, s *answerWriter) { s.refuse() }},
		{"refused as not run", nil, refuseWith(verdict.NotRun, verdict.CauseOverload)},
		{"another answer", nil, func(_ *fakeAgent, s *answerWriter) { s.headOfAttempt("other") }},
		{"second head", nil, func(_ *fakeAgent, s *answerWriter) {
			s.head(http.StatusOK, "text/plain")
			s.end()
		}},
		{"digest of other data", nil, func(_ *fakeAgent, s *answerWriter) {
			_, _ = s.digest.WriteString("other")
			s.end()
		}},
		{"malformed frame", nil, func(_ *fakeAgent, s *answerWriter) { _, _ = s.w.Write([]byte("\xff\xff\xff\xff\xff")) }},
	}
	for _, tc := range ends {
		for _, contentType := range []string{eventStream, "application/json"} {
			t.Run(tc.name+", "+contentType, func(t *testing.T) {
				t.Parallel()

				a := newFakeAgent(t, "agent-1", func(a *fakeAgent, s *answerWriter) {
					s.head(http.StatusOK, contentType)
					s.data("id: 1\ndata: a\n\n")
					tc.end(a, s)
				})

				posts := []func(f *fixture, path, body string, headers ...string) callerResult{
					(*fixture).post, (*fixture).postKept, (*fixture).postHTTP10, (*fixture).postHTTP2,
				}
				for _, post := range posts {
					f := newFixture(t, nonIdempotentService, tc.change, a)
					got := post(f, nonIdempotentService+"/v1/bookings", "{}", HeaderTimeout, "1500")
					require.True(t, got.cutOff, "%+v", got)
				}
			})
		}
	}
}

// Guards against holding back or cutting a compressed stream, in which no events can be found.
func TestCompressedStreamIsForwarded(t *testing.T) {
	t.Parallel()

	a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *answerWriter) {
		s.headWith(http.StatusOK,
			&wire.Header{Name: "Content-Type", Value: []byte(eventStream)},
			&wire.Header{Name: "Content-Encoding", Value: []byte("br")})
		s.data("bytes without lines")
		s.end()
	})
	f := newFixture(t, streamService, nil, a)
	require.Equal(t, callerResult{status: 200, verdict: "Ran", body: "bytes without lines"}, f.postStreamRequest())
}

// Guards against cutting or holding back a whole failure because its type is that of streams of events,
// while its body is a text.
func TestFailureWithTheTypeOfAStreamIsForwarded(t *testing.T) {
	t.Parallel()

	a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *answerWriter) {
		s.head(http.StatusInternalServerError, eventStream)
		s.data("failed")
		s.end()
	})

	f := newFixture(t, streamService, nil, a)
	want := callerResult{status: 500, verdict: "Ran", body: "failed"}
	require.Equal(t, want, f.postStreamRequest())
	require.Equal(t, want, f.postKept(streamService+"/v1/bookings", "{}"))
}
