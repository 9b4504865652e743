package agent

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// streamResponse writes a framed event stream whose body is stream.
func streamResponse(c net.Conn, id, framing, stream string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: Text/Event-Stream; charset=utf-8\r\n", HeaderRequestID, id)

	if framing == "length" {
		fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(stream), stream)
		return
	}

	fmt.Fprintf(c, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(stream), stream)
}

// Guards against a stream that a target breaks off inside an event, and that looks complete
// because it is framed as complete.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	t.Parallel()

	broken := []string{"data: a\n\nda", "data: a\n\ndata: b\n", "id: 1\r\ndata: a\r\n", "data: a"}
	complete := []string{"data: a\n\n", "data: a\r\n\r\n", "data: a\r\r", "data: a\n\n\n"}

	for _, framing := range []string{"length", "chunks"} {
		for _, stream := range slices.Concat(broken, complete) {
			t.Run(fmt.Sprintf("%s, %q", framing, stream), func(t *testing.T) {
				t.Parallel()

				target := newRawTarget(t, func(c net.Conn, id string) { streamResponse(c, id, framing, stream) })
				r := newFixture(t, target.addr(), withLongCredits)

				for _, req := range []*wire.Request{r.request("/draft", "x"), r.nonIdempotentRequest("/book", "x")} {
					a := r.do(req)

					if slices.Contains(complete, stream) {
						a.requireComplete(t, stream)
						continue
					}

					a.requireRefused(t, wire.Verdict_MayHaveRun, "AnswerBroken")
					require.Nil(t, r.queryAttempt(req, false).GetAnswer())
				}
			})
		}
	}
}

// withLongCredits keeps a busy machine from letting credits expire before they are used.
func withLongCredits(a *Agent) { a.Settings.Admission.CreditLifetime = time.Minute }

// reset closes c with a TCP reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// unframedResponse writes a response with neither a length nor chunks and ends its connection.
func unframedResponse(proto, contentType, body string) func(c net.Conn, id string) {
	return func(c net.Conn, id string) {
		fmt.Fprintf(c, "%s 200 OK\r\n%s: %s\r\nContent-Type: %s\r\n\r\n%s", proto, HeaderRequestID, id, contentType, body)
		c.Close()
	}
}

// Guards against refusing responses that regularly end with their connection, and against
// taking a lost stream for one of them.
func TestResponsesThatEndWithTheirConnection(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name, contentType, body string
		// after is the Last-Event-ID of the request.
		after    string
		complete bool
	}{
		{"plain body", "text/plain", "whole", "", true},
		{"empty plain body", "text/plain", "", "", true},
		{"stream", "text/event-stream", "id: 1\n\n", "", true},
		{"stream inside an event", "text/event-stream", "id: 1\n\nid: 2\n", "", false},
		{"stream without an event", "text/event-stream", "", "", false},
		{"stream with a comment only", "text/event-stream", ": comment\n\n", "", false},
		{"resumed stream", "text/event-stream", "id: 3\n\n", "2", true},
		{"resumed stream without an event", "text/event-stream", "", "2", false},
		{"resumed stream without a new event", "text/event-stream", "id: 2\n\n", "2", false},
	}

	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, tc := range cases {
			t.Run(proto+" "+tc.name, func(t *testing.T) {
				t.Parallel()

				r := newFixture(t, newRawTarget(t, unframedResponse(proto, tc.contentType, tc.body)).addr(), withLongCredits)

				for _, req := range []*wire.Request{r.request("/draft", "x"), r.request("/draft", ""), r.nonIdempotentRequest("/book", "x")} {
					if tc.after != "" {
						req.Headers = []*wire.Header{{Name: "Last-Event-Id", Value: []byte(tc.after)}}
					}

					a := r.do(req)
					if tc.complete {
						a.requireComplete(t, tc.body)
					} else {
						a.requireRefused(t, wire.Verdict_MayHaveRun, "AnswerBroken")
						require.Nil(t, r.queryAttempt(req, false).GetAnswer())
					}
				}
			})
		}
	}

	t.Run("HEAD", func(t *testing.T) {
		t.Parallel()

		r := newFixture(t, newRawTarget(t, unframedResponse("HTTP/1.1", "text/event-stream", "")).addr(), withLongCredits)
		req := r.request("/draft", "")
		req.Method = http.MethodHead
		a := r.do(req)
		a.requireComplete(t, "")
	})
}

// Guards against a reset that http.Transport masks, because it hits the write of a request that
// the target has not read to its end.
func TestResponseBeforeRequestWasWrittenIsBroken(t *testing.T) {
	t.Parallel()

	ends := map[string]func(c net.Conn){
		"end":   func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
		"reset": func(c net.Conn) { _ = c.Close() }, // with unread data, this is a reset
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)

			stop := make(chan struct{})

			var wg sync.WaitGroup

			wg.Go(func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}

					wg.Go(func() {
						defer c.Close()

						hr, err := http.ReadRequest(bufio.NewReader(c))
						if err != nil {
							return
						}

						fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nhalf", HeaderRequestID, hr.Header.Get(HeaderRequestID))
						end(c)
						<-stop
					})
				}
			})
			t.Cleanup(func() {
				close(stop)
				_ = ln.Close()
				wg.Wait()
			})

			// More than the socket buffers hold.
			body := strings.Repeat("0123456789abcdef", 1<<19)
			r := newFixture(t, netip.MustParseAddrPort(ln.Addr().String()), withLongCredits)

			for range 4 {
				a := r.do(r.request("/draft", body))
				a.requireRefused(t, wire.Verdict_MayHaveRun, "AnswerBroken")
			}
		})
	}
}

// Guards against reading a compressed stream as text, and against judging other answers by
// the rules of event streams.
func TestOtherBodiesAreNotReadAsEvents(t *testing.T) {
	t.Parallel()

	for _, header := range []string{"Content-Type: text/event-stream\r\nContent-Encoding: gzip", "Content-Type: text/plain"} {
		t.Run(header, func(t *testing.T) {
			t.Parallel()

			target := newRawTarget(t, func(c net.Conn, id string) {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\nContent-Length: 4\r\n\r\nbody", HeaderRequestID, id, header)
			})
			a := newFixture(t, target.addr(), withLongCredits)
			resp := a.do(a.request("/draft", "x"))
			resp.requireComplete(t, "body")
		})
	}
}

// Guards against refusing a whole failure because its type is that of streams of events, while its body
// is a text.
func TestFailureWithTheTypeOfAStreamIsComplete(t *testing.T) {
	t.Parallel()

	target := newRawTarget(t, func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\n%s: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 6\r\n\r\nfailed", HeaderRequestID, id)
	})
	a := newFixture(t, target.addr(), withLongCredits)

	resp := a.do(a.request("/draft", "x"))
	resp.requireComplete(t, "failed")
}
