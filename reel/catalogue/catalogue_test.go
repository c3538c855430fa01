package catalogue

import (
	"net/netip"
	"testing"
	"time"

	"shallotreel.example/reel/storepos"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(milliseconds int) time.Time {
	return epoch.Add(time.Duration(milliseconds) * time.Millisecond)
}

func target(id string, seq uint64) Target {
	return Target{ID: id, Service: "menus", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "a", Slots: 3, Seq: seq}
}

func assertUsable(t *testing.T, catalogue *Catalogue, ids ...string) {
	t.Helper()
	targets := catalogue.View().Targets("menus")
	if len(targets) != len(ids) {
		t.Fatalf("%d targets are usable, want %d (%v)", len(targets), len(ids), ids)
	}
	for i, id := range ids {
		if targets[i].ID != id {
			t.Fatalf("target %d is %s, want %s", i, targets[i].ID, id)
		}
	}
}

func TestRemoval(t *testing.T) {
	t.Run("takes effect immediately while the store answers", func(t *testing.T) {
		catalogue := New()
		catalogue.Register(target("one", 1))
		catalogue.Remove(at(100), Removal{ID: "one"})
		assertUsable(t, catalogue)
	})
	t.Run("is delayed while the store is recovering", func(t *testing.T) {
		catalogue := New()
		catalogue.Register(target("one", 1))
		catalogue.StoreFailed()
		catalogue.StoreAnswered(at(5000), 0)
		catalogue.Remove(at(5000), Removal{ID: "one"})
		assertUsable(t, catalogue, "one")
		catalogue.Tick(at(5000 + 2300))
		assertUsable(t, catalogue)
	})
	t.Run("takes effect immediately after an outage in which no registration can have expired", func(t *testing.T) {
		catalogue := New()
		catalogue.Register(target("one", 1))
		catalogue.StoreAnswered(at(100), 0)
		catalogue.StoreFailed()
		catalogue.StoreAnswered(at(600), 0)
		catalogue.Remove(at(2000), Removal{ID: "one"})
		assertUsable(t, catalogue)
	})
	t.Run("is delayed after short outages that make up a long one", func(t *testing.T) {
		catalogue := New()
		catalogue.Register(target("one", 1))
		for _, milliseconds := range []int{100, 1300, 2500} {
			catalogue.StoreAnswered(at(milliseconds), 0)
			catalogue.StoreFailed()
		}
		catalogue.StoreAnswered(at(3000), 0)
		catalogue.Remove(at(3000), Removal{ID: "one"})
		assertUsable(t, catalogue, "one")
	})
	t.Run("is delayed from the recovery, not from the time of the removal", func(t *testing.T) {
		catalogue := New()
		catalogue.Register(target("one", 1))
		catalogue.StoreFailed()
		catalogue.StoreAnswered(at(5000), 0)
		catalogue.Remove(at(7120), Removal{ID: "one"})
		catalogue.Tick(at(7300))
		assertUsable(t, catalogue)
	})
	t.Run("is canceled when the target registers again", func(t *testing.T) {
		catalogue := New()
		catalogue.Register(target("one", 1))
		catalogue.StoreFailed()
		catalogue.StoreAnswered(at(5000), 0)
		catalogue.Remove(at(5000), Removal{ID: "one"})
		catalogue.Register(target("one", 2))
		catalogue.Tick(at(9000))
		assertUsable(t, catalogue, "one")
	})
}

func TestReports(t *testing.T) {
	t.Run("an older report does not cancel leaving", func(t *testing.T) {
		catalogue := New()
		catalogue.Register(target("one", 4))
		leaving := target("one", 5)
		leaving.Leaving = true
		catalogue.Register(leaving)
		catalogue.Register(target("one", 3))
		catalogue.Register(target("one", 6))
		assertUsable(t, catalogue)
	})
	t.Run("an older report does not restore a removed target", func(t *testing.T) {
		catalogue := New()
		catalogue.Register(target("one", 4))
		catalogue.Remove(at(10), Removal{ID: "one"})
		catalogue.Register(target("one", 4))
		assertUsable(t, catalogue)
	})
	t.Run("a new process with the same ID replaces a leaving one", func(t *testing.T) {
		catalogue := New()
		leaving := target("one", 9)
		leaving.Leaving = true
		catalogue.Register(leaving)
		fresh := target("one", 1)
		fresh.Born = 77
		catalogue.Register(fresh)
		assertUsable(t, catalogue, "one")
	})
	t.Run("a full listing removes targets that it does not contain", func(t *testing.T) {
		catalogue := New()
		catalogue.Register(target("one", 1))
		catalogue.Register(target("two", 1))
		catalogue.BeginListing()
		catalogue.Register(target("two", 2))
		catalogue.EndListing(at(10), storepos.Position{})
		assertUsable(t, catalogue, "two")
	})
}

func TestConfigure(t *testing.T) {
	catalogue := New()
	if !catalogue.Configure(NewConfiguration(7, nil, nil, Limits{})) {
		t.Error("the first version did not take effect")
	}
	if catalogue.Configure(NewConfiguration(5, nil, nil, Limits{})) {
		t.Error("an older version took effect")
	}
	if got := catalogue.View().Configuration.Version; got != 7 {
		t.Errorf("the current version is %d, want 7", got)
	}
}

func TestFindRoute(t *testing.T) {
	routes := []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "A.example", Prefix: "/x/y/"},
	}
	configuration := NewConfiguration(1, routes, nil, Limits{})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/2f", "short"},
		{"A.EXAMPLE:80", "/x/y/z", "long"},
		{"a.example", "/x", ""},
		{"b.example", "/x/", ""},
	} {
		name := ""
		if route, ok := configuration.FindRoute(test.host, test.path); ok {
			name = route.Name
		}
		if name != test.want {
			t.Errorf("FindRoute(%q, %q) = %q, want %q", test.host, test.path, name, test.want)
		}
	}
}

// TestStoreRestored checks that a target whose registration is missing in a restored store stays usable until it must
// have registered again.
func TestStoreRestored(t *testing.T) {
	for _, test := range []struct {
		name     string
		restored bool
		after    time.Duration
		want     int
	}{
		{"the store was not restored", false, 0, 0},
		{"the store was restored just now", true, reregistrationTimeout - 1, 1},
		{"the target has not registered again in time", true, reregistrationTimeout, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			catalogue := New()
			catalogue.Register(Target{ID: "one", Service: "desk", Born: 1, Seq: 1})
			if test.restored {
				catalogue.StoreRestored(now)
			}
			catalogue.BeginListing()
			catalogue.EndListing(now, storepos.Position{})
			catalogue.Tick(now.Add(test.after))
			if got := len(catalogue.View().Targets("desk")); got != test.want {
				t.Errorf("%d targets are usable, want %d", got, test.want)
			}
		})
	}
}
