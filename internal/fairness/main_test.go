package fairness_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that each run draws the same cases. Another
// seed given by -rapid.seed is kept.
func TestMain(m *testing.M) {
	flag.Parse()

	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261202")
	}

	os.Exit(m.Run())
}
