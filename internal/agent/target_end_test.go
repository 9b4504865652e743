package agent

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against ends of targets that entries don't hear of, and against broken answers that count as ends
// although the target goes on.
func TestRefusalTellsThatTheTargetHasEnded(t *testing.T) {
	t.Parallel()

	for _, begun := range []bool{false, true} {
		for _, ends := range []bool{false, true} {
			t.Run(fmt.Sprintf("begun=%v ends=%v", begun, ends), func(t *testing.T) {
				t.Parallel()

				var target *rawTarget

				target = newRawTarget(t, func(c net.Conn, id string) {
					if begun {
						fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 9\r\n\r\nhalf", HeaderRequestID, id)
					}

					if ends {
						_ = target.ln.Close()
					}

					reset(c)
				})
				r := newFixture(t, target.addr(), nil)

				a := r.do(r.request("/draft", "x"))
				require.NotNil(t, a.refusal)
				require.Equal(t, ends, a.refusal.GetEndedBoot() != 0)

				if ends {
					again := r.do(r.request("/draft", "x"))
					require.NotNil(t, again.refusal)
					require.Zero(t, again.refusal.GetEndedBoot(), "it had ended before")
				}
			})
		}
	}
}
