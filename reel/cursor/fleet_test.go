package cursor

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
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
	operator    = "configuration"         // key
)

var errNoAnswer = errors.New("no answer")

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
	random    *rand.Rand
	era       uint64
	state     copied
	copies    []copied
	downUntil time.Time
	versions  uint64                      // newest version of the configuration that was acknowledged
	targets   map[string]catalogue.Target // running targets
	born      int64
	instances []*instance
	fail      func(format string, args ...any)
}

// instance is one process of shallotreel.
type instance struct {
	simulation *simulation
	number     int
	process    uint64
	cursor     Cursor
	catalogue  *catalogue.Catalogue
	published  Position // that peers see
	contact    time.Time
	cutUntil   time.Time // from the store
	apartUntil time.Time // from peers
	version    uint64
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
		return record{key: id, target: target}, true
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
	simulation.write(func() (record, bool) { return record{key: operator, version: version}, version == simulation.versions })
}

func (simulation *simulation) copyPeriodically() {
	state := simulation.state
	simulation.copies = append(simulation.copies, copied{simulation.Now, state.revision, maps.Clone(state.items), slices.Clone(state.events)})
	simulation.Schedule(copyPeriod, simulation.copyPeriodically)
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
			simulation.Schedule(down+simulation.draw(rewriteTime), func() { simulation.report(id) })
		}
	}
	for _, id := range slices.Sorted(maps.Keys(simulation.targets)) {
		simulation.Schedule(down+simulation.draw(rewriteTime), func() { simulation.report(id) })
	}
}

// start starts a process of the instance, which knows nothing.
func (instance *instance) start() {
	instance.process = instance.simulation.random.Uint64()
	instance.cursor, instance.catalogue = Cursor{}, catalogue.New()
	instance.published, instance.contact, instance.version = Position{}, time.Time{}, 0
	instance.later(0, instance.read)
	var tick func()
	tick = func() {
		instance.catalogue.Tick(instance.simulation.Now)
		instance.later(250*time.Millisecond, tick)
	}
	tick()
}

// later runs the function after the delay if the process still runs.
func (instance *instance) later(delay time.Duration, run func()) {
	process := instance.process
	instance.simulation.Schedule(delay, func() {
		if instance.process == process {
			run()
		}
	})
}

// read makes the next read and continues when it has ended.
func (instance *instance) read() {
	simulation := instance.simulation
	reader := simulation.instances[0]
	next := instance.cursor.Next(simulation.Now, reader != instance && !reader.contact.IsZero())
	switch {
	case next.Peer:
		instance.later(hop, func() { instance.readPeer(reader) })
	case next.Whole:
		instance.later(hop, func() { instance.readAll(next) })
	default:
		instance.later(hop, func() { instance.watch(next, simulation.Now.Add(next.Wait)) })
	}
}

// failsWithoutStore reports whether the store does not answer the instance, whose read then ends after a timeout.
func (instance *instance) failsWithoutStore() bool {
	now := instance.simulation.Now
	if !now.Before(instance.cutUntil) && !now.Before(instance.simulation.downUntil) {
		return false
	}
	instance.later(time.Second, func() { instance.end(errNoAnswer, 0) })
	return true
}

func (instance *instance) readAll(read Read) {
	simulation := instance.simulation
	if instance.failsWithoutStore() {
		return
	}
	era, state := simulation.era, simulation.state
	if last := len(simulation.copies) - 1; read.AllowStale && last >= 0 {
		state = simulation.copies[last] // of the same era
	}
	items := slices.Collect(maps.Values(state.items))
	instance.later(simulation.draw(300*time.Millisecond), func() {
		before := instance.cursor.Position().Era
		if err := instance.cursor.Accept(era); err != nil {
			instance.end(err, before)
			return
		}
		instance.catalogue.StoreAnswered(simulation.Now)
		instance.catalogue.BeginListing()
		instance.apply(items)
		instance.catalogue.EndListing(simulation.Now)
		pause := instance.cursor.ReadAll(state.revision, read.AllowStale)
		instance.succeed(pause, !read.AllowStale, 0)
	})
}

