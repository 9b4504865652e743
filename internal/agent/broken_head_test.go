package agent

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// forged is the body of answers that an agent may not pass on.
const forged = "forged"

// requireBroken checks that an agent passes nothing of a target's answer on, records nothing of it, and does not use its
// connection again. The answer has a place for the request ID.
func requireBroken(t *testing.T, answer string) {
	t.Helper()

	target := newRawTarget(t, func(c net.Conn, id string) {
		_, _ = io.WriteString(c, strings.ReplaceAll(answer, "%s", id))
	})
	r := newFixture(t, target.addr(), withLongCredits)

	for range 2 {
		a := r.do(r.request("/draft", "x"))
		a.requireRefused(t, wire.Verdict_MayHaveRun, "AnswerBroken")
		require.Nil(t, a.head, "%q", answer)
	}

	req := r.nonIdempotentRequest("/book", "x")
	a := r.do(req)
	a.requireRefused(t, wire.Verdict_MayHaveRun, "AnswerBroken")
	require.Nil(t, r.queryAttempt(req, false).GetAnswer())
	require.EqualValues(t, 3, target.conns.Load(), "%q", answer)
}

// Guards against an answer with a status that is none and that an agent passes on: as it is, or the answer in its body.
func TestBrokenStatusIsNoAnswer(t *testing.T) {
	t.Parallel()

	const id = HeaderRequestID + ": %s\r\n"

	inner := "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 6\r\n\r\n" + forged

	for _, status := range []string{
		"HTTP/1.1 000 ", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 101 Switching Protocols",
	} {
		for kind, rest := range map[string]string{
			"length": id + "Content-Length: 6\r\n\r\n" + forged, "no body": id + "Content-Length: 0\r\n\r\n",
			"chunks": id + "Transfer-Encoding: chunked\r\n\r\n6\r\n" + forged + "\r\n0\r\n\r\n", "answer": id + "\r\n" + inner, "answer only": "\r\n" + inner,
		} {
			for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
				t.Run(fmt.Sprintf("%q %q %s", before, status, kind), func(t *testing.T) {
					t.Parallel()
					requireBroken(t, before+status+"\r\n"+rest)
				})
			}
		}
	}

	t.Run("body of an informational answer", func(t *testing.T) {
		t.Parallel()
		requireBroken(t, "HTTP/1.1 103 Early Hints\r\nContent-Length: 100\r\n\r\n"+inner)
	})
}

// Guards against informational answers whose bound is lost as they are checked.
func TestInformationalAnswersStayBounded(t *testing.T) {
	t.Parallel()

	for _, informational := range []string{"HTTP/1.1 102 \r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 1000) + "\r\n\r\n"} {
		requireBroken(t, strings.Repeat(informational, 8<<10)+"HTTP/1.1 200 OK\r\n"+HeaderRequestID+": %s\r\nContent-Length: 6\r\n\r\n"+forged)
	}
}

// Guards against sound answers that an agent refuses for their status lines.
func TestSoundStatusIsPassedOn(t *testing.T) {
	t.Parallel()

	for line, status := range map[string]int32{
		"HTTP/1.1 200": 200, "HTTP/1.1 200 \t r\xe9ussi": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.1 299 Odd": 299, "HTTP/1.1 499 Odd": 499, "HTTP/1.1 599 Odd": 599,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 Odd\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK": 200,
	} {
		target := newRawTarget(t, func(c net.Conn, id string) {
			fmt.Fprintf(c, "%s\r\n%s: %s\r\nContent-Length: 4\r\n\r\nyes!", line, HeaderRequestID, id)
		})
		r := newFixture(t, target.addr(), nil)

		a := r.do(r.request("/draft", "x"))
		a.requireComplete(t, "yes!")
		require.Equal(t, status, a.head.GetStatus(), "%q", line)
	}
}

// Guards against an answer with a field whose name holds a blank or a control byte, and that an agent passes on with that line, or with
// another body than the target sent.
func TestBrokenFieldNameIsNoAnswer(t *testing.T) {
	t.Parallel()

	const id = HeaderRequestID + ": %s\r\n"

	for _, field := range []string{
		"Content-Length : 6", "Transfer-Encoding : chunked", HeaderRequestID + " : %s", "X A: b", ": b", "X\tA: b", "X\x00A: b", "X\x7f: b", "X\x80: b", "(X): b", "no colon",
	} {
		for kind, answer := range map[string]string{
			"alone": "HTTP/1.1 200 OK\r\n" + id + field + "\r\n\r\n6\r\n" + forged + "\r\n0\r\n\r\n", "no body": "HTTP/1.1 200 OK\r\n" + id + field + "\r\nContent-Length: 0\r\n\r\n",
			"chunks":        "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n" + field + "\r\n\r\n6\r\n" + forged + "\r\n0\r\n\r\n",
			"HTTP/1.0":      "HTTP/1.0 200 OK\r\n" + id + field + "\r\nContent-Length: 6\r\n\r\n" + forged,
			"informational": "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 6\r\n\r\n" + forged,
		} {
			t.Run(fmt.Sprintf("%q %s", field, kind), func(t *testing.T) {
				t.Parallel()
				requireBroken(t, answer)
			})
		}
	}
}

