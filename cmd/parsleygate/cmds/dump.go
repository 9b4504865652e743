package cmds

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// dumpTimeout is the maximum time to wait for the dump of a process.
const dumpTimeout = 5 * time.Second

func newDump() *cobra.Command {
	return &cobra.Command{
		Use:   "dump ADDRESS",
		Short: "Show the state of a process, read from its AdminAddress",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			address, err := netip.ParseAddrPort(args[0])
			if err != nil {
				return eris.Wrap(err, "ADDRESS is not IP:port")
			}

			return fetchDump(c.Context(), address, c.OutOrStdout())
		},
	}
}

func fetchDump(ctx context.Context, address netip.AddrPort, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/dump", http.NoBody)
	if err != nil {
		return eris.Wrap(err, "request the dump")
	}

	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return eris.Wrap(err, "request the dump")
	}

	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("dump of %s failed: HTTP status %d", address, resp.StatusCode)
	}

	_, err = io.Copy(w, resp.Body)

	return eris.Wrap(err, "read the dump")
}
