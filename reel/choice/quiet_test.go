package choice

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/catalogue"
)

// refuse records an attempt that the target refuses, and for how long it then wants no requests.
func refuse(selector *Selector, now int, target catalogue.Target, quiet time.Duration) {
	selector.RecordSent(at(now), target.ID, Attempt{ID: uint64(now), Route: route.Name, SentAt: at(now)})
	selector.RecordEnd(at(now), target, uint64(now), Refused, Report{Quiet: quiet})
}

func TestQuiet(t *testing.T) {
	all := targets()
	restarted := all[0]
	restarted.Born = 7
	for _, test := range []struct {
		name   string
		quiet  []time.Duration // of one target, 100 ms apart from 0 ms on
		target catalogue.Target
		now    int
		want   time.Duration
	}{
		{"none", nil, all[0], 0, 0},
		{"begun", []time.Duration{time.Second}, all[0], 400, 600 * time.Millisecond},
		{"over", []time.Duration{time.Second}, all[0], 1000, 0},
		{"a shorter wish does not end a longer one", []time.Duration{time.Second, 100 * time.Millisecond}, all[0], 400, 600 * time.Millisecond},
		{"a longer wish extends a shorter one", []time.Duration{100 * time.Millisecond, time.Second}, all[0], 400, 700 * time.Millisecond},
		{"absurd", []time.Duration{1 << 62}, all[0], 0, maxQuiet},
		{"the target has started again", []time.Duration{time.Second}, restarted, 400, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			selector := newSelector()
			for i, quiet := range test.quiet {
				refuse(selector, 100*i, all[0], quiet)
			}
			if got := selector.QuietFor(at(test.now), []catalogue.Target{test.target}); got != test.want {
				t.Errorf("quiet for %v, want %v", got, test.want)
			}
			if test.want > 0 && selector.QuietFor(at(test.now), all) != 0 {
				t.Error("the service is quiet although two targets take requests")
			}
		})
	}
}

// TestNothingIsSentToQuietTarget draws requests, refusals, restarts and sweeps, and checks that no attempt goes to a target
// before the time is over for which it wanted none.
func TestNothingIsSentToQuietTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		selector, candidates, now := newSelector(), targets(), 0
		until := map[string]time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += 1 + rapid.OneOf(rapid.IntRange(0, 500), rapid.IntRange(0, 200_000)).Draw(t, "pause ms")
			index := rapid.IntRange(0, len(candidates)-1).Draw(t, "target")
			target := &candidates[index]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				target.Born++
				delete(until, target.ID)
			case 1:
				selector.Sweep(at(now))
			default:
				pick, ok := selector.Choose(at(now), route, candidates, service, nil, always)
				quiet := selector.QuietFor(at(now), candidates)
				if ok == (quiet > 0) {
					t.Fatalf("a target is chosen: %v, but all are quiet for %v", ok, quiet)
				}
				if !ok {
					continue
				}
				if at(now).Before(until[pick.Target.ID]) {
					t.Fatalf("%s is sent a request at %d ms although it wants none until %v", pick.Target.ID, now, until[pick.Target.ID])
				}
				wish := time.Duration(rapid.IntRange(0, 300_000).Draw(t, "quiet ms")) * time.Millisecond
				refuse(selector, now, pick.Target, wish)
				if end := at(now).Add(wish); end.After(until[pick.Target.ID]) {
					until[pick.Target.ID] = end
				}
			}
		}
	})
}
