package choice

import (
	"testing"
	"time"
)

func TestServiceSaturated(t *testing.T) {
	waits := func(selector *Selector, from, times int, unserved bool) {
		for i := range times {
			selector.RecordWait(at(from+i), "menus", unserved)
		}
	}
	assert := func(t *testing.T, selector *Selector, now int, want bool) {
		t.Helper()
		if _, got := selector.ServiceSaturated(at(now), "menus"); got != want {
			t.Errorf("saturated is %v at %d ms", got, now)
		}
	}
	t.Run("most requests are unserved", func(t *testing.T) {
		selector := newSelector()
		waits(selector, 0, 5, true)
		assert(t, selector, 5, false)
		waits(selector, 5, 30, true)
		assert(t, selector, 35, true)
		if lasted, _ := selector.ServiceSaturated(at(1000), "menus"); lasted < 900*time.Millisecond || lasted > time.Second {
			t.Errorf("saturated for %v, want 900 ms to 1 s", lasted)
		}
	})
	t.Run("saturation decays without requests", func(t *testing.T) {
		selector := newSelector()
		waits(selector, 0, 60, true)
		assert(t, selector, 100, true)
		assert(t, selector, 2500, false)
	})
	t.Run("saturation ends when most requests are served", func(t *testing.T) {
		selector := newSelector()
		waits(selector, 0, 60, true)
		waits(selector, 60, 30, false)
		assert(t, selector, 90, false)
	})
}
