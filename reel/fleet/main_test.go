package fleet

import (
	"flag"
	"os"
	"testing"
)

// TestMain keeps the number of drawn runs small; -rapid.checks raises it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "15"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
