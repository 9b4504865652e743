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
	tokenStreams = 64
	// tokensEach must stand in tokenBody too.
	tokensEach = 400
	tokenBody  = `{"Prompt":"p","Tokens":400}`
)

// BenchmarkTokens measures the processor time of one token of a stream, straight
// from the engine, the baseline, and through entry and agent. Callers, engine and
// the control VMs, which idle meanwhile, are part of both.
func BenchmarkTokens(b *testing.B) {
	ctx, stop := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	l := &local.Instance{
		Deployment: local.Deployment{
			Cluster: "bench", Region: "r", Zones: []string{"z"}, StepBase: 5 * time.Millisecond,
			Services: []local.Service{
				{Name: "assist", Model: true, PerZone: 1, ColdLimit: 4096, WarmLimit: 4096},
				{Name: "desk", PerZone: 1, ColdLimit: 16, WarmLimit: 16},
			},
		},
		Logs: logs.Output{Writer: io.Discard}, Dir: b.TempDir(),
	}
	require.NoError(b, l.Start(ctx, g))
	b.Cleanup(func() {
		stop()

		_ = g.Wait()
	})

	ways := []struct{ name, url string }{
		{"direct", "http://" + l.EngineTargets()[0].Address.String() + "/v1/drafts"},
		{"path", l.Entries()[0] + "/assist/v1/drafts"},
	}

	for _, w := range ways {
		b.Run(w.name, func(b *testing.B) {
			before := cpu(b)

			var refused int64

			for range b.N {
				refused += drafts(b, w.url)
			}

			tokens := float64(b.N * tokenStreams * tokensEach)
			b.ReportMetric(float64((cpu(b)-before).Nanoseconds())/1e3/tokens, "µs-cpu/token")
			b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
		})
	}
}

// drafts reads streams to their end, all at once, and returns how often one was
// refused as not run and sent again.
func drafts(b *testing.B, url string) int64 {
	b.Helper()

	var (
		g       errgroup.Group
		refused atomic.Int64
	)

	for range tokenStreams {
		g.Go(func() error {
			for {
				status, err := draft(b.Context(), url)
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

// draft reads one stream, and returns the answer's status.
func draft(ctx context.Context, url string) (status int, err error) {
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
	if err == nil && bytes.Count(data, []byte("Token")) != tokensEach {
		err = io.ErrUnexpectedEOF
	}

	return resp.StatusCode, err
}
