package softdeadline

import (
	"testing"
	"time"
)

const (
	ms      = time.Millisecond
	goal    = 200 * ms
	timeout = 1200 * ms
)

var epoch = time.Unix(1_700_000_000, 0)

func assertSoftDeadline(t *testing.T, estimator *Estimator, left, want time.Duration) {
	t.Helper()
	elapsed := estimator.Elapsed("menus", left)
	if got := estimator.SoftDeadline(epoch, goal, elapsed).Sub(epoch); got != want {
		t.Errorf("with %v left, the soft deadline is in %v, want %v", left, got, want)
	}
}

func TestSoftDeadline(t *testing.T) {
	t.Run("without samples the default round trip applies", func(t *testing.T) {
		assertSoftDeadline(t, New(), timeout, goal-defaultRoundTrip-localDelayMargin)
	})
	t.Run("the time that a caller spent on connecting is subtracted", func(t *testing.T) {
		estimator := New()
		estimator.Elapsed("menus", timeout)
		estimator.Elapsed("menus", timeout-2*ms) // an outlier below the round trip, which the estimate ignores
		for range sampleCount {
			estimator.Elapsed("menus", timeout-7*ms)
		}
		assertSoftDeadline(t, estimator, timeout, goal-7*ms-localDelayMargin)
		assertSoftDeadline(t, estimator, timeout-15*ms, goal-15*ms-7*ms-localDelayMargin)
	})
	t.Run("a goal that cannot be met any more counts from now", func(t *testing.T) {
		estimator := New()
		estimator.Elapsed("menus", timeout)
		assertSoftDeadline(t, estimator, timeout-300*ms, goal)
	})
	t.Run("a caller that states no timeout has used no time", func(t *testing.T) {
		if elapsed := New().Elapsed("menus", 0); elapsed != 0 {
			t.Errorf("elapsed time is %v, want 0", elapsed)
		}
	})
}
