package feed

import (
	"testing"

	"shallotreel.example/platform/storetest"
	"shallotreel.example/reel/cursor"
)

// TestReaderLostWhileItDelaysRemoval guards against a target that stays in use for ever: the reader takes its removal for the end of a
// registration during an outage, passes it on as usable with a later position of the store, and is lost.
func TestReaderLostWhileItDelaysRemoval(t *testing.T) {
	store := storetest.Start(t)
	store.Configure(t, 1)
	for _, id := range []string{"one", "two"} {
		store.Register(t, storetest.Target{ID: id, Seq: 1})
	}
	address, proxy := startProxy(t, store.Address())
	reader := start(t, address, &fakePeers{})
	waitFor(t, "the reader to load the catalogue", func() bool { return reader.version() == 1 && reader.targets() == 2 })
	waitFor(t, "the reader's catalogue to be recent", func() bool { return reader.age() < cursor.MaxAge })

	proxy.disconnect()
	waitFor(t, "an outage in which registrations may expire", func() bool { return reader.age() > 2*cursor.MaxAge })
	store.Register(t, storetest.Target{ID: "one", Seq: 2})
	store.Remove("two")
	before := reader.position.Load().Revision
	proxy.reconnect()
	waitFor(t, "the reader to read the removal", func() bool { return reader.position.Load().Revision > before })
	peers := &fakePeers{}
	peers.reader.Store(&reader.address)
	other := start(t, store.Address(), peers)
	waitFor(t, "the other instance to load the catalogue", func() bool { return other.version() == 1 })
	peers.reader.Store(nil)
	waitFor(t, "the target to be removed without the reader", func() bool { return other.targets() == 1 })
}
