package catalogue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/storepos"
)

// model holds a catalogue that reads the store, a peer that follows it by deltas, and the state for the checks of both.
type model struct {
	t              *rapid.T
	now            time.Time
	reader         *Catalogue        // reads the store
	peer           *Catalogue        // follows reader by deltas
	serial         uint64            // serial up to which peer is in sync with reader
	leavingProcess map[string]int    // latest process of each target that reported that it leaves
	sequences      map[string]uint64 // latest sequence number of each target
	processes      map[string]int    // current process of each target
	version        uint64            // latest version of the configuration
}

// report registers the next report of the target with the reader.
func (model *model) report(id string, leaving bool) {
	model.sequences[id]++
	model.reader.Register(model.target(id, model.sequences[id], leaving))
	if leaving {
		model.leavingProcess[id] = model.processes[id]
	}
}

func (model *model) target(id string, seq uint64, leaving bool) Target {
	target := target(id, seq)
	target.Born, target.Leaving = int64(model.processes[id]), leaving
	return target
}

// sync applies the changes since the last sync to the peer.
func (model *model) sync() {
	delta := model.reader.Since(model.now, model.serial)
	model.peer.StoreAnswered(model.now, 0)
	model.peer.Apply(model.now, delta, model.serial == 0, storepos.Position{})
	model.serial = delta.Serial
}

// check fails the test if the reader lists a leaving process, or either catalogue has an unpublished version.
func (model *model) check() {
	for name, catalogue := range map[string]*Catalogue{"the reader": model.reader, "its peer": model.peer} {
		for _, target := range catalogue.View().Targets("menus") {
			if leavingProcess, ok := model.leavingProcess[target.ID]; ok && name == "the reader" && target.Born <= int64(leavingProcess) {
				model.t.Fatalf("%s lists %s as usable, but its process %d is leaving", name, target.ID, leavingProcess)
			}
		}
		if configuration := catalogue.Configuration(); configuration != nil && configuration.Version > model.version {
			model.t.Fatalf("%s has a version that was never published", name)
		}
	}
}

// TestProperties applies random sequences of current and stale reports, drains, restarts, removals, store outages and
// configuration versions. It checks that the version never decreases, that a leaving process never becomes usable
// again, and that a peer that follows by deltas ends with the same view, also if the reader ends while it holds back removals.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &model{t: t, now: epoch, reader: New(), peer: New(), leavingProcess: map[string]int{}, sequences: map[string]uint64{},
			processes: map[string]int{}}
		newest := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("in-", rapid.IntRange(0, 3).Draw(t, "target"))
			switch rapid.SampledFrom([]string{"heartbeat", "drain", "stale report", "restart", "remove", "store failure",
				"store answer", "answer says leaving", "store restored", "new version", "old version", "sync", "listing"}).Draw(t, "step") {
			case "heartbeat":
				model.report(id, false)
			case "drain":
				model.processes[id] = max(model.processes[id], 1)
				model.report(id, true)
			case "stale report":
				if seq := model.sequences[id]; seq > 1 {
					model.reader.Register(model.target(id, rapid.Uint64Range(1, seq-1).Draw(t, "seq"), false))
				}
			case "restart":
				model.processes[id]++
				model.sequences[id] = 0
				model.report(id, false)
			case "remove":
				model.reader.Remove(model.now, Removal{ID: id})
			case "store failure":
				model.reader.StoreFailed()
			case "store answer":
				model.reader.StoreAnswered(model.now, 0)
			case "answer says leaving":
				if model.sequences[id] > 0 {
					model.reader.Leave(id, int64(model.processes[id]))
					model.leavingProcess[id] = model.processes[id]
				}
			case "store restored":
				model.reader.StoreRestored(model.now)
			case "new version":
				model.version++
				model.reader.Configure(NewConfiguration(model.version, nil, nil, Limits{}))
			case "old version":
				model.reader.Configure(NewConfiguration(rapid.Uint64Range(0, model.version).Draw(t, "version"), nil, nil, Limits{}))
			case "sync":
				model.sync()
			case "listing":
				model.reader.BeginListing()
				model.report(id, false)
				model.reader.EndListing(model.now, storepos.Position{})
			}
			if configuration := model.reader.Configuration(); configuration != nil {
				if configuration.Version < newest {
					t.Fatalf("version %d after %d", configuration.Version, newest)
				}
				newest = configuration.Version
			}
			model.check()
			model.now = model.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			model.reader.Tick(model.now)
			model.peer.Tick(model.now)
		}
		model.settle()
	})
}

// settle advances the time until expired registrations are removed, and checks that reader and peer agree: first a peer that has lost
// its reader before that, and then one that goes on reading.
func (model *model) settle() {
	model.reader.StoreAnswered(model.now, 0)
	model.sync()
	model.now = model.now.Add(2 * reregistrationTimeout)
	model.reader.Tick(model.now)
	model.peer.Tick(model.now)
	model.assertAgree()
	model.sync()
	model.assertAgree()
}

func (model *model) assertAgree() {
	ids := func(catalogue *Catalogue) []string {
		var ids []string
		for _, target := range catalogue.View().Targets("menus") {
			ids = append(ids, fmt.Sprint(target.ID, " process ", target.Born))
		}
		return ids
	}
	if reader, peer := ids(model.reader), ids(model.peer); !slices.Equal(reader, peer) {
		model.t.Fatalf("the reader lists %v as usable, its peer %v", reader, peer)
	}
}
