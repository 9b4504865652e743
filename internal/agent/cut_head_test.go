package agent

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Guards against an answer whose head was cut off and that an agent passes on as whole: cut at each byte, of each form.
func TestHeadThatIsCutOffIsNoAnswer(t *testing.T) {
	t.Parallel()

	for name, form := range map[string]string{
		"length":                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s: %s\r\n\r\n",
		"no content":            "HTTP/1.1 204 No Content\r\n%s: %s\r\n\r\n",
		"chunks":                "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"end of the connection": "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n",
		"HTTP/1.0":              "HTTP/1.0 200 OK\r\n%s: %s\r\n\r\n",
		"after 103 Early Hints": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
	} {
		for end, endConn := range map[string]func(net.Conn){"closed": func(c net.Conn) { _ = c.Close() }, "reset": reset} {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()

				var length atomic.Int64

				target := newRawTarget(t, func(c net.Conn, id string) {
					fmt.Fprint(c, fmt.Sprintf(form, HeaderRequestID, id)[:length.Load()])
					endConn(c)
				})
				r := newFixture(t, target.addr(), nil)

				for n := range len(fmt.Sprintf(form, HeaderRequestID, "attempt-1")) - 1 {
					length.Store(int64(n))

					a := r.do(r.request("/draft", "x"))
					a.requireRefused(t, wire.Verdict_MayHaveRun, "AnswerBroken")
				}
			})
		}
	}
}
