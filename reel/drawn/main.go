package drawn

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main runs the tests of a package with seed 1 and so many drawn sessions, 0 for the usual number; the flags
// -rapid.seed and -rapid.checks draw others, and more. It does not return.
func Main(m *testing.M, sessions int) {
	set("rapid.seed", "1")
	if sessions > 0 {
		set("rapid.checks", strconv.Itoa(sessions))
	}
	flag.Parse()
	os.Exit(m.Run())
}

// set sets a flag of the library that draws.
func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err) // the package under test draws nothing
	}
}
