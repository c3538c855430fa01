package catalogue

import (
	"testing"

	"shallotreel.example/reel/storepos"
)

func TestDelta(t *testing.T) {
	reader := New()
	reader.Configure(NewConfiguration(3, []Route{{Name: "r", Host: "h", Prefix: "/"}}, []Service{{Name: "menus", MaxConnections: 9}}, Limits{}))
	reader.Register(target("one", 1))
	reader.Register(target("two", 1))

	t.Run("a full delta brings an empty catalogue up to date", func(t *testing.T) {
		peer := New()
		peer.Apply(at(10), reader.Since(at(10), 0), true, storepos.Position{})
		assertUsable(t, peer, "one", "two")
		if _, ok := peer.View().Configuration.FindRoute("h", "/x"); !ok {
			t.Error("the route was not found")
		}
	})
	t.Run("a later delta contains only changes", func(t *testing.T) {
		peer := New()
		first := reader.Since(at(10), 0)
		peer.Apply(at(10), first, true, storepos.Position{})
		reader.Remove(at(20), Removal{ID: "one"})
		leaving := target("two", 2)
		leaving.Leaving = true
		reader.Register(leaving)
		delta := reader.Since(at(10), first.Serial)
		if len(delta.Targets) != 1 || len(delta.Removed) != 1 || delta.Version != 0 {
			t.Errorf("the delta has %d targets, %d removed, version %d", len(delta.Targets), len(delta.Removed), delta.Version)
		}
		peer.Apply(at(30), delta, false, storepos.Position{})
		assertUsable(t, peer)
	})
	t.Run("a removal that the reader delays is delayed for its peers", func(t *testing.T) {
		reader, peer := New(), New()
		reader.Register(target("one", 1))
		first := reader.Since(at(10), 0)
		peer.Apply(at(10), first, true, storepos.Position{})
		reader.StoreFailed()
		reader.StoreAnswered(at(5000), 0)
		reader.Remove(at(5000), Removal{ID: "one"})
		second := reader.Since(at(10), first.Serial)
		peer.Apply(at(5010), second, false, storepos.Position{})
		assertUsable(t, peer, "one")
		reader.Tick(at(7300))
		peer.Apply(at(7310), reader.Since(at(10), second.Serial), false, storepos.Position{})
		assertUsable(t, peer)
	})
	t.Run("a removal that the reader delays ends at peers that have lost the reader", func(t *testing.T) {
		reader, known, fresh, second := New(), New(), New(), New()
		reader.Register(target("one", 1))
		first := reader.Since(at(10), 0)
		known.Apply(at(10), first, true, storepos.Position{})
		reader.Register(target("one", 2)) // an ordinary report, which is not sent
		reader.StoreFailed()
		reader.StoreAnswered(at(5000), 0)
		reader.Remove(at(6000), Removal{ID: "one"})
		known.Apply(at(6100), reader.Since(at(6100), first.Serial), false, storepos.Position{})
		fresh.Apply(at(6100), reader.Since(at(6100), 0), true, storepos.Position{})
		second.Apply(at(7000), fresh.Since(at(7000), 0), true, storepos.Position{})
		for _, peer := range []*Catalogue{known, fresh, second} {
			assertUsable(t, peer, "one")
			peer.Tick(at(7300))
			assertUsable(t, peer)
		}
		known.Apply(at(7310), reader.Since(at(7290), 0), true, storepos.Position{})
		assertUsable(t, known) // although the reader lists a later report of it
	})
	t.Run("a delayed removal does not end a later registration", func(t *testing.T) {
		reader, peer := New(), New()
		reader.Register(target("one", 1))
		reader.StoreFailed()
		reader.StoreAnswered(at(5000), 0)
		reader.Remove(at(6000), Removal{ID: "one"})
		peer.Register(target("one", 2))
		peer.Apply(at(6100), reader.Since(at(6100), 0), false, storepos.Position{})
		peer.Tick(at(7300))
		assertUsable(t, peer, "one")
	})
	t.Run("a removal is not delayed twice", func(t *testing.T) {
		reader, peer := New(), New()
		reader.Register(target("one", 1))
		first := reader.Since(at(10), 0)
		peer.Apply(at(10), first, true, storepos.Position{})
		reader.Remove(at(6000), Removal{ID: "one"})
		peer.StoreFailed()
		peer.StoreAnswered(at(6100), 0)
		peer.Apply(at(6100), reader.Since(at(6100), first.Serial), false, storepos.Position{})
		assertUsable(t, peer)
	})
	t.Run("an older configuration does not take effect", func(t *testing.T) {
		peer := New()
		peer.Configure(NewConfiguration(8, nil, nil, Limits{}))
		peer.Apply(at(10), reader.Since(at(10), 0), true, storepos.Position{})
		if got := peer.View().Configuration.Version; got != 8 {
			t.Errorf("the current version is %d, want 8", got)
		}
	})
}
