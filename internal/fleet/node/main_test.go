package node

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that a run has the same verdict every time; -rapid.seed draws another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	// The holes that were found in the wardens' word took thousands of cases to show.
	_ = flag.Set("rapid.checks", "60000")
	os.Exit(m.Run())
}
