package intent_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/intent"
)

const referencePage = "../../docs/DECLARATIONS.md"

var update = flag.Bool("update", false, "write the reference page")

// Operators rely on the reference page. Guards against a section or key that is
// missing from the page or described wrongly there.
func TestReferencePage(t *testing.T) {
	t.Parallel()

	if *update {
		require.NoError(t, os.WriteFile(referencePage, []byte(intent.Reference()), 0o600))
	}

	page, err := os.ReadFile(referencePage)
	require.NoError(t, err)
	require.Equal(t, intent.Reference(), string(page), "go test ./internal/intent -update writes it")
	require.NotContains(t, strings.ReplaceAll(string(page), " ", ""), "||", "a section or key has no description")
}
