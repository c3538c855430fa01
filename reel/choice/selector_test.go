package choice

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
)

var (
	epoch   = time.Unix(1_700_000_000, 0)
	route   = &catalogue.Route{Name: "menus", Goal: 200 * time.Millisecond}
	service = catalogue.Service{Name: "menus", MaxConnections: 41}
)

func always(catalogue.Target) bool { return true }

func at(milliseconds int) time.Time {
	return epoch.Add(time.Duration(milliseconds) * time.Millisecond)
}

func newSelector() *Selector {
	selector := New(rand.New(rand.NewPCG(1, 2)))
	selector.SetFleet(Fleet{DataCentre: "a", Instances: map[string]int{"a": 3, "b": 3, "c": 3}, Total: 9})
	return selector
}

func targets() []catalogue.Target {
	var targets []catalogue.Target
	for i, centre := range []string{"a", "b", "c"} {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		targets = append(targets, catalogue.Target{ID: "in-" + centre, Address: address, DataCentre: centre, Slots: 5})
	}
	return targets
}

// serve records answered attempts at the target, one after another, each of which takes the given number of
// milliseconds. It returns the time after the last one, in milliseconds from the epoch.
func serve(selector *Selector, from int, target catalogue.Target, count, latency int) int {
	for range count {
		selector.RecordSent(at(from), target.ID, Attempt{ID: uint64(from), Route: route.Name, SentAt: at(from)})
		selector.RecordEnd(at(from+latency), target, uint64(from), Answered, Report{})
		from += latency + 1
	}
	return from
}

func assertPick(t *testing.T, selector *Selector, now int, tried []string, want string) {
	t.Helper()
	pick, ok := selector.Choose(at(now), route, targets(), service, tried, always)
	if !ok || pick.Target.ID != want {
		t.Errorf("picked %q (%s), want %q", pick.Target.ID, pick.Grade, want)
	}
}

func TestChoose(t *testing.T) {
	t.Run("own data centre is preferred", func(t *testing.T) {
		assertPick(t, newSelector(), 0, nil, "in-a")
	})
	t.Run("target whose address another process uses is not selected", func(t *testing.T) {
		selector, all := newSelector(), targets()
		selector.RecordSent(at(0), all[0].ID, Attempt{ID: 1, Route: route.Name, SentAt: at(0)})
		selector.RecordEnd(at(3), all[0], 1, Misdirected, Report{})
		for now := 4; now < 9000; now += 500 {
			if pick, ok := selector.Choose(at(now), route, all, service, nil, always); !ok || pick.Target.ID == "in-a" {
				t.Fatalf("picked %q at %d ms", pick.Target.ID, now)
			}
		}
		if _, ok := selector.Choose(at(10), route, all[:1], service, nil, always); ok {
			t.Error("target was selected as the only candidate")
		}
	})
	t.Run("new process of a misdirected target is selected", func(t *testing.T) {
		selector, all := newSelector(), targets()
		selector.RecordSent(at(0), all[0].ID, Attempt{ID: 1, Route: route.Name, SentAt: at(0)})
		selector.RecordEnd(at(3), all[0], 1, Misdirected, Report{})
		all[0].Born = 5
		if pick, ok := selector.Choose(at(10), route, all[:1], service, nil, always); !ok || pick.Target.ID != "in-a" {
			t.Error("target was not selected")
		}
	})
	t.Run("unresponsive target is avoided", func(t *testing.T) {
		selector, all := newSelector(), targets()
		now := serve(selector, 0, all[0], 60, 20)
		selector.RecordSent(at(now), all[0].ID, Attempt{ID: 1, Route: route.Name, SentAt: at(now)})
		assertPick(t, selector, now+10, nil, "in-a")
		if pick, _ := selector.Choose(at(now+80), route, all, service, nil, always); pick.Target.ID == "in-a" {
			t.Error("target was selected while it was unresponsive")
		}
	})
	t.Run("target with abandoned attempts is slow", func(t *testing.T) {
		selector, all := newSelector(), targets()
		now := serve(selector, 0, all[0], 60, 20)
		for i := range 5 {
			selector.RecordSent(at(now), all[0].ID, Attempt{ID: uint64(i), Route: route.Name, SentAt: at(now)})
			selector.RecordEnd(at(now+160), all[0], uint64(i), Abandoned, Report{})
		}
		selector.Choose(at(now+161), route, all, service, nil, always) // the probe
		if pick, _ := selector.Choose(at(now+162), route, all, service, nil, always); pick.Target.ID == "in-a" {
			t.Error("target was selected")
		}
	})
	t.Run("target that fails 40% of its attempts is avoided", func(t *testing.T) {
		selector, all := newSelector(), targets()
		now := serve(selector, 0, all[0], 60, 20)
		for i := range 30 {
			outcome := Answered
			if i%5 < 2 {
				outcome = Failed
			}
			selector.RecordSent(at(now), all[0].ID, Attempt{ID: uint64(i), Route: route.Name, SentAt: at(now)})
			selector.RecordEnd(at(now+20), all[0], uint64(i), outcome, Report{})
			now += 21
		}
		selector.Choose(at(now), route, all, service, nil, always) // the probe
		if pick, _ := selector.Choose(at(now+1), route, all, service, nil, always); pick.Target.ID == "in-a" {
			t.Error("target was selected")
		}
	})
	t.Run("slow target is probed and selected again after it recovers", func(t *testing.T) {
		selector, all := newSelector(), targets()
		now := serve(selector, 0, all[0], 60, 20)
		now = serve(selector, now, all[0], 10, 160)
		assertPick(t, selector, now, nil, "in-a") // the probe
		if pick, _ := selector.Choose(at(now+1), route, all, service, nil, always); pick.Target.ID == "in-a" {
			t.Error("target was probed twice within the probe interval")
		}
		now = serve(selector, now, all[0], 4, 20)
		assertPick(t, selector, now+1, nil, "in-a")
	})
}

