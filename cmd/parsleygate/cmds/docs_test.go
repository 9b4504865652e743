package cmds

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// The generated reference pages must match the code. `make docs` regenerates them.
func TestDocsAreUpToDate(t *testing.T) {
	t.Setenv("USER", "")

	dir := t.TempDir()
	require.NoError(t, writeDocs(dir))

	for _, name := range []string{"METRICS.md", "SETTINGS.md"} {
		want, err := os.ReadFile(filepath.Join(dir, name))
		require.NoError(t, err)

		got, err := os.ReadFile(filepath.Join("../../../docs", name))
		require.NoError(t, err)
		require.Equal(t, string(want), string(got), "run make docs")
	}

	generated, err := filepath.Glob(filepath.Join(dir, "cli", "*.md"))
	require.NoError(t, err)

	committed, err := filepath.Glob("../../../docs/cli/*.md")
	require.NoError(t, err)
	require.Len(t, committed, len(generated))

	for _, f := range generated {
		want, err := os.ReadFile(f)
		require.NoError(t, err)

		got, err := os.ReadFile(filepath.Join("../../../docs/cli", filepath.Base(f)))
		require.NoError(t, err)
		require.Equal(t, string(want), string(got), "run make docs")
	}
}
