package callers_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/parsleygate/parsleygate/internal/callers"
)

// BenchmarkDecline measures the decision about one connection at an entry under excessive demand.
func BenchmarkDecline(b *testing.B) {
	d, now := excessiveDecliner()

	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		d.Demand.SetMean(now, 20)
		d.Decline(now, some)
	}
}

// BenchmarkConnection measures the processor time of a connection that is declined, and of one with a
// request that is answered at once, each with that of its caller.
func BenchmarkConnection(b *testing.B) {
	for name, decline := range map[string]bool{"Declined": true, "Answered": false} {
		b.Run(name, func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}

			l := &callers.Listener{Listener: inner, Decline: func() bool { return decline }}
			server := l.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))

			go func() { _ = server.Serve(l) }()

			defer server.Close()

			before := processorTime()

			for b.Loop() {
				c, err := net.Dial("tcp", inner.Addr().String())
				if err != nil {
					b.Fatal(err)
				}

				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
			}

			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

func processorTime() time.Duration {
	var u unix.Rusage

	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
