package feed

import (
	"testing"
	"time"

	"shallotreel.example/platform/storetest"
)

// TestColdTarget guards against an instance that does not learn that a target is cold, because only its peer reads the store or
// because nothing else of the registration has changed.
func TestColdTarget(t *testing.T) {
	store := storetest.Start(t)
	store.Configure(t, 1)
	store.Register(t, storetest.Target{ID: "one", Seq: 1})
	reader := start(t, store.Address(), &fakePeers{})
	peers := &fakePeers{}
	peers.reader.Store(&reader.address)
	other := start(t, store.Address(), peers)
	for _, instance := range []*instance{reader, other} {
		waitFor(t, "the catalogue", func() bool { return instance.version() == 1 && instance.targets() == 1 })
	}
	store.Register(t, storetest.Target{ID: "one", Seq: 2, ColdLeft: time.Hour})
	for _, instance := range []*instance{reader, other} {
		waitFor(t, "the cold target", func() bool {
			left := time.Until(instance.View().Targets("desk")[0].ColdUntil())
			return left > time.Hour-time.Minute && left <= time.Hour
		})
	}
}
