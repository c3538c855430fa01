package choice

import "testing"

// TestInFlight guards against a data centre that seems empty, or still busy, to an operator who is about to stop its
// targets.
func TestInFlight(t *testing.T) {
	selector := newSelector()
	for i, target := range targets() {
		for attempt := range i + 1 {
			selector.RecordSent(at(0), target.ID, Attempt{ID: uint64(attempt), Route: route.Name, DataCentre: target.DataCentre, SentAt: at(0)})
		}
	}
	selector.RecordEnd(at(5), targets()[1], 0, Answered, Report{})
	for centre, want := range map[string]int{"a": 1, "b": 1, "c": 3, "d": 0} {
		if got := selector.InFlight(centre); got != want {
			t.Errorf("%d attempts are in flight in data centre %s, want %d", got, centre, want)
		}
	}
}
