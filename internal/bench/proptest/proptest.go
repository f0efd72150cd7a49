package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main runs a package's tests with a fixed seed and the given number of cases for each property; -rapid.seed and
// -rapid.checks on the command line override them.
func Main(m *testing.M, cases int) {
	setFlag("rapid.seed", "1")
	setFlag("rapid.nofailfile", "true")
	setFlag("rapid.checks", strconv.Itoa(cases))
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("proptest: " + err.Error())
	}
}
