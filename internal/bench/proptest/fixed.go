package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main runs a package's tests with a fixed seed and so many cases for each property; -rapid.seed and
// -rapid.checks on the command line go before both.
func Main(m *testing.M, cases int) {
	set("rapid.seed", "1")
	set("rapid.nofailfile", "true")
	set("rapid.checks", strconv.Itoa(cases))
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("fixed: " + err.Error())
	}
}
