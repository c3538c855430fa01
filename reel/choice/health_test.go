package choice

import (
	"slices"
	"testing"
)

func assertHealthChanges(t *testing.T, selector *Selector, want ...string) {
	t.Helper()
	var got []string
	for _, healthChange := range selector.TakeHealthChanges() {
		got = append(got, healthChange.Subject+" "+healthChange.Kind)
	}
	if !slices.Equal(got, want) {
		t.Errorf("health changes %q, want %q", got, want)
	}
}

func TestHealthChanges(t *testing.T) {
	t.Run("target turns slow and recovers", func(t *testing.T) {
		selector, all := newSelector(), targets()
		now := serve(selector, 0, all[0], 60, 20)
		assertHealthChanges(t, selector)
		now = serve(selector, now, all[0], 10, 160)
		assertHealthChanges(t, selector, "in-a "+Degraded)
		serve(selector, now, all[0], 10, 20)
		assertHealthChanges(t, selector, "in-a "+Healthy)
	})
	t.Run("unresponsive target is reported once and then answers", func(t *testing.T) {
		selector, all := newSelector(), targets()
		now := serve(selector, 0, all[0], 60, 20)
		selector.RecordSent(at(now), all[0].ID, Attempt{ID: 1, Route: route.Name, SentAt: at(now)})
		for i := range 3 {
			selector.Choose(at(now+80+i), route, all, service, nil, always)
		}
		assertHealthChanges(t, selector, "in-a "+Unresponsive)
		selector.RecordEnd(at(now+90), all[0], 1, Answered, Report{})
		assertHealthChanges(t, selector, "in-a "+RespondsAgain)
	})
	t.Run("address is reused by another process", func(t *testing.T) {
		selector, all := newSelector(), targets()
		selector.RecordSent(at(0), all[0].ID, Attempt{ID: 1, Route: route.Name, SentAt: at(0)})
		selector.RecordEnd(at(3), all[0], 1, Misdirected, Report{})
		assertHealthChanges(t, selector, "in-a "+AddressReused)
	})
	t.Run("service is saturated and recovers", func(t *testing.T) {
		selector := newSelector()
		for i := range 60 {
			selector.RecordWait(at(i), "menus", i < 30)
		}
		assertHealthChanges(t, selector, "menus "+Saturated, "menus "+NoLongerSaturated)
	})
	t.Run("number of changes kept is bounded", func(t *testing.T) {
		selector, all := newSelector(), targets()
		for i := range 3 * maxHealthChanges {
			selector.RecordSent(at(i), all[0].ID, Attempt{ID: uint64(i), Route: route.Name, SentAt: at(i)})
			selector.RecordEnd(at(i), all[0], uint64(i), Misdirected, Report{})
		}
		if got := len(selector.TakeHealthChanges()); got != maxHealthChanges {
			t.Errorf("%d health changes kept, want %d", got, maxHealthChanges)
		}
	})
}
