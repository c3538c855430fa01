package choice

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/catalogue"
)

// told is the answer to an attempt that names the limit, sent and answered at milliseconds from the epoch.
type told struct {
	sentAt, at int
	limit      Limit
}

func (told told) tell(selector *Selector, target catalogue.Target) {
	selector.RecordSent(at(told.sentAt), target.ID, Attempt{ID: uint64(told.at), Route: route.Name, SentAt: at(told.sentAt)})
	selector.RecordEnd(at(told.at), target, uint64(told.at), Answered, Report{Limit: &told.limit})
}

// newLoneSelector returns the selector of the only instance of a fleet.
func newLoneSelector() *Selector {
	selector := newSelector()
	selector.SetFleet(Fleet{Name: "front-1", DataCentre: "a", Instances: map[string]int{"a": 1}, Total: 1,
		Members: []FleetMember{{Name: "front-1", DataCentre: "a"}}})
	return selector
}

// TestLimitInForce checks which of the answers of a target says whether it has a limit.
func TestLimitInForce(t *testing.T) {
	restarted := targets()[0]
	restarted.Born = 7
	for _, test := range []struct {
		name   string
		told   []told
		target catalogue.Target
		want   Limit
	}{
		{"none is named", []told{{0, 10, NoLimit}}, targets()[0], NoLimit},
		{"named", []told{{0, 10, 30}}, targets()[0], 30},
		{"changed", []told{{0, 10, 30}, {20, 30, 7.5}}, targets()[0], 7.5},
		{"ended", []told{{0, 10, 30}, {20, 30, NoLimit}}, targets()[0], NoLimit},
		{"a late answer from before it was named does not end it", []told{{5, 10, 30}, {0, 30, NoLimit}}, targets()[0], 30},
		{"a late answer from before the end does not bring it back", []told{{0, 10, 30}, {20, 30, NoLimit}, {15, 40, 30}}, targets()[0], NoLimit},
		{"named again", []told{{0, 10, 30}, {20, 30, NoLimit}, {35, 40, 8}}, targets()[0], 8},
		{"the process that named it has ended", []told{{0, 10, 30}}, restarted, NoLimit},
		{"zero", []told{{0, 10, 0}}, targets()[0], 0},
		{"huge", []told{{0, 10, 1e300}}, targets()[0], 1e300},
	} {
		t.Run(test.name, func(t *testing.T) {
			selector := newLoneSelector()
			for _, told := range test.told {
				told.tell(selector, targets()[0])
			}
			selector.limitWait(at(50), test.target, targets())
			got := NoLimit
			if limit := selector.targetHealth("in-a").limit; limit != nil {
				got = limit.limit
			}
			if got != test.want {
				t.Errorf("the limit is %v, want %v", got, test.want)
			}
		})
	}
}

// TestLimitedTargetIsPassedOver answers the pattern of one target in need beside sound ones: it gets what it takes, from its own
// data centre first, and the others get the rest at once.
func TestLimitedTargetIsPassedOver(t *testing.T) {
	selector := newLoneSelector()
	told{0, 10, 10}.tell(selector, targets()[0])
	sent := map[string]int{}
	for now := 20; now < 10_020; now += 10 {
		pick, ok := selector.Choose(at(now), route, targets(), service, nil, always)
		if !ok {
			t.Fatalf("no target is chosen at %d ms although two have no limit", now)
		}
		if pick.Target.ID != "in-a" && pick.Limited != "in-a" {
			t.Fatalf("%s is chosen, and the pick does not say that in-a was left out", pick.Target.ID)
		}
		sent[pick.Target.ID]++
		limit := NoLimit
		if pick.Target.ID == "in-a" {
			limit = 10
		}
		told{now, now + 5, limit}.tell(selector, pick.Target)
	}
	if sent["in-a"] < 95 || sent["in-a"] > 105 {
		t.Errorf("the target with a limit of 10 a second gets %d requests in 10 s", sent["in-a"])
	}
}

// TestShardAtItsLimit answers the pattern of a shard whose targets all name limits: requests that it cannot carry are told so at
// once, with the time to come back.
func TestShardAtItsLimit(t *testing.T) {
	selector := newLoneSelector()
	for _, target := range targets() {
		told{0, 10, 0.5}.tell(selector, target)
	}
	for range targets() { // each takes one at once
		pick, ok := selector.Choose(at(20), route, targets(), service, nil, always)
		if !ok {
			t.Fatal("no target is chosen although each takes a request")
		}
		told{20, 21, 0.5}.tell(selector, pick.Target)
	}
	if _, ok := selector.Choose(at(30), route, targets(), service, nil, always); ok {
		t.Error("a target is chosen although no request is left")
	}
	wait := selector.QuietFor(at(30), targets())
	if wait < time.Second || wait > 3*time.Second {
		t.Errorf("told to wait %v for targets that take a request each 2 s", wait)
	}
	if _, ok := selector.Choose(at(30).Add(wait), route, targets(), service, nil, always); !ok {
		t.Error("no target is chosen after the wait")
	}
}

