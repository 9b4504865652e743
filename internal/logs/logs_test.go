package logs_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/logs"
)

func TestLoggerPrefixAndDebugParts(t *testing.T) {
	t.Parallel()

	var out bytes.Buffer
	o := logs.Output{Writer: &out, Debug: logs.ParseDebug("entry,view")}
	o.Logger("entry").With("zone", "muscat-a").Debug("retry")
	o.Logger("agent").Debug("not shown")
	o.Logger("agent").Info("target cold")

	require.Contains(t, out.String(), `msg="entry: retry" zone=muscat-a`)
	require.Contains(t, out.String(), `msg="agent: target cold"`)
	require.NotContains(t, out.String(), "not shown")
}
