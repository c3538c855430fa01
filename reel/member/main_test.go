package member

import (
	"testing"

	"shallotreel.example/reel/drawn"
)

func TestMain(m *testing.M) { drawn.Main(m, 0) }
