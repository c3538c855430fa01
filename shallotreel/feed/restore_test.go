package feed

import (
	"testing"
	"time"

	"shallotreel.example/platform/storetest"
	"shallotreel.example/shallotreel/cataloguesync"
)

// TestStoreRestored checks that an instance reads everything again after the store was restored from a copy, also if the
// revisions that it had seen have been given out again meanwhile.
func TestStoreRestored(t *testing.T) {
	store := storetest.Start(t)
	store.Configure(t, 1)
	store.Register(t, storetest.Target{ID: "one", Seq: 1})
	store.Register(t, storetest.Target{ID: "two", Seq: 1})
	saved := store.Copy()
	reader := start(t, store.Address(), &fakePeers{})
	peers := &fakePeers{}
	peers.reader.Store(&reader.address)
	other := start(t, store.Address(), peers)
	store.Configure(t, 2)
	store.Register(t, storetest.Target{ID: "one", Seq: 2, Leaving: true})
	store.Register(t, storetest.Target{ID: "lost", Seq: 1})
	instances := []*instance{reader, other}
	for _, instance := range instances {
		waitFor(t, "the state before the loss", func() bool { return instance.version() == 2 && instance.targets() == 2 })
	}

	store.Restore(saved)
	store.Register(t, storetest.Target{ID: "three", Seq: 1}) // the revisions up to the highest one known are given out again
	store.Register(t, storetest.Target{ID: "four", Seq: 1})
	store.Register(t, storetest.Target{ID: "two", Seq: 2, Leaving: true})
	store.Register(t, storetest.Target{ID: "five", Seq: 1})
	for _, instance := range instances {
		waitFor(t, "the new state without the lost target", func() bool {
			view := instance.View().Targets("desk")
			return len(view) == 3 && view[0].ID == "five" && view[1].ID == "four" && view[2].ID == "three"
		})
		if instance.version() != 2 {
			t.Errorf("version %d is in force, want 2, since versions only rise", instance.version())
		}
	}
	store.Configure(t, 3)
	for _, instance := range instances {
		waitFor(t, "the next version", func() bool { return instance.version() == 3 })
	}
}

// TestPeerOfOlderEra checks that an instance that has seen the new era takes nothing from a peer that has not.
func TestPeerOfOlderEra(t *testing.T) {
	store := storetest.Start(t)
	store.Configure(t, 1)
	store.Register(t, storetest.Target{ID: "one", Seq: 1})
	saved := store.Copy()
	address, proxy := startProxy(t, store.Address())
	reader := start(t, address, &fakePeers{})
	store.Register(t, storetest.Target{ID: "lost", Seq: 1})
	waitFor(t, "the reader to load the catalogue", func() bool { return reader.targets() == 2 && reader.position.Load().Era == 1 })
	proxy.disconnect()
	store.Restore(saved)
	peers := &fakePeers{}
	other := start(t, store.Address(), peers)
	waitFor(t, "the other instance to load the catalogue", func() bool { return other.targets() == 1 && other.position.Load().Era == 2 })
	reply := reader.Since(cataloguesync.Query{})
	reply.Age = time.Millisecond // as if it had just been read
	if reply.Position().Compare(*other.position.Load()) >= 0 {
		t.Errorf("the position %+v of the peer is not earlier than %+v", reply.Position(), *other.position.Load())
	}
	peers.reader.Store(&reader.address)
	store.Register(t, storetest.Target{ID: "two", Seq: 1})
	waitFor(t, "the new target", func() bool { return other.targets() == 2 })
	for _, target := range other.View().Targets("desk") {
		if target.ID == "lost" {
			t.Error("the peer has brought back a target that the store has lost")
		}
	}
}
