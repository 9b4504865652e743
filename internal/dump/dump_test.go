package dump_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/dump"
)

func TestHandlerServesDumpAndMetrics(t *testing.T) {
	t.Parallel()

	d := &dump.Dump{Role: "entry", ID: "entry-1", Metrics: metrics.NewRegistry()}
	n := 0

	d.Add("Requests", func() any {
		n++

		return map[string]int{"Taken": n}
	})
	metrics.GetOrRegisterCounter("Sent", d.Metrics).Inc(3)

	get := func(path string) string {
		w := httptest.NewRecorder()
		d.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		require.Equal(t, http.StatusOK, w.Code)
		require.Equal(t, "application/json", w.Header().Get("Content-Type"))

		return w.Body.String()
	}

	require.JSONEq(t, `{"Sent":{"count":3}}`, get("/metrics"))

	for want := 1; want <= 2; want++ {
		var s dump.State

		require.NoError(t, json.Unmarshal([]byte(get("/dump")), &s))
		require.Equal(t, "entry-1", s.ID)
		require.Equal(t, []dump.Part{{Name: "Requests", State: map[string]any{"Taken": float64(want)}}}, s.Parts)
	}
}

// Guards against metrics that are served as they were before the last update.
func TestMetricsAreUpdatedBeforeTheyAreServed(t *testing.T) {
	t.Parallel()

	d := &dump.Dump{Metrics: metrics.NewRegistry()}
	d.BeforeMetrics(func() { metrics.GetOrRegisterCounter("Updates", d.Metrics).Inc(1) })

	for path, want := range map[string]string{"/metrics": `"count":`, "/metrics.txt": "Updates "} {
		before := metrics.GetOrRegisterCounter("Updates", d.Metrics).Count()
		w := httptest.NewRecorder()
		d.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		require.Contains(t, w.Body.String(), want+strconv.FormatInt(before+1, 10))
	}
}
