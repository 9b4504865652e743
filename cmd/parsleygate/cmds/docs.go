package cmds

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"

	"github.com/parsleygate/parsleygate/internal/relay"
	"github.com/parsleygate/parsleygate/internal/settings"
)

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// newDocs returns the hidden command with which developers generate the reference pages.
func newDocs() *cobra.Command {
	return &cobra.Command{
		Use:    "docs DIR",
		Short:  "Write the settings and command reference below DIR",
		Args:   cobra.ExactArgs(1),
		Hidden: true,
		RunE: func(_ *cobra.Command, args []string) error {
			return writeDocs(args[0])
		},
	}
}

func writeDocs(dir string) error {
	root := newRoot()
	cli := filepath.Join(dir, "cli")
	if err := os.MkdirAll(cli, dirMode); err != nil {
		return eris.Wrap(err, "create the directory of the command reference")
	}

	if err := os.WriteFile(filepath.Join(dir, "SETTINGS.md"), []byte(settings.Reference()), fileMode); err != nil {
		return eris.Wrap(err, "write the settings reference")
	}

	if err := os.WriteFile(filepath.Join(dir, "METRICS.md"), []byte(relay.MetricsReference()), fileMode); err != nil {
		return eris.Wrap(err, "write the metrics reference")
	}

	root.DisableAutoGenTag = true

	return eris.Wrap(doc.GenMarkdownTree(root, cli), "write the command reference")
}
