package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// endUnder returns a behaviour that ends the target of each request with a body, after the head of its
// answer if begun is set, and answers the others.
func endUnder(body string, begun bool) behaviour {
	return func(_ *fakeAgent, s *answerWriter) {
		if string(s.request.GetBody()) != body {
			s.head(http.StatusOK, "text/plain")
			s.data("sound")
			s.end()

			return
		}

		if begun {
			s.head(http.StatusOK, "text/event-stream")
			s.data(streamEvents(1, 3))
		}

		s.frame(&wire.Frame{Kind: &wire.Frame_Refusal{Refusal: &wire.Refusal{
			AttemptID: s.request.GetAttemptID(), Verdict: wire.Verdict_MayHaveRun, Cause: string(verdict.CauseBroken), EndedBoot: uint64(time.Now().UnixNano()),
		}}})
	}
}

// Guards against one request that ends target after target by way of agents, because its caller brings it back
// to other entries: one that may be repeated, one that may not, one with a key, and a stream that had begun.
func TestRequestThatEndsTargetsIsHeldBack(t *testing.T) {
	t.Parallel()

	for _, entries := range []int{1, 3} {
		for _, c := range []struct {
			service, path string
			begun, keyed  bool
		}{
			{streamService, "/v1/drafts", false, false},
			{streamService, "/v1/drafts", true, false},
			{nonIdempotentService, "/v1/bookings", false, false},
			{nonIdempotentService, "/v1/bookings", false, true},
		} {
			t.Run(fmt.Sprintf("%d entries %+v", entries, c), func(t *testing.T) {
				t.Parallel()

				first := newFakeAgent(t, "agent-0", endUnder("bad", c.begun))
				first.askResponses = []*wire.AskResponse{{State: wire.AskState_AskUnknown}}

				agents := []*fakeAgent{first}
				for i := range 7 {
					agents = append(agents, first.sibling(t, fmt.Sprint("agent-", i+1)))
				}

				var all []*fixture
				for range entries {
					all = append(all, newFixture(t, c.service, nil, agents...))
				}

				for n := range 8 {
					key := []string(nil)
					if c.keyed {
						key = []string{HeaderKey, fmt.Sprint("key", n)}
					}

					held := countBodies(first, "bad") >= 3
					got := all[n%entries].post(c.service+c.path, "bad", key...)

					if held {
						require.Equal(t, "Quarantined", got.cause)
						require.Equal(t, "NotRun", got.verdict)

						wait, err := strconv.Atoi(got.retryAfter)
						require.NoError(t, err)
						require.Greater(t, wait, 60)
					}

					for _, from := range all {
						ends, _ := from.entry.EndsSince(0)
						for _, to := range all {
							to.entry.MergeEnds(ends)
						}
					}

					require.Equal(t, "sound", all[n%entries].post(c.service+c.path, fmt.Sprint("sound", n)).body)
				}

				require.Equal(t, 3, countBodies(first, "bad"))
			})
		}
	}
}

func countBodies(a *fakeAgent, body string) int {
	n := 0

	for _, r := range a.received() {
		if string(r.GetBody()) == body {
			n++
		}
	}

	return n
}
