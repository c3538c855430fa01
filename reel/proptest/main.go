package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main runs the tests of a package and exits the process. Property-based tests use seed 1 and the given number of
// checks per test, or the default number of rapid if checks is 0. The flags -rapid.seed and -rapid.checks override
// both.
func Main(m *testing.M, checks int) {
	set("rapid.seed", "1")
	if checks > 0 {
		set("rapid.checks", strconv.Itoa(checks))
	}
	flag.Parse()
	os.Exit(m.Run())
}

// set sets a command-line flag of rapid. It panics if the flag does not exist.
func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err) // the package under test does not import rapid
	}
}
