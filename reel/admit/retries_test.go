package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestReturns guards against callers that gain by repeating at once, that return together or that fall behind new ones.
func TestReturns(t *testing.T) {
	newReturns := func() *retries {
		return &retries{due: map[string]time.Time{}, random: rand.New(rand.NewPCG(1, 2))}
	}
	t.Run("too early, in time and too late", func(t *testing.T) {
		retries := newReturns()
		after := retries.refuse(start, "key", 0.5)
		for _, test := range []struct {
			at   time.Duration
			want retryKind
		}{{after / 2, retriedEarly}, {after, retriedInTime}, {after + retryWindow, notRetried}} {
			if got, _ := retries.compare(start.Add(test.at), "key"); got != test.want {
				t.Errorf("after %v of %v: %v, want %v", test.at, after, got, test.want)
			}
		}
	})
	t.Run("grows with the excess and is spread", func(t *testing.T) {
		retries := newReturns()
		sums := map[float64]time.Duration{}
		least, greatest := time.Hour, time.Duration(0)
		for i := range 200 {
			for _, share := range []float64{0.9, 0.2} {
				after := retries.refuse(start, fmt.Sprint(i, share), share)
				sums[share] += after
				if share == 0.2 {
					least, greatest = min(least, after), max(greatest, after)
				}
			}
		}
		if sums[0.2] < 2*sums[0.9] || greatest < 2*least {
			t.Errorf("sums %v, from %v to %v", sums, least, greatest)
		}
	})
	t.Run("keys that all callers share tell nothing", func(t *testing.T) {
		retries := newReturns()
		retries.refuse(start, "key", 0.01)
		early := 0
		for range 1000 {
			if got, _ := retries.compare(start, "key"); got == retriedEarly {
				early++
			}
		}
		if early > 500+64 {
			t.Errorf("%d of 1000 requests were taken for repetitions", early)
		}
	})
	t.Run("one that returns is ahead of new ones", func(t *testing.T) {
		class := &class{share: 0.25}
		if class.take(false) || !class.take(true) {
			t.Error("a new request was admitted above the share, or one that returned was not")
		}
	})
}
