package agent

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// TestMain also checks that the agents leave no goroutines behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestRelaysRequestAndResponse(t *testing.T) {
	t.Parallel()

	target := httpTarget(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Remaining", r.Header.Get(HeaderRemaining))
		w.Header().Set("X-Path", r.URL.RequestURI())

		for _, word := range strings.Fields(string(body)) {
			_, _ = io.WriteString(w, word+"|")
			w.(http.Flusher).Flush()
		}
	})
	r := newFixture(t, target, nil)

	a := r.do(r.request("/draft?x=1", "two staves leak"))
	a.requireComplete(t, "two|staves|leak|")
	require.EqualValues(t, http.StatusOK, a.head.GetStatus())

	got := map[string]string{}
	for _, h := range a.head.GetHeaders() {
		got[h.GetName()] = string(h.GetValue())
	}

	require.Equal(t, "/draft?x=1", got["X-Path"])
	require.NotEmpty(t, got["X-Remaining"])
	require.NotContains(t, got, HeaderRequestID)
	require.NotZero(t, a.end.GetLoad().GetCredit().GetSlots())
}
