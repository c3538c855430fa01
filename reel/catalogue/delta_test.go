package catalogue

import "testing"

func TestDelta(t *testing.T) {
	reader := New()
	reader.Configure(NewConfiguration(3, []Route{{Name: "r", Host: "h", Prefix: "/"}}, []Service{{Name: "menus", MaxConnections: 9}}, Limits{}))
	reader.Register(target("one", 1))
	reader.Register(target("two", 1))

	t.Run("a full delta brings an empty catalogue up to date", func(t *testing.T) {
		peer := New()
		peer.Apply(at(10), reader.Since(at(10), 0), true)
		assertUsable(t, peer, "one", "two")
		if _, ok := peer.View().Configuration.FindRoute("h", "/x"); !ok {
			t.Error("the route was not found")
		}
	})
	t.Run("a later delta contains only changes", func(t *testing.T) {
		peer := New()
		first := reader.Since(at(10), 0)
		peer.Apply(at(10), first, true)
		reader.Remove(at(20), "one")
		leaving := target("two", 2)
		leaving.Leaving = true
		reader.Register(leaving)
		delta := reader.Since(at(10), first.Serial)
		if len(delta.Targets) != 1 || len(delta.Removed) != 1 || delta.Version != 0 {
			t.Errorf("the delta has %d targets, %d removed, version %d", len(delta.Targets), len(delta.Removed), delta.Version)
		}
		peer.Apply(at(30), delta, false)
		assertUsable(t, peer)
	})
	t.Run("a removal that the reader delays is delayed for its peers", func(t *testing.T) {
		reader, peer := New(), New()
		reader.Register(target("one", 1))
		first := reader.Since(at(10), 0)
		peer.Apply(at(10), first, true)
		reader.StoreFailed()
		reader.StoreAnswered(at(5000))
		reader.Remove(at(5000), "one")
		second := reader.Since(at(10), first.Serial)
		peer.Apply(at(5010), second, false)
		assertUsable(t, peer, "one")
		reader.Tick(at(7300))
		peer.Apply(at(7310), reader.Since(at(10), second.Serial), false)
		assertUsable(t, peer)
	})
	t.Run("an older configuration does not take effect", func(t *testing.T) {
		peer := New()
		peer.Configure(NewConfiguration(8, nil, nil, Limits{}))
		peer.Apply(at(10), reader.Since(at(10), 0), true)
		if got := peer.View().Configuration.Version; got != 8 {
			t.Errorf("the current version is %d, want 8", got)
		}
	})
}
