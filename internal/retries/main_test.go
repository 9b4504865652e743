package retries_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that each run draws the same cases. A seed set by
// -rapid.seed takes precedence.
func TestMain(m *testing.M) {
	flag.Parse()

	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261202")
	}

	os.Exit(m.Run())
}
