package choice

import "testing"

// TestFailuresWithoutPathAreForgotten guards against an instance that avoids targets, or believes a service saturated, after its own path
// to all of them was lost for a while.
func TestFailuresWithoutPathAreForgotten(t *testing.T) {
	selector := newSelector()
	now := 0
	for _, target := range targets() {
		now = serve(selector, now, target, 5, 20)
	}
	for _, target := range targets() {
		for id := range 10 {
			selector.RecordSent(at(now), target.ID, Attempt{ID: uint64(10_000 + id), Route: route.Name, SentAt: at(now)})
			selector.RecordEnd(at(now+900), target, uint64(10_000+id), []Outcome{Failed, Abandoned}[id%2], Report{})
			selector.RecordWait(at(now+900), service.Name, true)
		}
	}
	now += 900
	if _, saturated := selector.ServiceSaturated(at(now), service.Name); !saturated {
		t.Fatal("the service is not saturated before the failures are forgotten")
	}
	selector.ForgetFailures()
	assertPick(t, selector, now, nil, "in-a")
	if pick, _ := selector.Choose(at(now), route, targets(), service, nil, always); pick.Grade != good.String() {
		t.Errorf("the target's grade is %s, want good", pick.Grade)
	}
	if _, saturated := selector.ServiceSaturated(at(now), service.Name); saturated {
		t.Error("the service is still believed saturated")
	}
}
