package choice

import (
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/warmup"
)

// coldService is a service whose cold targets take 10 requests a second.
var coldService = catalogue.Service{Name: "menus", MaxConnections: 41, WarmUp: 20 * time.Second, ColdRate: 10}

// newColdSelector returns the selector of the only instance of a fleet, which has known that for long.
func newColdSelector() *Selector {
	selector := newLoneSelector()
	self := warmup.Member{Name: "front-1", DataCentre: "a"}
	senders := warmup.NewSenders(self)
	senders.Update(at(-10_000), []warmup.Member{self})
	senders.Complete(at(-10_000))
	selector.SetSenders(senders)
	return selector
}

// coldTargets returns targets of which the first ones have been cold since the epoch.
func coldTargets(cold int) []catalogue.Target {
	targets := targets()
	for i := range targets {
		targets[i].Born, targets[i].ColdAt = 1, epoch
		if i < cold {
			targets[i].ColdLeft = coldService.WarmUp
		}
	}
	return targets
}

// send chooses targets for requests at an interval, each of which is answered at once, and counts them.
func send(t *testing.T, selector *Selector, candidates []catalogue.Target, service catalogue.Service, count, interval int) map[string]int {
	t.Helper()
	sent := map[string]int{}
	for i := range count {
		now := at(i * interval)
		pick, ok := selector.Choose(now, route, candidates, service, nil, always)
		if !ok {
			sent[""]++
			continue
		}
		sent[pick.Target.ID]++
		attempt := Attempt{ID: uint64(i), Route: route.Name, SentAt: now}
		selector.RecordSent(now, pick.Target.ID, attempt)
		selector.RecordEnd(now.Add(time.Millisecond), pick.Target, attempt.ID, Answered, Report{NoCold: true})
	}
	return sent
}

// TestColdTargetGetsItsPart guards against a cold target that crashes under its usual load while warm ones have capacity, or that is
// used beyond its rate because there are none.
func TestColdTargetGetsItsPart(t *testing.T) {
	t.Run("beside warm ones", func(t *testing.T) {
		sent := send(t, newColdSelector(), coldTargets(1), coldService, 1000, 10)
		if sent["in-a"] > 105 || sent["in-a"] < 50 || sent[""] > 0 {
			t.Errorf("requests by target: %v; want 50 to 105 at in-a and the rest at others", sent)
		}
	})
	t.Run("a warm one in the same data centre is preferred", func(t *testing.T) {
		candidates := coldTargets(1)
		candidates[1].DataCentre = "a"
		if sent := send(t, newColdSelector(), candidates, coldService, 100, 10); sent["in-a"] > 10 {
			t.Errorf("requests by target: %v; want few at in-a", sent)
		}
	})
	t.Run("all are cold", func(t *testing.T) {
		selector := newColdSelector()
		sent := send(t, selector, coldTargets(3), coldService, 1000, 10)
		if served := 1000 - sent[""]; served < 280 || served > 310 {
			t.Errorf("requests by target: %v; want 300 of 1000 at all together", sent)
		}
		if wait := selector.QuietFor(at(9_991), coldTargets(3)); wait <= 0 || wait > time.Second {
			t.Errorf("told to wait %v while no target takes a request", wait)
		}
	})
	t.Run("choices at once get no more than one request", func(t *testing.T) {
		selector := newColdSelector()
		for want := range 2 {
			_, ok := selector.Choose(at(0), route, coldTargets(1)[:1], coldService, nil, always)
			if ok != (want == 0) {
				t.Errorf("choice %d gets a target: %v", want, ok)
			}
		}
	})
}

// TestColdTargetWithoutRate guards against callers that wait for cold targets although no rate limits them.
func TestColdTargetWithoutRate(t *testing.T) {
	withoutRate := coldService
	withoutRate.ColdRate = 0
	t.Run("all are cold", func(t *testing.T) {
		if sent := send(t, newColdSelector(), coldTargets(3), withoutRate, 100, 1); sent["in-a"] < 95 {
			t.Errorf("requests by target: %v; want nearly all in the own data centre", sent)
		}
	})
	t.Run("the load rises", func(t *testing.T) {
		selector, candidates := newColdSelector(), coldTargets(1)
		candidates[1].DataCentre = "a"
		for i := range 4 { // attempts in flight at the warm one
			selector.RecordSent(at(0), "in-b", Attempt{ID: uint64(i), Route: route.Name, SentAt: at(0)})
		}
		if pick, _ := selector.Choose(at(1), route, candidates, withoutRate, nil, always); pick.Target.ID != "in-a" {
			t.Errorf("%s is chosen although it has four attempts in flight and the cold one none", pick.Target.ID)
		}
		selector.RecordSent(at(1), "in-a", Attempt{ID: 9, Route: route.Name, SentAt: at(1)})
		if pick, _ := selector.Choose(at(2), route, candidates, withoutRate, nil, always); pick.Target.ID != "in-b" {
			t.Errorf("%s is chosen at the begin of its warm-up with one attempt in flight", pick.Target.ID)
		}
	})
}

// returned is a view in which data centre a has returned to service at the epoch.
type returned struct{}

func (returned) ReturnedAt(dataCentre string) (time.Time, bool) { return epoch, dataCentre == "a" }

// TestReturnedDataCentre guards against all connections of a returned data centre at once, and against requests that fail
// because only its targets are left.
func TestReturnedDataCentre(t *testing.T) {
	withoutRate := coldService
	withoutRate.ColdRate = 0
	selector := newColdSelector()
	selector.SetReturns(returned{})
	if sent := send(t, selector, coldTargets(0), withoutRate, 1000, 1); sent["in-a"] < 50 || sent["in-a"] > 150 || sent[""] > 0 {
		t.Errorf("requests in the first second by target: %v; want a tenth at in-a", sent)
	}
	if sent := send(t, selector, coldTargets(0)[:1], withoutRate, 100, 1); sent["in-a"] != 100 {
		t.Errorf("requests by target: %v; want all at the only one", sent)
	}
}

// TestColdChanges guards against decisions about cold targets of which no log line tells.
func TestColdChanges(t *testing.T) {
	selector := newColdSelector()
	candidates := coldTargets(1)
	selector.Choose(at(0), route, candidates, coldService, nil, always)
	changes := selector.TakeHealthChanges()
	if len(changes) != 1 || changes[0].Kind != Cold || changes[0].Subject != "in-a" || changes[0].Limit != 10 || changes[0].Part != 10 || changes[0].Evidence == "" {
		t.Errorf("the changes are %+v, want that in-a is cold", changes)
	}
	if cold := selector.ColdTargets(at(1)); len(cold) != 1 || !cold[0].Until.Equal(at(20_000)) {
		t.Errorf("the cold targets are %+v, want in-a for 20 s", cold)
	}
	selector.Choose(at(20_001), route, candidates, coldService, nil, always)
	changes = selector.TakeHealthChanges()
	if len(changes) != 1 || changes[0].Kind != Warm {
		t.Errorf("the changes are %+v, want that in-a is warm", changes)
	}
}
