package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure makes calls from a number of workers, and returns the mean latency and CPU time of
// one call.
func measure(calls, workers int, call func(worker int)) (latency, cpu time.Duration) {
	var wg sync.WaitGroup

	start, cpuStart := time.Now(), cpuTime()

	for w := range workers {
		wg.Go(func() {
			for range calls / workers {
				call(w)
			}
		})
	}

	wg.Wait()

	completed := time.Duration(max(calls/workers*workers, 1))

	return time.Since(start) * time.Duration(workers) / completed, (cpuTime() - cpuStart) / completed
}

// BenchmarkAgentOverhead compares calls through the agent with direct calls to the same
// target, in one run. The CPU time includes client, agent and target.
func BenchmarkAgentOverhead(b *testing.B) {
	target := httpTarget(b, ok)
	r := newFixture(b, target, func(a *Agent) {
		a.Settings.Admission.MaxAttempts = 1 << 20
		a.View = func() admission.View {
			return admission.View{Version: 7, FreshUntil: time.Now().Add(time.Hour), ColdLimit: 1024, WarmLimit: 1024}
		}
		a.Settings.Admission.AttemptRetention = time.Second
	})
	r.post(AnnouncePath, `{"BootID":"boot-1","Address":"`+target.String()+`","Service":"`+testService+`","Capacity":1024,"InFlight":0}`, 204)

	body := bytes.Repeat([]byte("x"), 512)

	for _, workers := range []int{1, 16, 64} {
		for _, kind := range []string{"idempotent", "non-idempotent"} {
			b.Run(kind+"/workers="+strconv.Itoa(workers), func(b *testing.B) {
				direct := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers, DisableKeepAlives: kind == "non-idempotent"}}
				defer direct.CloseIdleConnections()

				callDirect := func(int) {
					hr, _ := http.NewRequest(http.MethodPost, "http://"+target.String()+"/x", bytes.NewReader(body))

					resp, err := direct.Do(hr)
					if err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						resp.Body.Close()
					}
				}
				// Each worker has its own connection and credit. Like an entry, it uses the
				// credit from the last response for the next request.
				requests := make([]*wire.Request, workers)
				for w := range requests {
					requests[w] = r.request("/x", string(body))
					requests[w].Idempotent = kind == "idempotent"
				}

				callAgent := func(w int) {
					req := requests[w]
					req.AttemptID = strconv.FormatUint(r.attempts.Add(1), 10)

					a := r.do(req)
					if a.end == nil {
						b.Errorf("response is incomplete: refusal %v", a.refusal)
						return
					}

					req.Credit = a.end.GetLoad().GetCredit()
				}

				measure(workers*4, workers, callDirect)
				b.ResetTimer()

				directLatency, directCPU := measure(b.N, workers, callDirect)
				agentLatency, agentCPU := measure(b.N, workers, callAgent)

				b.ReportMetric(float64(directLatency.Microseconds()), "direct-µs")
				b.ReportMetric(float64(agentLatency.Microseconds()), "agent-µs")
				b.ReportMetric(float64(agentLatency)/float64(directLatency), "latency-ratio")
				b.ReportMetric(float64(agentCPU)/float64(directCPU), "cpu-ratio")
				b.ReportMetric(float64(directCPU.Microseconds()), "direct-cpu-µs")
				b.ReportMetric(float64(agentCPU.Microseconds()), "agent-cpu-µs")
			})
		}
	}
}

// BenchmarkOpenStream reports the goroutines and bytes that one open stream needs in the
// agent. As the process also contains client and target, the cost of the same streams without
// the agent is subtracted.
func BenchmarkOpenStream(b *testing.B) {
	const streams = 400

	for range b.N {
		bt := newBlockingTarget()
		bt.started = make(chan struct{}, 3*streams)
		bt.canceled = make(chan struct{}, 3*streams)
		target := httpTarget(b, bt.serve("text/event-stream"))
		r := newFixture(b, target, func(a *Agent) {
			a.View = func() admission.View {
				return admission.View{Version: 7, FreshUntil: time.Now().Add(time.Hour), ColdLimit: 1024, WarmLimit: 1024}
			}
		})
		r.post(AnnouncePath, `{"BootID":"boot-1","Address":"`+target.String()+`","Service":"`+testService+`","Capacity":1024,"InFlight":0}`, 204)

		direct := measureOpen(b, streams, bt, func() io.Closer {
			resp, err := http.Post("http://"+target.String(), "text/plain", nil)
			require.NoError(b, err)

			return resp.Body
		})
		viaAgent := measureOpen(b, streams, bt, func() io.Closer {
			resp, _ := r.open(context.Background(), r.request("/x", "x"))
			return resp.Body
		})

		b.ReportMetric(viaAgent.goroutines-direct.goroutines, "goroutines/stream")
		b.ReportMetric(viaAgent.bytes-direct.bytes, "bytes/stream")
		close(bt.release)
	}
}

type streamCost struct{ goroutines, bytes float64 }

func measureOpen(b *testing.B, n int, bt *blockingTarget, open func() io.Closer) streamCost {
	b.Helper()

	sample := func() (int, uint64) {
		var m runtime.MemStats

		runtime.GC()
		runtime.ReadMemStats(&m)

		return runtime.NumGoroutine(), m.HeapAlloc + m.StackInuse
	}
	goroutinesBefore, bytesBefore := sample()

	var closers []io.Closer
	for range n {
		closers = append(closers, open())
	}

	for range n {
		<-bt.started
	}

	goroutinesAfter, bytesAfter := sample()

	for _, c := range closers {
		c.Close()
	}

	for range n {
		<-bt.canceled
	}

	return streamCost{float64(goroutinesAfter-goroutinesBefore) / float64(n), float64(int64(bytesAfter)-int64(bytesBefore)) / float64(n)}
}
