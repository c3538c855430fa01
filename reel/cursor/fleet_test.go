package cursor

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/virtualtime"
)

const (
	troubleTime = 12 * time.Second        // in which everything may happen
	rewriteTime = 2 * time.Second         // in which the operator and the targets write again what a store has lost
	settleTime  = 3 * time.Second         // in which all instances must know it
	copyPeriod  = 500 * time.Millisecond  // between two copies of the store
	maxCopyAge  = 5 * time.Second         // of the copy from which a store is restored
	beat        = 1200 * time.Millisecond // between two reports of a target
	hop         = 4 * time.Millisecond    // of a message
	pollPeriod  = 20 * time.Millisecond   // of a watch that waits for a change
	replicaLag  = 3 * time.Second         // of the oldest replica of the store
	slowAnswer  = 300 * time.Millisecond
	slowPeer    = 200 * time.Millisecond
	// electionTime is how long an instance is off before another one reads the store for the others.
	electionTime = time.Second
	newsTime     = 150 * time.Millisecond // after which the others know that an instance stops
	operator     = "configuration"        // key
	firstBorn    = 10_000                 // more than there are processes of targets in a story
)

// record is the value of a key: a registration, or the version of the configuration.
type record struct {
	key      string
	revision uint64
	target   catalogue.Target
	version  uint64
	deleted  bool
}

// copied is a copy of the state of the store.
type copied struct {
	at       time.Time
	revision uint64
	items    map[string]record
	events   []record
}

// simulation is a fleet of instances that read one store, in virtual time.
type simulation struct {
	virtualtime.Clock
	random       *rand.Rand
	era          uint64
	state        copied
	copies       []copied
	downUntil    time.Time
	pageSize     int                         // keys in one page of a listing
	beatsChange  bool                        // whether a report that changes nothing but its number changes the entry
	answerTime   time.Duration               // longest time for an answer of the store
	peerTime     time.Duration               // longest time for an answer of a peer
	versions     uint64                      // newest version of the configuration that was acknowledged
	targets      map[string]catalogue.Target // running targets
	born         int64
	gone         map[string]time.Time // when the store acknowledged that a target leaves or has ended
	configuredAt time.Time            // when the newest version was acknowledged
	silentAt     time.Time            // when connections to the store last went silent
	instances    []*instance
	fail         func(format string, args ...any)
}

func (simulation *simulation) draw(limit time.Duration) time.Duration {
	return time.Duration(simulation.random.Int64N(int64(limit)) + 1)
}

// write writes a key of the store, or tries again later while the store is down. An outdated write is dropped.
func (simulation *simulation) write(written func() (record, bool)) {
	if simulation.Now.Before(simulation.downUntil) {
		simulation.Schedule(50*time.Millisecond, func() { simulation.write(written) })
		return
	}
	record, ok := written()
	if !ok {
		return
	}
	simulation.state.revision++
	record.revision = simulation.state.revision
	simulation.state.items[record.key] = record
	if record.deleted {
		delete(simulation.state.items, record.key)
	}
	simulation.state.events = append(simulation.state.events, record)
	if _, known := simulation.gone[record.key]; !known && record.key != operator && (record.deleted || record.target.Leaving) {
		simulation.gone[record.key] = simulation.Now
	}
}

// report writes the registration of the target, or its end.
func (simulation *simulation) report(id string) {
	simulation.write(func() (record, bool) {
		target, running := simulation.targets[id]
		if !running {
			_, listed := simulation.state.items[id]
			return record{key: id, deleted: true}, listed
		}
		target.Seq++
		simulation.targets[id] = target
		item, listed := simulation.state.items[id]
		item.target.Seq = target.Seq
		return record{key: id, target: target}, simulation.beatsChange || !listed || item.target != target
	})
}

func (simulation *simulation) startTarget(id string) {
	simulation.born++
	simulation.targets[id] = catalogue.Target{ID: id, Service: "desk", Born: simulation.born, Seq: 1}
	born := simulation.born
	simulation.report(id)
	var repeat func()
	repeat = func() {
		if target, running := simulation.targets[id]; running && target.Born == born {
			simulation.report(id)
			simulation.Schedule(beat, repeat)
		}
	}
	simulation.Schedule(beat, repeat)
}

func (simulation *simulation) configure() {
	simulation.versions++
	version := simulation.versions
	simulation.write(func() (record, bool) {
		simulation.configuredAt = simulation.Now
		return record{key: operator, version: version}, version == simulation.versions
	})
}

func (simulation *simulation) copyPeriodically() {
	state := simulation.state
	simulation.copies = append(simulation.copies, copied{simulation.Now, state.revision, maps.Clone(state.items), slices.Clone(state.events)})
	simulation.Schedule(copyPeriod, simulation.copyPeriodically)
}

// replica returns the state of the store that a page is read from: the current one, or one that is up to replicaLag old.
func (simulation *simulation) replica(allowStale bool) copied {
	copies := simulation.copies[max(0, len(simulation.copies)-int(replicaLag/copyPeriod)):]
	if choice := simulation.random.IntN(len(copies) + 1); allowStale && choice < len(copies) {
		return copies[choice]
	}
	return simulation.state
}