// TestLimitInSomeAnswers guards against a target that names its limit in every other answer, and gets a request at once each
// time.
func TestLimitInSomeAnswers(t *testing.T) {
	selector := newLoneSelector()
	sent := 0
	for now := 0; now < 4000; now += 10 {
		if selector.limitWait(at(now), targets()[0], targets()) > 0 {
			continue
		}
		limit := Limit(1)
		if sent%2 > 0 {
			limit = NoLimit
		}
		told{now, now + 1, limit}.tell(selector, targets()[0])
		sent++
	}
	if sent > 11 {
		t.Errorf("%d requests in 4 s to a target that takes one a second", sent)
	}
}

// TestLimitsOfGoneTargetsAreForgotten guards against memory that grows with each target that named a limit before it ended.
func TestLimitsOfGoneTargetsAreForgotten(t *testing.T) {
	selector := newLoneSelector()
	told{0, 10, 1}.tell(selector, targets()[0])
	selector.Sweep(at(10).Add(2 * idleTTL))
	if selector.targets["in-a"] == nil {
		t.Error("the limit is forgotten before this instance may have its turn")
	}
	selector.Sweep(at(10).Add(2 * limitTTL))
	if len(selector.targets) > 0 {
		t.Error("a target that was not used for long is still kept")
	}
}

func TestLimitChangesAreReported(t *testing.T) {
	selector := newLoneSelector()
	for i, limit := range []Limit{30, 31, 10, NoLimit, 0, 0} {
		told{2000 * i, 2000*i + 10, limit}.tell(selector, targets()[0])
		selector.limitWait(at(2000*i+15), targets()[0], targets())
	}
	for i := range 100 { // in some answers only
		told{12_000 + 20*i, 12_010 + 20*i, []Limit{5, NoLimit}[i%2]}.tell(selector, targets()[0])
		selector.limitWait(at(12_015+20*i), targets()[0], targets())
	}
	if changes := selector.TakeHealthChanges(); len(changes) > 7 {
		t.Errorf("%d changes are reported in 14 s, want one a second at most", len(changes))
	} else {
		selector.healthChanges = changes[:4]
	}
	assertHealthChanges(t, selector, "in-a "+Limited, "in-a "+Limited, "in-a "+LimitEnded, "in-a "+Limited)
}

// TestLimitsOfDrawnTargets draws answers, restarts, limits and sweeps, and checks that a target never gets more in 4 s than one and
// a half times its limit, five requests, and the one that was told of it.
func TestLimitsOfDrawnTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		selector, candidates, now := newLoneSelector(), targets(), 0
		limits := map[string]Limit{}
		for _, target := range candidates {
			limits[target.ID] = NoLimit
		}
		since := map[string]int{} // when each target named its limit, or a lower one than before
		sent := map[string][]int{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += rapid.OneOf(rapid.IntRange(1, 30), rapid.IntRange(1, 3000)).Draw(t, "pause ms")
			index := rapid.IntRange(0, len(candidates)-1).Draw(t, "target")
			target := &candidates[index]
			switch rapid.IntRange(0, 20).Draw(t, "step") {
			case 0:
				target.Born++
				limits[target.ID], since[target.ID] = NoLimit, now
			case 1:
				selector.Sweep(at(now))
			case 3:
				limits[target.ID], since[target.ID] = NoLimit, now
			case 2:
				limits[target.ID] = Limit(rapid.OneOf(rapid.Float64Range(0, 2), rapid.Float64Range(0, 50)).Draw(t, "limit"))
				since[target.ID] = now
			default:
				for range rapid.IntRange(1, 20).Draw(t, "requests") {
					pick, ok := selector.Choose(at(now), route, candidates, service, nil, always)
					if !ok {
						break
					}
					sent[pick.Target.ID] = append(sent[pick.Target.ID], now)
					told{now, now + 1, limits[pick.Target.ID]}.tell(selector, pick.Target)
				}
			}
			for id, times := range sent {
				count := 0
				for _, time := range times {
					if time > now-4000 && time > since[id] {
						count++
					}
				}
				if limit := limits[id]; limit < NoLimit && float64(count) > 6*float64(limit)+5+1 {
					t.Fatalf("%s with a limit of %v got %d requests in 4 s", id, limit, count)
				}
			}
		}
	})
}
