package agent

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// restingTarget answers 503 with a Retry-After, and counts its requests.
func restingTarget(t *testing.T, retryAfter string, requests *int) *fixture {
	t.Helper()

	return newFixture(t, httpTarget(t, func(w http.ResponseWriter, r *http.Request) {
		*requests++

		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	}), nil)
}

// Guards against requests to a target that has asked for rest, and against a rest that outlives the
// target.
func TestTargetThatAsksForRestGetsNoRequests(t *testing.T) {
	t.Parallel()

	requests := 0
	r := restingTarget(t, "60", &requests)

	r.do(r.request("/draft", "x"))

	for range 5 {
		a := r.do(r.request("/draft", "x"))
		a.requireRefused(t, wire.Verdict_NotRun, "Overload")
	}

	require.Equal(t, 1, requests)

	r.announce("boot-2")
	r.do(r.request("/draft", "x"))
	require.Equal(t, 2, requests)
}

// Guards against a target that is stopped because of a rest that is no number.
func TestMalformedRestIsIgnored(t *testing.T) {
	t.Parallel()

	for _, value := range []string{"soon", "-1", "NaN", "Inf", "1e300", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		requests := 0
		r := restingTarget(t, value, &requests)

		r.do(r.request("/draft", "x"))
		r.do(r.request("/draft", "x"))
		require.Equal(t, 2, requests, value)
	}
}
