package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// postHTTP10 sends a request as a caller of HTTP/1.0, which gets answers without chunks.
func (f *fixture) postHTTP10(path, body string, headers ...string) callerResult {
	f.t.Helper()

	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", strings.TrimPrefix(f.base, "http://"))
	require.NoError(f.t, err)

	defer c.Close()

	_, err = fmt.Fprintf(c, "POST /%s HTTP/1.0\r\nContent-Length: %d\r\n", path, len(body))
	require.NoError(f.t, err)

	for i := 0; i < len(headers); i += 2 {
		_, err = fmt.Fprintf(c, "%s: %s\r\n", headers[i], headers[i+1])
		require.NoError(f.t, err)
	}

	_, err = io.WriteString(c, "\r\n"+body)
	require.NoError(f.t, err)

	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(f.t, err)

	defer resp.Body.Close()

	require.Empty(f.t, resp.TransferEncoding)

	text, err := io.ReadAll(resp.Body)

	return callerResult{
		status: resp.StatusCode, verdict: resp.Header.Get(HeaderVerdict), cause: resp.Header.Get(HeaderCause),
		body: string(text), cutOff: err != nil,
	}
}

// Guards against a cut answer that looks complete to a caller of HTTP/1.0, whose answers
// end with the connection.
func TestCutAnswersToHTTP10AreReset(t *testing.T) {
	t.Parallel()

	for _, contentType := range []string{eventStream, "application/json"} {
		t.Run(contentType, func(t *testing.T) {
			t.Parallel()

			a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusOK, contentType)
				s.data("data: one\n\n")
				s.breakConnection()
			})
			f := newFixture(t, streamService, nil, a)

			got := f.postHTTP10(streamService+"/v1/drafts", "{}")
			require.Equal(t, 200, got.status)
			require.True(t, got.cutOff, "the answer ended as complete with %q", got.body)
		})
	}
}

// Guards against resetting complete answers to callers of HTTP/1.0 that read them slowly.
func TestCompleteAnswersToHTTP10AreWhole(t *testing.T) {
	t.Parallel()

	body := strings.Repeat("0123456789abcdef", 1<<19)
	a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *answerWriter) {
		s.head(http.StatusOK, "application/json")

		for rest := body; rest != ""; {
			n := min(len(rest), 1<<15)
			s.data(rest[:n])
			rest = rest[n:]
		}

		s.end()
	})
	f := newFixture(t, streamService, nil, a)

	got := f.postHTTP10(streamService+"/v1/drafts", "{}")
	require.False(t, got.cutOff)
	require.True(t, body == got.body, "got %d bytes", len(got.body))

	refused := f.postHTTP10("unknown/v1/drafts", "{}")
	require.Equal(t, 404, refused.status)
	require.False(t, refused.cutOff)
	require.NotEmpty(t, refused.body)
}