// restore takes the store down and brings it back from a copy. What it has lost is written again.
func (simulation *simulation) restore(down, age time.Duration) {
	saved := simulation.copies[0]
	for _, candidate := range simulation.copies {
		if simulation.Now.Sub(candidate.at) >= age {
			saved = candidate
		}
	}
	simulation.era++
	simulation.state = copied{saved.at, saved.revision, maps.Clone(saved.items), slices.Clone(saved.events)}
	simulation.copies = []copied{saved}
	simulation.downUntil = simulation.Now.Add(down)
	simulation.Schedule(down+simulation.draw(rewriteTime), func() {
		version := simulation.versions
		simulation.write(func() (record, bool) { return record{key: operator, version: version}, version == simulation.versions })
	})
	for id := range saved.items {
		if id != operator {
			delete(simulation.gone, id) // what the store has lost is acknowledged anew
			simulation.Schedule(down+simulation.draw(rewriteTime), func() { simulation.report(id) })
		}
	}
	for _, id := range slices.Sorted(maps.Keys(simulation.targets)) {
		simulation.Schedule(down+simulation.draw(rewriteTime), func() { simulation.report(id) })
	}
}

// disturb plays one drawn event.
func (simulation *simulation) disturb(t *rapid.T) {
	if len(simulation.targets) == 0 {
		simulation.startTarget(fmt.Sprint("new-", simulation.born))
	}
	ids := slices.Sorted(maps.Keys(simulation.targets))
	instance := rapid.SampledFrom(simulation.instances).Draw(t, "instance")
	milliseconds := func(low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, "ms")) * time.Millisecond
	}
	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0, 1:
		simulation.restore(milliseconds(0, 3000), min(milliseconds(0, 5000), maxCopyAge))
	case 2:
		simulation.configure()
	case 3:
		simulation.startTarget(fmt.Sprint("new-", simulation.born))
	case 4:
		id := rapid.SampledFrom(ids).Draw(t, "leaves")
		target := simulation.targets[id]
		target.Leaving = true
		simulation.targets[id] = target
		simulation.report(id)
	case 5:
		id := rapid.SampledFrom(ids).Draw(t, "ends")
		delete(simulation.targets, id)
		simulation.Schedule(milliseconds(0, 1500), func() { simulation.report(id) })
	case 6:
		instance.cutUntil = simulation.Now.Add(milliseconds(100, 4000))
	case 7:
		instance.apartUntil = simulation.Now.Add(milliseconds(100, 4000))
	case 8:
		instance.start()
	}
}

// assertAgree checks that all instances know the newest version and exactly the running targets that do not leave.
func (simulation *simulation) assertAgree(t *rapid.T) {
	var want []string
	for _, id := range slices.Sorted(maps.Keys(simulation.targets)) {
		if !simulation.targets[id].Leaving {
			want = append(want, id)
		}
	}
	for _, instance := range simulation.instances {
		var got []string
		for _, target := range instance.catalogue.View().Targets("desk") {
			got = append(got, target.ID)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("instance %d uses targets %v, want %v (at %+v, the store is at era %d, revision %d)", instance.number,
				got, want, instance.cursor.Position(), simulation.era, simulation.state.revision)
		}
		if instance.version != simulation.versions {
			t.Fatalf("instance %d has version %d, want %d", instance.number, instance.version, simulation.versions)
		}
	}
}

// newSimulation returns a simulation that begins with the targets and instances.
func newSimulation(t *rapid.T, targets, instances int) *simulation {
	simulation := &simulation{
		Clock:       virtualtime.Clock{Now: start},
		random:      rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		era:         1,
		born:        firstBorn / 2,
		state:       copied{items: map[string]record{}},
		pageSize:    rapid.IntRange(1, 8).Draw(t, "page size"),
		beatsChange: rapid.Bool().Draw(t, "beats change"),
		targets:     map[string]catalogue.Target{},
		gone:        map[string]time.Time{},
		fail:        t.Fatalf,
		answerTime:  slowAnswer,
		peerTime:    slowPeer,
	}
	simulation.configure()
	for i := range targets {
		simulation.startTarget(fmt.Sprint("i-", i))
	}
	simulation.copyPeriodically()
	for i := range instances {
		simulation.instances = append(simulation.instances, &instance{simulation: simulation, number: i})
	}
	for _, instance := range simulation.instances {
		instance.start()
	}
	return simulation
}

// reader returns the instance that reads the store for the others: the first one, unless it has been off for electionTime, or has said
// so long ago that it stops.
func (simulation *simulation) reader() *instance {
	for _, instance := range simulation.instances {
		isLeaving := !instance.leavingAt.IsZero() && simulation.Now.Sub(instance.leavingAt) >= newsTime
		if !isLeaving && (instance.offSince.IsZero() || simulation.Now.Sub(instance.offSince) < electionTime) {
			return instance
		}
	}
	return simulation.instances[0]
}

// TestStoreRestoredFromCopies plays a fleet whose store is restored from copies, also several times in succession, while
// readers are cut off or start, targets come and go, and the configuration changes. Afterwards all must agree in time.
func TestStoreRestoredFromCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, 4, rapid.IntRange(1, 5).Draw(t, "instances"))
		simulation.Run(time.Second)
		for range rapid.IntRange(1, 10).Draw(t, "disturbances") {
			simulation.disturb(t)
			simulation.Run(time.Duration(rapid.IntRange(0, int(troubleTime.Milliseconds())/10).Draw(t, "pause ms")) * time.Millisecond)
		}
		down := max(0, simulation.downUntil.Sub(simulation.Now))
		for _, instance := range simulation.instances {
			instance.cutUntil, instance.apartUntil = simulation.Now, simulation.Now
		}
		simulation.Run(down + rewriteTime + settleTime)
		simulation.assertAgree(t)
	})
}
