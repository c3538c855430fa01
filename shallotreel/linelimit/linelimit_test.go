package linelimit

import (
	"testing"
	"time"
)

func TestAllow(t *testing.T) {
	limiter := New(3)
	for _, test := range []struct {
		second int64
		want   bool
	}{{1, true}, {1, true}, {1, true}, {1, false}, {2, true}, {1, true}} {
		if got := limiter.Allow(time.Unix(test.second, 0)); got != test.want {
			t.Errorf("Allow is %v in second %d, want %v", got, test.second, test.want)
		}
	}
}
