package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
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
