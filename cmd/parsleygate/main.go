// Parsleygate balances requests over expert-parallel model groups and the
// plain services beside them.
package main

import (
	"os"

	"github.com/parsleygate/parsleygate/cmd/parsleygate/cmds"
)

func main() {
	os.Exit(cmds.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
