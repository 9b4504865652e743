package callers_test

import (
	"bufio"
	"bytes"
	"fmt"
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

// BenchmarkRequest measures the processor time of a request on a kept connection, with that of its caller, at a
// server without bounds and at one that bounds its heads.
func BenchmarkRequest(b *testing.B) {
	const ordinary = "POST /v1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Model: m\r\nX-Token-Counts: 1460,80\r\n" +
		"X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nX-Deadline-Ms: 8000\r\nApi-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: 4\r\n\r\nbody"

	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})

	for _, bounded := range []bool{false, true} {
		b.Run(map[bool]string{false: "Plain", true: "Bounded"}[bounded], func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}

			l := &callers.Listener{Listener: inner, Limits: callers.DefaultLimits, Memory: &callers.Memory{Limit: 1 << 20}, MaxConnections: 100}
			server := l.Server(answer)

			if !bounded {
				server = &http.Server{Handler: answer, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 90 * time.Second}
			}

			go func() {
				if bounded {
					_ = server.Serve(l)
				} else {
					_ = server.Serve(inner)
				}
			}()

			defer server.Close()

			c, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				b.Fatal(err)
			}

			defer c.Close()

			answers := bufio.NewReader(c)
			before := processorTime()

			for b.Loop() {
				_, _ = io.WriteString(c, ordinary)

				if readStatus(answers) != http.StatusOK {
					b.Fatal("no answer")
				}
			}

			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

// BenchmarkRequestHTTP2 measures the processor time of a request over HTTP/2, with that of its caller, at a server
// without bounds and behind a listener that follows the frames.
func BenchmarkRequestHTTP2(b *testing.B) {
	answer := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })

	for _, size := range []int{100, 100_000} {
		for _, bounded := range []bool{false, true} {
			b.Run(fmt.Sprintf("bytes=%d/bounded=%t", size, bounded), func(b *testing.B) {
				inner, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}

				l := &callers.Listener{Listener: inner, Limits: callers.DefaultLimits, Memory: &callers.Memory{Limit: 1 << 20}, MaxConnections: 100, HTTP2: true}

				server, listener := l.Server(answer), net.Listener(l)
				if !bounded {
					server, listener = &http.Server{Handler: answer, ReadHeaderTimeout: 10 * time.Second}, inner
				}

				protocols := new(http.Protocols)
				protocols.SetUnencryptedHTTP2(true)
				server.Protocols = protocols

				go func() { _ = server.Serve(listener) }()

				defer server.Close()

				client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
				defer client.CloseIdleConnections()

				body := make([]byte, size)
				before := processorTime()

				for b.Loop() {
					resp, err := client.Post("http://"+inner.Addr().String(), "text/plain", bytes.NewReader(body))
					if err != nil {
						b.Fatal(err)
					}

					_ = resp.Body.Close()
				}

				b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
			})
		}
	}
}
