package targetclient_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/targetclient"
)

// cutForms are heads of answers, and the rest of each answer.
var cutForms = []struct{ name, head, rest string }{
	{"length", "HTTP/1.1 200 OK\r\nX-Signature: s\r\n" + keepAlive + "Content-Length: 10\r\n\r\n", "0123456789"},
	{"length before other headers", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Signature: s\r\n" + keepAlive + "\r\n", "0123456789"},
	{"length 0", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", ""},
	{"no content", "HTTP/1.1 204 No Content\r\nX-Signature: s\r\n\r\n", ""},
	{"chunks", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\n0\r\n\r\n"},
	{"chunks and trailers", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nTrailer: X-End\r\nTransfer-Encoding: chunked\r\n\r\n", "5;x=y\r\n01234\r\n05\r\n56789\r\n0\r\nX-End: 1\r\n\r\n"},
	{"end of the connection", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nConnection: close\r\n\r\n", ""},
	{"HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Signature: s\r\n\r\n", ""},
	{"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\n", "0123456789"},
	{"after 100 Continue", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\n", "0123456789"},
	{"after 103 Early Hints", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\n", "0123456789"},
	{"bare line feeds", "HTTP/1.1 200 OK\nX-Signature: s\nContent-Length: 10\n\n", "0123456789"},
	{"folded header", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Long: a\r\n b\r\nContent-Length: 10\r\n\r\n", "0123456789"},
}

// cutEnds are the ways in which a connection ends after a cut answer.
var cutEnds = map[string]func(string) func(net.Conn) bool{"closed": respondAndClose, "reset": respondAndReset}

// Guards against an answer whose head was cut off and that counts as whole: cut at each byte, of each form, for each kind of
// request and connection.
func TestHeadThatIsCutOffIsNoAnswer(t *testing.T) {
	t.Parallel()

	requests := map[string]func(*targetclient.Request){
		"GET":               func(r *targetclient.Request) { r.Method, r.Body = http.MethodGet, nil },
		"HEAD":              func(r *targetclient.Request) { r.Method, r.Body = http.MethodHead, nil },
		"POST":              func(*targetclient.Request) {},
		"body still unread": func(r *targetclient.Request) { r.Body = make([]byte, 1<<20); r.Header.Set("Unread", "1") },
	}

	for _, form := range cutForms {
		for kind, prepare := range requests {
			for end, respondAndEnd := range cutEnds {
				t.Run(form.name+", "+kind+", "+end, func(t *testing.T) {
					t.Parallel()

					for n := range len(form.head) {
						f := newFakeTarget(t, respondAndEnd(form.head[:n]))
						r := request("r1")
						prepare(r)

						_, err := newClient(f).Open(t.Context(), f.Target, r) //nolint:bodyclose // there is no answer
						require.Error(t, err, "%q", form.head[:n])
					}
				})
			}
		}
	}
}

// Guards against a second answer on a kept connection whose head was cut off, and that counts as whole.
func TestHeadThatIsCutOffOnAKeptConnectionIsNoAnswer(t *testing.T) {
	t.Parallel()

	for _, form := range cutForms {
		for end, respondAndEnd := range cutEnds {
			t.Run(form.name+", "+end, func(t *testing.T) {
				t.Parallel()

				for n := range len(form.head) {
					f := newFakeTarget(t, respond(whole), respondAndEnd(form.head[:n]))
					c := newClient(f)
					send(t, c, f, request("r1"))

					_, err := c.Open(t.Context(), f.Target, request("r2")) //nolint:bodyclose // there is no answer
					require.Error(t, err, "%q", form.head[:n])
				}
			})
		}
	}
}

// Guards against a head that is never finished, and counts as an answer at the deadline.
func TestHeadThatStopsHalfwayIsNoAnswer(t *testing.T) {
	t.Parallel()

	for _, form := range cutForms {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()

			for _, n := range []int{1, len("HTTP/1.1 200 OK\r\n"), len(form.head) / 2, len(form.head) - 1} {
				f := newFakeTarget(t, respond(form.head[:n]))
				r := request("r1")
				r.Deadline = time.Now().Add(100 * time.Millisecond)

				_, err := newClient(f).Open(t.Context(), f.Target, r) //nolint:bodyclose // there is no answer
				require.Error(t, err, "%q", form.head[:n])
			}
		})
	}
}

// Guards against a body, the length of a chunk, or trailers that were cut off and count as whole.
func TestAnswerThatIsCutOffAfterItsHeadIsNotWhole(t *testing.T) {
	t.Parallel()

	for _, form := range cutForms {
		for end, respondAndEnd := range cutEnds {
			t.Run(form.name+", "+end, func(t *testing.T) {
				t.Parallel()

				for n := range len(form.rest) {
					f := newFakeTarget(t, respondAndEnd(form.head+form.rest[:n]))

					answer, err := newClient(f).Open(t.Context(), f.Target, request("r1"))
					if err != nil {
						continue // a reset may discard what has arrived
					}

					_, err = io.ReadAll(answer.Body)
					answer.Close()
					require.Error(t, err, "%q", form.rest[:n])
				}
			})
		}
	}
}

// Guards against tests of cut answers whose forms are no answers even when they are whole.
func TestFormsOfCutAnswersAreSound(t *testing.T) {
	t.Parallel()

	for _, form := range cutForms {
		f := newFakeTarget(t, respondAndClose(form.head+form.rest))

		answer, err := newClient(f).Open(t.Context(), f.Target, request("r1"))
		require.NoError(t, err, form.name)
		require.Equal(t, "s", answer.Header.Get("X-Signature"), form.name)

		body, err := io.ReadAll(answer.Body)
		answer.Close()
		require.NoError(t, err, form.name)
		require.True(t, bytes.Equal([]byte("0123456789"), body) || len(body) == 0 && !strings.Contains(form.rest, "0123"), fmt.Sprintf("%s: %q", form.name, body))
	}
}
