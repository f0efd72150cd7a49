package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// mainCases is the number of cases that Main was given.
var mainCases int

// Main runs a package's tests with a fixed seed and the given number of cases for each property; -rapid.seed and
// -rapid.checks on the command line override them.
func Main(m *testing.M, cases int) {
	mainCases = cases
	setFlag("rapid.seed", "1")
	setFlag("rapid.nofailfile", "true")
	setFlag("rapid.checks", strconv.Itoa(cases))
	os.Exit(m.Run())
}

// Limit runs fewer cases of the properties of one test, whose cases take long, unless the command line asks for another number than
// Main was given.
func Limit(t *testing.T, cases int) {
	before := flag.Lookup("rapid.checks").Value.String()
	if before != strconv.Itoa(mainCases) {
		return
	}
	setFlag("rapid.checks", strconv.Itoa(cases))
	t.Cleanup(func() { setFlag("rapid.checks", before) })
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("proptest: " + err.Error())
	}
}
