package agent

import (
	"fmt"
	"net"
	"slices"
	"testing"

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
				r := newFixture(t, target.addr(), nil)

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
			a := newFixture(t, target.addr(), nil)
			resp := a.do(a.request("/draft", "x"))
			resp.requireComplete(t, "body")
		})
	}
}
