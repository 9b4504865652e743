// Parsleygate is a load balancer for expert-parallel model groups and for ordinary
// services.
package main

import (
	"os"

	"github.com/parsleygate/parsleygate/cmd/parsleygate/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
