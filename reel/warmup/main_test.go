package warmup

import (
	"testing"

	"shallotreel.example/reel/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, 60) }