// TestConnectionLimitOfSpareInstances checks that the instances that callers are sent to share nearly all connections,
// and that the others keep one each for callers with old addresses.
func TestConnectionLimitOfSpareInstances(t *testing.T) {
	all := targets()
	for _, test := range []struct {
		name string
		idle bool
		want int
	}{
		{"an instance that callers are sent to", false, 26}, // of 125, nine tenths, of them seven tenths for three instances
		{"another one", true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			selector := newSelector()
			selector.SetFleet(Fleet{DataCentre: "a", Instances: map[string]int{"a": 3, "b": 3, "c": 3}, Total: 9, Spare: 90, Idle: test.idle})
			if got := selector.ConnectionLimit(all[0], catalogue.Service{MaxConnections: 125}, all); got != test.want {
				t.Errorf("%d connections, want %d", got, test.want)
			}
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	all := targets()
	limit := func(dataCentre string, target catalogue.Target, maxConnections int, candidates []catalogue.Target) int {
		selector := newSelector()
		selector.SetFleet(Fleet{DataCentre: dataCentre, Instances: map[string]int{"a": 3, "b": 3, "c": 3}, Total: 9})
		return selector.ConnectionLimit(target, catalogue.Service{MaxConnections: maxConnections}, candidates)
	}
	for _, test := range []struct {
		name           string
		dataCentre     string
		maxConnections int
		candidates     []catalogue.Target
		want           int
	}{
		{"own data centre", "a", 41, all, 9},
		{"other data centre", "b", 41, all, 2},
		{"other data centre without a target", "b", 41, all[:1], 4},
		{"other data centre without a target while a third one has a target", "b", 41, []catalogue.Target{all[0], all[2]}, 4},
		{"fewer connections than instances", "b", 5, all, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := limit(test.dataCentre, all[0], test.maxConnections, test.candidates); got != test.want {
				t.Errorf("%d connections, want %d", got, test.want)
			}
		})
	}
}
