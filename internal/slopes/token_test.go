package slopes_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/local"
	"github.com/parsleygate/parsleygate/internal/logs"
)

const (
	concurrentStreams = 64
	// tokensPerStream must equal Tokens in tokenBody.
	tokensPerStream = 400
	tokenBody       = `{"Prompt":"p","Tokens":400}`
)

// BenchmarkTokens measures the processor time per token of streams read directly from
// the engine (the baseline), and through entry and agent. Both include callers, engine
// and the control VM, which is idle.
func BenchmarkTokens(b *testing.B) {
	ctx, stop := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	inst := &local.Instance{
		Deployment: local.Deployment{
			Cluster: "bench", Region: "r", Zones: []string{"z"}, StepBase: 5 * time.Millisecond,
			Services: []local.Service{
				{Name: "assist", Model: true, PerZone: 1, ColdLimit: 4096, WarmLimit: 4096},
				{Name: "desk", PerZone: 1, ColdLimit: 16, WarmLimit: 16},
			},
		},
		Logs: logs.Output{Writer: io.Discard}, Dir: b.TempDir(),
	}
	require.NoError(b, inst.Start(ctx, g))
	b.Cleanup(func() {
		stop()

		_ = g.Wait()
	})

	paths := []struct{ name, url string }{
		{"direct", "http://" + inst.EngineTargets()[0].Address.String() + "/v1/drafts"},
		{"path", inst.Entries()[0] + "/assist/v1/drafts"},
	}

	for _, path := range paths {
		b.Run(path.name, func(b *testing.B) {
			before := cpuTime(b)

			var refused int64

			for range b.N {
				refused += readStreams(b, path.url)
			}

			tokens := float64(b.N * concurrentStreams * tokensPerStream)
			b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/1e3/tokens, "µs-cpu/token")
			b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
		})
	}
}

// readStreams reads concurrentStreams streams to their end and returns how often a
// request was refused as not run and resent.
func readStreams(b *testing.B, url string) int64 {
	b.Helper()

	var (
		g       errgroup.Group
		refused atomic.Int64
	)

	for range concurrentStreams {
		g.Go(func() error {
			for {
				status, err := readStream(b.Context(), url)
				if status != http.StatusTooManyRequests {
					return err
				}

				refused.Add(1)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}

	require.NoError(b, g.Wait())

	return refused.Load()
}

// readStream reads one stream and returns the status of the response.
func readStream(ctx context.Context, url string) (status int, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(tokenBody)))
	if err != nil {
		return 0, err
	}

	r.Header.Set("Parsleygate-Request-Id", uuid.NewString())

	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}

	defer func() { _ = resp.Body.Close() }()

	data, err := io.ReadAll(resp.Body)
	if err == nil && bytes.Count(data, []byte("Token")) != tokensPerStream {
		err = io.ErrUnexpectedEOF
	}

	return resp.StatusCode, err
}
