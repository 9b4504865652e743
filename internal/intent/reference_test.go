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

// Operators read the page; a section or key that it lacks or describes wrongly
// would be found only by its error.
func TestReferencePage(t *testing.T) {
	t.Parallel()

	if *update {
		require.NoError(t, os.WriteFile(referencePage, []byte(intent.Reference()), 0o600))
	}

	page, err := os.ReadFile(referencePage)
	require.NoError(t, err)
	require.Equal(t, intent.Reference(), string(page), "go test ./internal/intent -update writes it")
	require.NotContains(t, strings.ReplaceAll(string(page), " ", ""), "||", "a section or key without a meaning")
}
