package feed

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	"shallotreel.example/platform/storetest"
	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/cursor"
	"shallotreel.example/shallotreel/cataloguesync"
	"shallotreel.example/shallotreel/peerrpc"
)

func (instance *instance) evacuated(dataCentres ...string) bool {
	var evacuated []string
	for _, evacuation := range instance.View().Evacuations() {
		evacuated = append(evacuated, evacuation.DataCentre)
	}
	return slices.Equal(evacuated, dataCentres)
}

// evacuable returns a store with one target in each of two data centres.
func evacuable(t *testing.T) *storetest.Store {
	t.Helper()
	store := storetest.Start(t)
	store.Configure(t, 1)
	store.Register(t, storetest.Target{ID: "one", Seq: 1})
	store.Register(t, storetest.Target{ID: "two", Seq: 1, DataCentre: "b"})
	return store
}

// following returns peers of which the instance is the reader and serves.
func following(reader *instance) *fakePeers {
	peers := &fakePeers{serving: []netip.AddrPort{reader.address}}
	peers.reader.Store(&reader.address)
	return peers
}

// TestEvacuation guards against evacuations, and ends of them, that do not arrive at the reader of the store or those that follow it.
func TestEvacuation(t *testing.T) {
	store := evacuable(t)
	store.SetPageSize(1)
	store.Evacuate("b", nil)
	reader := start(t, store.Address(), &fakePeers{})
	waitFor(t, "the reader to be ready", reader.ready.Load)
	other := start(t, store.Address(), following(reader))
	waitFor(t, "the other instance to be ready", other.ready.Load)
	for _, instance := range []*instance{reader, other} {
		if !instance.evacuated("b") {
			t.Error("an instance is ready before it knows the evacuation")
		}
	}
	store.Evacuate("", nil)
	store.Evacuate("unknown", []byte("\xff not readable"))
	store.Evacuate("a", []byte("{}"))
	for _, instance := range []*instance{reader, other} {
		waitFor(t, "more evacuations", func() bool { return instance.evacuated("a", "b", "unknown") && instance.targets() == 0 })
	}
	store.SetUnavailable(true)
	store.TakeBack("a")
	waitFor(t, "the store to be lost", func() bool { return reader.age() > 200*time.Millisecond })
	if !reader.evacuated("a", "b", "unknown") {
		t.Error("an evacuation has ended because the store is lost")
	}
	store.SetUnavailable(false)
	for _, instance := range []*instance{reader, other} {
		waitFor(t, "the end of an evacuation", func() bool { return instance.evacuated("b", "unknown") && instance.targets() == 1 })
	}
}

// TestStartWithStaleListing guards against an instance that serves by a stale listing from before the evacuation.
func TestStartWithStaleListing(t *testing.T) {
	store := evacuable(t)
	store.SetReplicas(store.Copy())
	store.Evacuate("b", nil)
	late := start(t, store.Address(), &fakePeers{})
	waitFor(t, "the instance to be ready", late.ready.Load)
	if !late.evacuated("b") {
		t.Error("the instance is ready before it knows the evacuation")
	}
}

// TestEvacuationAfterRestore guards against the end of evacuations that only a restored store lacks, also at an instance that starts
// afterwards and reads the store itself.
func TestEvacuationAfterRestore(t *testing.T) {
	store := evacuable(t)
	saved := store.Copy()
	reader := start(t, store.Address(), &fakePeers{})
	store.Evacuate("b", nil)
	waitFor(t, "the evacuation", func() bool { return reader.evacuated("b") })
	store.Restore(saved)
	waitFor(t, "the new era", func() bool { return reader.position.Load().Era == 2 })
	waitFor(t, "its listing", func() bool { return reader.retains("b") })
	late := start(t, store.Address(), &fakePeers{serving: []netip.AddrPort{reader.address}})
	waitFor(t, "the late instance to be ready", late.ready.Load)
	if !late.retains("b") {
		t.Error("an instance that starts does not know the retained evacuation")
	}
	store.Evacuate("b", nil)
	waitFor(t, "the evacuation to be written again", func() bool { return reader.evacuated("b") && !reader.retains("b") })
	store.TakeBack("b")
	waitFor(t, "its end", func() bool { return reader.evacuated() && late.evacuated() })
}

// retains reports whether the data centre is evacuated although the restored store lacks that.
func (instance *instance) retains(dataCentre string) bool {
	return slices.ContainsFunc(instance.View().Evacuations(), func(evacuation catalogue.Evacuation) bool {
		return evacuation.DataCentre == dataCentre && !evacuation.RetainedUntil.IsZero()
	})
}

// TestReaderCutDuringEvacuation guards against an evacuation that an instance misses because its reader does not reach the store.
func TestReaderCutDuringEvacuation(t *testing.T) {
	store, reader, other := startPair(t)
	store.Evacuate("a", nil)
	waitFor(t, "the evacuation", func() bool { return other.evacuated("a") })
	if !reader.evacuated() {
		t.Error("the reader still receives changes of the store")
	}
	other.root.Send(other.pid, peerDelta{reader.Since(cataloguesync.Query{})})
	store.Register(t, storetest.Target{ID: "three", Seq: 1, DataCentre: "b"})
	waitFor(t, "the next change", func() bool { return other.targets() == 1 })
	if !other.evacuated("a") {
		t.Error("an older peer has ended the evacuation")
	}
}

// TestStartFromPeerWithEvacuation guards against a start without the store that does not know the evacuation.
func TestStartFromPeerWithEvacuation(t *testing.T) {
	store := evacuable(t)
	store.Evacuate("b", nil)
	old := start(t, store.Address(), &fakePeers{})
	waitFor(t, "the first instance to be ready", old.ready.Load)
	store.SetUnavailable(true)
	late := start(t, store.Address(), &fakePeers{serving: []netip.AddrPort{old.address}})
	waitFor(t, "the second instance to be ready", late.ready.Load)
	if !late.evacuated("b") {
		t.Error("the instance is ready before it knows the evacuation")
	}
}

// OldService is the net/rpc service of a build that does not know evacuations.
type OldService struct{ feed *Feed }

// Since answers a query.
func (service *OldService) Since(query cataloguesync.Query, reply *cataloguesync.Reply) error {
	*reply = service.feed.Since(query)
	reply.Delta.SupportsEvacuations, reply.Delta.Evacuations = false, nil
	return nil
}

// TestPeerOfOlderBuild guards against an instance that follows a peer whose catalogue has no evacuations, and against one that cannot
// start without the store since all peers are of the older build.
func TestPeerOfOlderBuild(t *testing.T) {
	store := evacuable(t)
	old := start(t, store.Address(), &fakePeers{})
	waitFor(t, "the peer to be ready", old.ready.Load)
	address := freeAddress(t)
	server, err := peerrpc.Serve(address, []peerrpc.Service{{Name: "Copies", New: func(context.Context) any { return &OldService{old.Feed} }}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	peers := &fakePeers{serving: []netip.AddrPort{address}}
	peers.reader.Store(&address)
	other := start(t, store.Address(), peers)
	waitFor(t, "the instance to be ready", other.ready.Load)
	store.Evacuate("b", nil)
	waitFor(t, "the evacuation", func() bool { return other.evacuated("b") })

	store.SetUnavailable(true)
	late := start(t, store.Address(), &fakePeers{serving: []netip.AddrPort{address}})
	waitFor(t, "the late instance to be ready", func() bool { return late.ready.Load() && late.version() == 1 })
	if late.position.Load().Compare(cursor.Position{}) != 0 {
		t.Error("the late instance has read the store")
	}
}
