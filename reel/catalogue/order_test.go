package catalogue

import (
	"testing"

	"shallotreel.example/reel/storepos"
)

func position(era, revision uint64) storepos.Position {
	return storepos.Position{Era: era, Revision: revision}
}

// targetAt returns a report that the store has at the position.
func targetAt(id string, seq uint64, position storepos.Position) Target {
	target := target(id, seq)
	target.Born, target.Position = 7, position
	return target
}

// TestOrder guards against changes that take effect in the order in which they come, from a page, a watch or a peer, instead of that of the
// store: a target that is back stays away, or one that is gone stays in use.
func TestOrder(t *testing.T) {
	known := func(revision uint64) *Catalogue {
		catalogue := New()
		catalogue.Register(targetAt("one", 5, position(1, revision)))
		return catalogue
	}
	remove := func(catalogue *Catalogue, position storepos.Position) {
		catalogue.Remove(at(0), Removal{"one", position})
	}
	list := func(catalogue *Catalogue, position storepos.Position, targets ...Target) {
		catalogue.BeginListing()
		for _, target := range targets {
			catalogue.Register(target)
		}
		catalogue.EndListing(at(0), position)
	}
	t.Run("a removal that is older than the registration", func(t *testing.T) {
		catalogue := known(11)
		remove(catalogue, position(1, 10))
		catalogue.Register(targetAt("one", 5, position(1, 11)))
		assertUsable(t, catalogue, "one")
	})
	t.Run("a registration that is older than the removal", func(t *testing.T) {
		catalogue := known(11)
		remove(catalogue, position(1, 12))
		catalogue.Register(targetAt("one", 5, position(1, 11)))
		assertUsable(t, catalogue)
	})
	t.Run("a registration after the removal, with the number of the one before", func(t *testing.T) {
		catalogue := known(11)
		remove(catalogue, position(1, 12))
		catalogue.Register(targetAt("one", 5, position(1, 13)))
		assertUsable(t, catalogue, "one")
	})
	t.Run("a process whose clock is behind that of the one before", func(t *testing.T) {
		catalogue := known(11)
		later := targetAt("one", 1, position(1, 12))
		later.Born = 3
		remove(catalogue, position(1, 11))
		catalogue.Register(later)
		assertUsable(t, catalogue, "one")
	})
	t.Run("a report without a start, which another program wrote", func(t *testing.T) {
		catalogue := known(11)
		odd := targetAt("one", 9, position(1, 12))
		odd.Born, odd.Leaving = 0, true
		catalogue.Register(odd)
		assertUsable(t, catalogue, "one")
	})
	t.Run("a report after one with a plausible start and number, which another program wrote", func(t *testing.T) {
		catalogue := known(11)
		odd := targetAt("one", 900, position(1, 12))
		odd.Born, odd.Leaving = 99, true
		catalogue.Register(odd)
		catalogue.Register(targetAt("one", 6, position(1, 13)))
		assertUsable(t, catalogue, "one")
	})
	t.Run("a listing that is older than the registration", func(t *testing.T) {
		catalogue := known(11)
		list(catalogue, position(1, 10))
		assertUsable(t, catalogue, "one")
	})
	t.Run("a listing that is newer than the registration", func(t *testing.T) {
		catalogue := known(11)
		list(catalogue, position(1, 12))
		assertUsable(t, catalogue)
	})
	t.Run("a full catalogue of a peer that has read less", func(t *testing.T) {
		catalogue := known(11)
		catalogue.Apply(at(0), New().Since(at(0), 0), true, position(1, 10))
		assertUsable(t, catalogue, "one")
	})
	t.Run("a full catalogue of a peer that has read more than its position says", func(t *testing.T) {
		peer, catalogue := known(11), known(11)
		remove(peer, position(1, 12))
		catalogue.Apply(at(0), peer.Since(at(0), 0), true, position(1, 10))
		assertUsable(t, catalogue)
	})
	t.Run("a removal told by a build that does not know positions", func(t *testing.T) {
		catalogue := known(11)
		catalogue.Apply(at(0), Delta{Removed: []string{"one"}}, false, position(1, 10))
		assertUsable(t, catalogue)
	})
	t.Run("a target told by a build that does not know positions", func(t *testing.T) {
		catalogue := known(11)
		remove(catalogue, position(1, 12))
		catalogue.Register(targetAt("one", 5, storepos.Position{}))
		assertUsable(t, catalogue)
		catalogue.Register(targetAt("one", 6, storepos.Position{}))
		assertUsable(t, catalogue, "one")
	})
}

// TestReportOfRestoredStore guards against a target that stays away because a store, which was restored from a copy, has the registration from
// before its removal and nothing newer comes, and against one that is used again although it has ended.
func TestReportOfRestoredStore(t *testing.T) {
	held := func() *Catalogue {
		catalogue := New()
		catalogue.Register(targetAt("one", 5, position(1, 11)))
		catalogue.Remove(at(0), Removal{"one", position(1, 12)})
		catalogue.Register(targetAt("one", 5, position(2, 11)))
		catalogue.Tick(at(0))
		assertUsable(t, catalogue)
		return catalogue
	}
	t.Run("the store keeps it", func(t *testing.T) {
		catalogue := held()
		catalogue.Tick(at(4999))
		assertUsable(t, catalogue)
		catalogue.Tick(at(5000))
		assertUsable(t, catalogue, "one")
	})
	t.Run("the store removes it", func(t *testing.T) {
		catalogue := held()
		catalogue.Remove(at(4000), Removal{"one", position(2, 12)})
		catalogue.Tick(at(60_000))
		assertUsable(t, catalogue)
	})
	t.Run("a peer tells that the store has removed it", func(t *testing.T) {
		peer, catalogue := held(), held()
		serial := peer.Since(at(0), 0).Serial
		peer.Remove(at(4000), Removal{"one", position(2, 12)})
		catalogue.Apply(at(4000), peer.Since(at(4000), serial), false, position(2, 12))
		catalogue.Tick(at(60_000))
		assertUsable(t, catalogue)
	})
}
