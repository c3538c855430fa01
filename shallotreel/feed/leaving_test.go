package feed

import (
	"testing"

	"shallotreel.example/platform/storetest"
	"shallotreel.example/reel/catalogue"
)

// TestAnswerSaysLeaving checks that a target whose answer says that it leaves is used no more: by the instance that got
// the answer, without the store, and by the peer that reads the store for it, although the registration says otherwise.
func TestAnswerSaysLeaving(t *testing.T) {
	begin := func(t *testing.T) (store *storetest.Store, reader, other *instance) {
		store = storetest.Start(t)
		store.Configure(t, 1)
		store.Register(t, storetest.Target{ID: "one", Seq: 1, Born: 5})
		store.Register(t, storetest.Target{ID: "two", Seq: 1, Born: 5})
		reader = start(t, store.Address(), &fakePeers{})
		peers := &fakePeers{}
		peers.reader.Store(&reader.address)
		other = start(t, store.Address(), peers)
		for _, instance := range []*instance{reader, other} {
			waitFor(t, "the catalogue", func() bool { return instance.version() == 1 && instance.targets() == 2 })
		}
		return store, reader, other
	}
	answer := func(instance *instance, id string, born int64) {
		instance.RecordLeaving(catalogue.Target{ID: id, Service: "desk", Born: born})
	}
	t.Run("the peer is told", func(t *testing.T) {
		store, reader, other := begin(t)
		answer(other, "one", 5)
		waitFor(t, "the target to be unused", func() bool { return other.targets() == 1 })
		waitFor(t, "the peer to learn it", func() bool { return reader.targets() == 1 })
		store.Register(t, storetest.Target{ID: "one", Seq: 2, Born: 5})
		store.Register(t, storetest.Target{ID: "three", Seq: 1})
		waitFor(t, "the next target", func() bool { return other.targets() == 2 && reader.targets() == 2 })
	})
	t.Run("without the store", func(t *testing.T) {
		store, reader, _ := begin(t)
		store.SetUnavailable(true)
		answer(reader, "one", 5)
		waitFor(t, "the target to be unused", func() bool { return reader.targets() == 1 })
	})
	t.Run("a late answer of an earlier process", func(t *testing.T) {
		store, reader, _ := begin(t)
		store.Register(t, storetest.Target{ID: "one", Seq: 1, Born: 6})
		waitFor(t, "the restarted target", func() bool { return reader.View().Targets("desk")[0].Born == 6 })
		answer(reader, "one", 5)
		answer(reader, "two", 5)
		waitFor(t, "the other target to be unused", func() bool { return reader.targets() == 1 })
		if reader.View().Targets("desk")[0].ID != "one" {
			t.Error("the restarted target is unused because of an answer of the earlier process")
		}
	})
}
