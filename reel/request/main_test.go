package request

import (
	"flag"
	"os"
	"testing"
)

// TestMain draws the same sessions in each run; -rapid.seed draws others, and -rapid.checks more.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