func (instance *instance) watch(read Read, deadline time.Time) {
	simulation := instance.simulation
	if instance.failsWithoutStore() {
		return
	}
	era, revision := simulation.era, simulation.state.revision
	if read.After > revision {
		instance.later(hop, func() { instance.end(ErrHistoryLost, 0) })
		return
	}
	changes := slices.Clone(simulation.state.events)
	changes = slices.DeleteFunc(changes, func(change record) bool { return change.revision <= read.After })
	if len(changes) == 0 && simulation.Now.Before(deadline) {
		instance.later(pollPeriod, func() { instance.watch(read, deadline) })
		return
	}
	instance.later(simulation.draw(300*time.Millisecond), func() {
		before := instance.cursor.Position().Era
		if err := instance.cursor.Accept(era); err != nil {
			instance.end(err, before)
			return
		}
		instance.catalogue.StoreAnswered(simulation.Now)
		instance.apply(changes)
		instance.succeed(instance.cursor.ReadChanges(revision), true, 0)
	})
}

func (instance *instance) readPeer(reader *instanceProcess) {
	simulation := instance.simulation
	if simulation.Now.Before(instance.apartUntil) || simulation.Now.Before(reader.apartUntil) {
		instance.later(800*time.Millisecond, func() {
			instance.cursor.FailPeer(simulation.Now)
			instance.read()
		})
		return
	}
	serial := uint64(0)
	if instance.cursor.Peer().Process == reader.process {
		serial = instance.cursor.Peer().Serial
	}
	delta := reader.catalogue.Since(serial)
	reply := PeerReply{Peer: Peer{reader.process, delta.Serial}, Whole: serial == 0, Position: reader.published,
		Age: simulation.Now.Sub(reader.contact)}
	instance.later(simulation.draw(200*time.Millisecond), func() {
		before := instance.cursor.Position().Era
		pause, err := instance.cursor.ReadPeer(simulation.Now, reply)
		if err != nil {
			instance.read()
			return
		}
		instance.checkEra(before)
		instance.catalogue.StoreAnswered(simulation.Now)
		instance.catalogue.Apply(simulation.Now, delta, reply.Whole)
		instance.succeed(pause+100*time.Millisecond, true, reply.Age)
	})
}

type instanceProcess = instance

// checkEra tells the catalogue that the store was restored.
func (instance *instance) checkEra(before uint64) {
	if instance.cursor.Position().Era > before && before > 0 {
		instance.catalogue.StoreRestored(instance.simulation.Now)
	}
}

// end handles a failed read of the store.
func (instance *instance) end(err error, before uint64) {
	if before > 0 {
		instance.checkEra(before)
	}
	pause := instance.cursor.Fail(err)
	if pause > 0 {
		instance.catalogue.StoreFailed()
	}
	instance.later(pause, instance.read)
}

func (instance *instance) apply(records []record) {
	for _, record := range records {
		switch {
		case record.key == operator:
			instance.catalogue.Configure(catalogue.NewConfiguration(record.version, nil, nil, catalogue.Limits{}))
		case record.deleted:
			instance.catalogue.Remove(instance.simulation.Now, record.key)
		default:
			instance.catalogue.Register(record.target)
		}
	}
}

// succeed continues after a successful read and checks that the version of the configuration has not fallen.
func (instance *instance) succeed(pause time.Duration, contact bool, age time.Duration) {
	simulation := instance.simulation
	if contact {
		instance.published, instance.contact = instance.cursor.Position(), simulation.Now.Add(-age)
	}
	if configuration := instance.catalogue.Configuration(); configuration != nil {
		if configuration.Version < instance.version {
			simulation.fail("instance %d falls back from version %d to %d", instance.number, instance.version, configuration.Version)
		}
		instance.version = configuration.Version
	}
	instance.later(pause, instance.read)
}

// disturb plays one drawn event.
func (simulation *simulation) disturb(t *rapid.T) {
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

// TestStoreRestoredFromCopies plays a fleet whose store is restored from copies, also several times in succession, while
// readers are cut off or start, targets come and go, and the configuration changes. Afterwards all must agree in time.
func TestStoreRestoredFromCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := &simulation{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), Clock: virtualtime.Clock{Now: start}, era: 1,
			state: copied{items: map[string]record{}}, targets: map[string]catalogue.Target{}, fail: t.Fatalf}
		simulation.configure()
		for i := range 4 {
			simulation.startTarget(fmt.Sprint("i-", i))
		}
		simulation.copyPeriodically()
		for i := range rapid.IntRange(1, 5).Draw(t, "instances") {
			simulation.instances = append(simulation.instances, &instance{simulation: simulation, number: i})
		}
		for _, instance := range simulation.instances {
			instance.start()
		}
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
