package choice

import (
	"testing"
	"time"
)

func TestServiceSaturated(t *testing.T) {
	recordWaits := func(selector *Selector, from, count int, timedOut bool) {
		for i := range count {
			selector.RecordWait(at(from+i), "menus", timedOut)
		}
	}
	assert := func(t *testing.T, selector *Selector, now int, want bool) {
		t.Helper()
		if _, got := selector.ServiceSaturated(at(now), "menus"); got != want {
			t.Errorf("ServiceSaturated reports %v at %d ms", got, now)
		}
	}
	t.Run("most requests get no target in time", func(t *testing.T) {
		selector := newSelector()
		recordWaits(selector, 0, 5, true)
		assert(t, selector, 5, false)
		recordWaits(selector, 5, 30, true)
		assert(t, selector, 35, true)
		if duration, _ := selector.ServiceSaturated(at(1000), "menus"); duration < 900*time.Millisecond || duration > time.Second {
			t.Errorf("saturated for %v, want 900 ms to 1 s", duration)
		}
	})
	t.Run("saturation decays without requests", func(t *testing.T) {
		selector := newSelector()
		recordWaits(selector, 0, 60, true)
		assert(t, selector, 100, true)
		assert(t, selector, 2500, false)
	})
	t.Run("saturation ends when most requests get a target", func(t *testing.T) {
		selector := newSelector()
		recordWaits(selector, 0, 60, true)
		recordWaits(selector, 60, 30, false)
		assert(t, selector, 90, false)
	})
}
