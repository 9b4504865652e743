package trace_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/trace"
)

const entryOne = `time=2026-12-03T10:00:01.500Z level=INFO msg="relay: Sent again." target=i-7 cause=AnswerBroken verdict=MayHaveRun error="read tcp 10.0.0.1:5: \"reset\"" request=r-1 route=drafts
time=2026-12-03T10:00:02.000Z level=INFO msg="relay: Refused." cause=Overload room="free 0, full 12" request=r-2
time=2026-12-03T10:00:02.000Z level=INFO msg="relay: Refused." cause=Overload request=r-11
not a line about r-1
time=nonsense msg="x" request=r-1
`

const entryTwo = `  12.5 front-b-1 time=2026-12-03T10:00:01.000Z level=INFO msg="relay: Refused." cause=NoTarget request=r-1
`

// The lines of a request from the logs of two entries are printed in order of time, with
// or without text before them. Lines of other requests and malformed lines are skipped.
func TestPrintSortsLinesOfOneRequest(t *testing.T) {
	t.Parallel()

	first, err := trace.Read("entry-1.log", "r-1", strings.NewReader(entryOne))
	require.NoError(t, err)
	second, err := trace.Read("bench.log", "r-1", strings.NewReader(entryTwo))
	require.NoError(t, err)

	var b strings.Builder

	require.NoError(t, trace.Print(&b, "r-1", append(first, second...)))
	require.Equal(t, `10:00:01.000  front-b-1  relay: Refused. Cause NoTarget: no target of the service accepted new requests.
10:00:01.500  entry-1.log  relay: Sent again. Cause AnswerBroken: the target's answer was truncated or missing.
      target: i-7
      verdict: MayHaveRun
      error: read tcp 10.0.0.1:5: "reset"
      route: drafts
`, b.String())

	b.Reset()
	require.NoError(t, trace.Print(&b, "r-9", nil))
	require.Contains(t, b.String(), "No log line has request ID r-9")
}
