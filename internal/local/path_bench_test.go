package local_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/local"
	"github.com/parsleygate/parsleygate/internal/logs"
)

// benchDeployment returns one zone with one booking service and one engine, whose
// limits are above the number of callers.
func benchDeployment() local.Deployment {
	return local.Deployment{
		Cluster: "bench", Region: "r", Zones: []string{"z"},
		Services: []local.Service{
			{Name: "assist", Model: true, PerZone: 1, ColdLimit: 4096, WarmLimit: 4096},
			{Name: "desk", PerZone: 1, ColdLimit: 4096, WarmLimit: 4096},
		},
		StepBase: 50 * time.Millisecond,
	}
}

func startBenchDeployment(b *testing.B) *local.Instance {
	b.Helper()

	ctx, stop := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	inst := &local.Instance{Deployment: benchDeployment(), Logs: logs.Output{Writer: io.Discard}, Dir: b.TempDir()}
	require.NoError(b, inst.Start(ctx, g))
	b.Cleanup(func() {
		stop()

		_ = g.Wait()
	})

	return inst
}

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()

	var u syscall.Rusage

	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// timeBooking sends a booking and returns the time until the answer was read.
func timeBooking(b *testing.B, client *http.Client, url, key string) time.Duration {
	b.Helper()

	start := time.Now()

	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader([]byte(`{"Ref":"r","Slot":"s"}`)))
	require.NoError(b, err)

	r.Header.Set("Parsleygate-Request-Id", "direct")

	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}

	resp, err := client.Do(r)
	require.NoError(b, err)

	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	require.Equal(b, http.StatusCreated, resp.StatusCode)

	return time.Since(start)
}

// BenchmarkPath compares three ways of sending a booking: directly to the booking
// service (the baseline), through entry and agent, and through them with an
// idempotency key, which is claimed in the ledger on synced disks. The processor
// time is that of the whole process, callers included.
func BenchmarkPath(b *testing.B) {
	inst := startBenchDeployment(b)
	direct := "http://" + inst.BookingTargets()[0].Address.String() + "/v1/bookings"
	viaEntry := inst.Entries()[0] + "/desk/v1/bookings"

	var keys atomic.Int64

	paths := []struct {
		name string
		url  string
		key  func() string
	}{
		{name: "direct", url: direct, key: func() string { return "" }},
		{name: "path", url: viaEntry, key: func() string { return "" }},
		{name: "claimed", url: viaEntry, key: func() string { return strconv.FormatInt(keys.Add(1), 10) }},
	}

	for _, callers := range []int{1, 16, 64} {
		var baseline float64

		for _, path := range paths {
			b.Run(fmt.Sprintf("callers=%d/%s", callers, path.name), func(b *testing.B) {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
				defer client.CloseIdleConnections()

				var totalLatency atomic.Int64

				before := cpuTime(b)
				start := time.Now()

				var g errgroup.Group

				for range callers {
					g.Go(func() error {
						for range b.N/callers + 1 {
							totalLatency.Add(int64(timeBooking(b, client, path.url, path.key())))
						}

						return nil
					})
				}

				require.NoError(b, g.Wait())

				n := float64(callers * (b.N/callers + 1))
				elapsed := time.Since(start)
				used := cpuTime(b) - before
				mean := float64(totalLatency.Load()) / n / 1e3

				if path.name == "direct" {
					baseline = mean
				}

				b.ReportMetric(mean, "µs-latency")
				b.ReportMetric(float64(used.Microseconds())/n, "µs-cpu")
				b.ReportMetric(n/used.Seconds(), "req/s-a-core")
				b.ReportMetric(n/elapsed.Seconds(), "req/s")
				b.ReportMetric(mean/baseline, "latency-ratio")
			})
		}
	}
}

// BenchmarkOpenStreams opens streams through entry and agent. It reports the
// goroutines and bytes per stream of caller, entry, agent and engine together.
func BenchmarkOpenStreams(b *testing.B) {
	inst := startBenchDeployment(b)
	client := &http.Client{Transport: &http.Transport{}}
	url := inst.Entries()[0] + "/assist/v1/drafts"

	const streams = 400

	for range b.N {
		ctx, stop := context.WithCancel(context.Background())
		goroutines, heap := runtime.NumGoroutine(), heapInUse()

		for n := range streams {
			body := fmt.Sprintf(`{"Prompt":"p%d","Tokens":100000}`, n)

			r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
			require.NoError(b, err)

			resp, err := client.Do(r) //nolint:bodyclose // open until stop
			require.NoError(b, err)
			require.Equal(b, http.StatusOK, resp.StatusCode)
		}

		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/streams, "goroutines/stream")
		b.ReportMetric(float64(heapInUse()-heap)/streams, "bytes/stream")
		stop()
		client.CloseIdleConnections()
	}
}

func heapInUse() uint64 {
	runtime.GC()

	var m runtime.MemStats

	runtime.ReadMemStats(&m)

	return m.HeapInuse + m.StackInuse
}