// Guards against an answer whose trailer is broken, and that an agent passes on as whole or whose connection it uses again.
func TestBrokenTrailerIsNotPassedOnAsWhole(t *testing.T) {
	t.Parallel()

	for _, field := range []string{"X A: b", "X : b", "X\x00: b"} {
		target := newRawTarget(t, func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n%s\r\n0\r\n%s\r\n\r\n", HeaderRequestID, id, forged, field)
		})
		r := newFixture(t, target.addr(), withLongCredits)

		for n := range 3 {
			a := r.do(r.request("/draft", "x"))
			a.requireRefused(t, wire.Verdict_MayHaveRun, "AnswerBroken")
			require.EqualValues(t, n+1, target.conns.Load(), "%q", field)
		}

		req := r.nonIdempotentRequest("/book", "x")
		a := r.do(req)
		a.requireRefused(t, wire.Verdict_MayHaveRun, "AnswerBroken")
		require.Nil(t, r.queryAttempt(req, false).GetAnswer())
	}
}

// Guards against sound answers that an agent refuses for their fields.
func TestSoundFieldsArePassedOn(t *testing.T) {
	t.Parallel()

	const fields = "!#$%&'*+-.^_`|~09azAZ: v\r\nX-Empty:\r\nX-Tab: a\tb\r\nX-Bytes: \xc3\xa9\r\n"

	target := newRawTarget(t, func(c net.Conn, id string) {
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n"+fields+"\r\nHTTP/1.1 200 OK\r\n"+HeaderRequestID+": "+id+"\r\n"+fields+
			"Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nyes!\r\n0\r\nX-Sum: \xc3\xa9\r\n\r\n")
	})
	r := newFixture(t, target.addr(), nil)

	for range 2 {
		a := r.do(r.request("/draft", "x"))
		a.requireComplete(t, "yes!")

		got := make(map[string]string)
		for _, h := range a.head.GetHeaders() {
			got[h.GetName()] = string(h.GetValue())
		}

		require.Equal(t, map[string]string{
			"!#$%&'*+-.^_`|~09azaz": "v", "X-Empty": "", "X-Tab": "a\tb", "X-Bytes": "\xc3\xa9",
		}, got)
	}

	require.EqualValues(t, 1, target.conns.Load())
}

// Guards against an answer of HTTP/1.0 with chunks, which that version does not have, behind an informational answer or in a long head.
func TestEncodingOfHTTP10IsNoAnswer(t *testing.T) {
	t.Parallel()

	const id = HeaderRequestID + ": %s\r\n"

	for _, answer := range []string{
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.0 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n6\r\n" + forged + "\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\n" + id + "X-Long: " + strings.Repeat("x", 40<<10) + "\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n" + forged + "\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\n" + HeaderRequestID + ": %s\nTransfer-Encoding: chunked\n\n6\r\n" + forged + "\r\n0\r\n\r\n",
	} {
		target := newRawTarget(t, func(c net.Conn, id string) {
			_, _ = io.WriteString(c, strings.ReplaceAll(answer, "%s", id))
			_ = c.Close()
		})
		r := newFixture(t, target.addr(), withLongCredits)

		for _, req := range []*wire.Request{r.request("/draft", "x"), r.nonIdempotentRequest("/book", "x")} {
			a := r.do(req)
			a.requireRefused(t, wire.Verdict_MayHaveRun, "AnswerBroken")
		}
	}
}

// Guards against a sound answer that an agent does not pass on, as the value of a field is not UTF-8.
func TestFieldValueThatIsNotUTF8IsPassedOn(t *testing.T) {
	t.Parallel()

	target := newRawTarget(t, func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Bytes: caf\xe9 \xff\r\nContent-Length: 4\r\n\r\nyes!", HeaderRequestID, id)
	})
	r := newFixture(t, target.addr(), nil)

	a := r.do(r.request("/draft", "x"))
	a.requireComplete(t, "yes!")
	require.Equal(t, "caf\xe9 \xff", string(a.head.GetHeaders()[1].GetValue()))
}
