package feed

import (
	"bytes"
	"fmt"
	"testing"

	"shallotreel.example/platform/storetest"
)

const (
	largeValue   = 1 << 20 // bytes, the most that the store takes
	largeEntries = 20      // more than a response of the store may hold
)

// TestLargeEntries guards against an instance that stops following the store because the changes since its last read are more than one
// response may hold.
func TestLargeEntries(t *testing.T) {
	store := storetest.Start(t)
	store.Configure(t, 1)
	store.SetPageSize(2)
	address, proxy := startProxy(t, store.Address())
	reader := start(t, address, &fakePeers{})
	store.Register(t, storetest.Target{ID: "one", Seq: 1})
	waitFor(t, "the first target", func() bool { return reader.targets() == 1 })
	proxy.disconnect()
	for i := range largeEntries {
		store.RegisterRaw(fmt.Sprint("odd-", i), bytes.Repeat([]byte{0xff}, largeValue))
	}
	store.Register(t, storetest.Target{ID: "two", Seq: 1})
	proxy.reconnect()
	waitFor(t, "the second target", func() bool { return reader.targets() == 2 })
}
