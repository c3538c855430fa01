package fleet

import (
	"flag"
	"os"
	"testing"
)

// TestMain keeps the number of drawn runs small and the same in each run; -rapid.checks and -rapid.seed change that.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "15", "rapid.seed": "1"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
