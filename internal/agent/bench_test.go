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

// cpu is the processor time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure runs do at each concurrency, and reports time and processor time for one call.
func measure(n, workers int, do func(worker int)) (each, used time.Duration) {
	var wg sync.WaitGroup

	start, cpuStart := time.Now(), cpu()

	for w := range workers {
		wg.Go(func() {
			for range n / workers {
				do(w)
			}
		})
	}

	wg.Wait()

	calls := time.Duration(max(n/workers*workers, 1))

	return time.Since(start) * time.Duration(workers) / calls, (cpu() - cpuStart) / calls
}

// BenchmarkAddedByAgent compares a call through the agent with a direct call to the
// same target, in the same run. The processor time counts client, agent and target.
func BenchmarkAddedByAgent(b *testing.B) {
	target := httpTarget(b, ok)
	r := newRig(b, target, func(a *Agent) {
		a.Settings.Admission.MaxAttempts = 1 << 20
		a.View = func() admission.View {
			return admission.View{Version: 7, FreshUntil: time.Now().Add(time.Hour), ColdLimit: 1024, WarmLimit: 1024}
		}
		a.Settings.Admission.AttemptRetention = time.Second
	})
	r.post(AnnouncePath, `{"BootID":"boot-1","Address":"`+target.String()+`","Service":"`+testService+`","Capacity":1024,"InFlight":0}`, 204)

	body := bytes.Repeat([]byte("x"), 512)

	for _, workers := range []int{1, 16, 64} {
		for _, kind := range []string{"idempotent", "booking"} {
			b.Run(kind+"/workers="+strconv.Itoa(workers), func(b *testing.B) {
				direct := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers, DisableKeepAlives: kind == "booking"}}
				defer direct.CloseIdleConnections()

				plain := func(int) {
					hr, _ := http.NewRequest(http.MethodPost, "http://"+target.String()+"/x", bytes.NewReader(body))

					resp, err := direct.Do(hr)
					if err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						resp.Body.Close()
					}
				}
				// Each worker has a connection and a credit of its own, and goes on with
				// the credit that rode on the last answer, as an entry does.
				requests := make([]*wire.Request, workers)
				for w := range requests {
					requests[w] = r.request("/x", string(body))
					requests[w].Idempotent = kind == "idempotent"
				}

				through := func(w int) {
					req := requests[w]
					req.AttemptID = strconv.FormatUint(r.serial.Add(1), 10)

					a := r.do(req)
					if a.end == nil {
						b.Errorf("no whole answer: %v", a.refusal)
						return
					}

					req.Credit = a.end.GetLoad().GetCredit()
				}

				measure(workers*4, workers, plain)
				b.ResetTimer()

				dEach, dCPU := measure(b.N, workers, plain)
				tEach, tCPU := measure(b.N, workers, through)

				b.ReportMetric(float64(dEach.Microseconds()), "direct-µs")
				b.ReportMetric(float64(tEach.Microseconds()), "agent-µs")
				b.ReportMetric(float64(tEach)/float64(dEach), "latency-ratio")
				b.ReportMetric(float64(tCPU)/float64(dCPU), "cpu-ratio")
				b.ReportMetric(float64(dCPU.Microseconds()), "direct-cpu-µs")
				b.ReportMetric(float64(tCPU.Microseconds()), "agent-cpu-µs")
			})
		}
	}
}

// BenchmarkOpenStream reports goroutines and bytes of one open stream. The process
// holds client, agent and target; the same streams opened directly are taken off.
func BenchmarkOpenStream(b *testing.B) {
	const streams = 400

	for range b.N {
		g := newGate()
		g.started = make(chan struct{}, 3*streams)
		g.gone = make(chan struct{}, 3*streams)
		target := httpTarget(b, g.serve("text/event-stream"))
		r := newRig(b, target, func(a *Agent) {
			a.View = func() admission.View {
				return admission.View{Version: 7, FreshUntil: time.Now().Add(time.Hour), ColdLimit: 1024, WarmLimit: 1024}
			}
		})
		r.post(AnnouncePath, `{"BootID":"boot-1","Address":"`+target.String()+`","Service":"`+testService+`","Capacity":1024,"InFlight":0}`, 204)

		direct := openMany(b, streams, g, func() io.Closer {
			resp, err := http.Post("http://"+target.String(), "text/plain", nil)
			require.NoError(b, err)

			return resp.Body
		})
		through := openMany(b, streams, g, func() io.Closer {
			resp, _ := r.open(context.Background(), r.request("/x", "x"))
			return resp.Body
		})

		b.ReportMetric(through.goroutines-direct.goroutines, "goroutines/stream")
		b.ReportMetric(through.bytes-direct.bytes, "bytes/stream")
		close(g.release)
	}
}

type use struct{ goroutines, bytes float64 }

func openMany(b *testing.B, n int, g *gate, open func() io.Closer) use {
	b.Helper()

	sample := func() (int, uint64) {
		var m runtime.MemStats

		runtime.GC()
		runtime.ReadMemStats(&m)

		return runtime.NumGoroutine(), m.HeapAlloc + m.StackInuse
	}
	g0, b0 := sample()

	var cs []io.Closer
	for range n {
		cs = append(cs, open())
	}

	for range n {
		<-g.started
	}

	g1, b1 := sample()

	for _, c := range cs {
		c.Close()
	}

	for range n {
		<-g.gone
	}

	return use{float64(g1-g0) / float64(n), float64(int64(b1)-int64(b0)) / float64(n)}
}
