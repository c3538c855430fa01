package catalogue

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/storepos"
)

// writes are the evacuations in the simulated store at each revision of one era.
type writes struct {
	base int                 // revision of the copy from which the era began
	keys []map[string]uint64 // revision of each key, by revision of the store
}

// reader is an instance of the simulated fleet and what it has read.
type reader struct {
	*Catalogue
	era      int // 0 before its first read
	revision int
	entered  time.Time            // when it read the newest era first
	held     map[string]time.Time // end of retention of those that were in force before it read the newest era, unless a peer contradicts
}

// fleet is a store, with its eras, and the instances that read it.
type fleet struct {
	t       *rapid.T
	now     time.Time
	eras    []*writes
	readers []*reader
}

func (fleet *fleet) store() *writes { return fleet.eras[len(fleet.eras)-1] }

func (writes *writes) revision() int { return len(writes.keys) - 1 }

// write writes or deletes the key of the data centre.
func (writes *writes) write(dataCentre string, exists bool) {
	keys := maps.Clone(writes.keys[writes.revision()])
	delete(keys, dataCentre)
	if exists {
		keys[dataCentre] = uint64(len(writes.keys))
	}
	writes.keys = append(writes.keys, keys)
}

func (fleet *fleet) position(revision int) storepos.Position {
	return storepos.Position{Era: uint64(len(fleet.eras)), Revision: uint64(revision)}
}

// enter records that the reader has read the era up to the revision.
func (fleet *fleet) enter(reader *reader, active []Evacuation, era, revision int) {
	if era > reader.era {
		reader.held, reader.entered = map[string]time.Time{}, fleet.now
		for _, evacuation := range active {
			reader.held[evacuation.DataCentre] = earlier(fleet.now.Add(retentionAfterRestore), evacuation.RetainedUntil)
		}
		reader.era, reader.revision = era, revision
	}
	if era != reader.era || era == 0 {
		return
	}
	reader.revision = max(reader.revision, revision)
	for dataCentre := range fleet.eras[era-1].keys[revision] {
		delete(reader.held, dataCentre)
	}
}

// list reads the keys as they were at the revision.
func (fleet *fleet) list(reader *reader, revision int) {
	active := reader.View().Evacuations()
	reader.BeginListing()
	for dataCentre, written := range fleet.store().keys[revision] {
		reader.Evacuate(fleet.now, dataCentre, fleet.position(int(written)))
	}
	reader.EndEvacuationListing(fleet.now, fleet.position(revision))
	fleet.enter(reader, active, len(fleet.eras), revision)
}

// watch reads the changes after the revision.
func (fleet *fleet) watch(reader *reader, after int) {
	store := fleet.store()
	for revision := after + 1; revision <= store.revision(); revision++ {
		for _, dataCentre := range []string{"a", "b", "c"} {
			_, before := store.keys[revision-1][dataCentre]
			if written, exists := store.keys[revision][dataCentre]; exists && int(written) == revision {
				reader.Evacuate(fleet.now, dataCentre, fleet.position(revision))
				delete(reader.held, dataCentre)
			} else if before && !exists {
				reader.TakeBack(fleet.now, dataCentre, fleet.position(revision))
				delete(reader.held, dataCentre)
			}
		}
	}
	reader.revision = max(reader.revision, store.revision())
}

// read makes the reader read the store as the cursor allows: stale listings only of the era that it knows.
func (fleet *fleet) read(reader *reader) {
	store := fleet.store()
	switch {
	case reader.era != 0 && reader.era < len(fleet.eras):
		fleet.list(reader, store.revision())
	case reader.era == 0 || rapid.Bool().Draw(fleet.t, "list"):
		fleet.list(reader, rapid.IntRange(store.base, store.revision()).Draw(fleet.t, "stale revision"))
	default:
		fleet.watch(reader, rapid.IntRange(store.base, reader.revision).Draw(fleet.t, "watch after"))
	}
}

// follow makes the reader apply what the peer knows.
func (fleet *fleet) follow(reader, peer *reader) {
	before, active := reader.View().Evacuations(), reader.active()
	reader.ApplyEvacuations(fleet.now, peer.EvacuationsSince(fleet.now, 0))
	for _, dataCentre := range reader.active() {
		if peer.era < reader.era && !slices.Contains(active, dataCentre) {
			fleet.t.Fatalf("a peer of era %d has started the evacuation of %s in era %d", peer.era, dataCentre, reader.era)
		}
	}
	fleet.enter(reader, before, peer.era, peer.revision)
	if reader.era == peer.era && peer.entered.After(reader.entered) {
		reader.entered = peer.entered
	}
	for dataCentre, until := range peer.held {
		if _, ok := reader.held[dataCentre]; !ok && reader.era == peer.era && slices.Contains(reader.active(), dataCentre) {
			reader.held[dataCentre] = until
		}
	}
	for dataCentre, until := range reader.held {
		reader.held[dataCentre] = earlier(until, peer.held[dataCentre])
		if !fleet.has(peer, dataCentre) && !slices.Contains(reader.active(), dataCentre) {
			delete(reader.held, dataCentre)
		}
	}
}

// has reports whether the store had the key when the reader read it.
func (fleet *fleet) has(reader *reader, dataCentre string) bool {
	if reader.era == 0 {
		return false
	}
	_, exists := fleet.eras[reader.era-1].keys[reader.revision][dataCentre]
	return exists
}

func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

func (reader *reader) active() []string {
	var active []string
	for _, evacuation := range reader.View().Evacuations() {
		active = append(active, evacuation.DataCentre)
	}
	return active
}

// mayRetain reports whether the evacuation may be one that is retained, for no longer than allowed.
func (reader *reader) mayRetain(now time.Time, dataCentre string) bool {
	_, held := reader.held[dataCentre]
	return held && slices.ContainsFunc(reader.View().Evacuations(), func(evacuation Evacuation) bool {
		until := evacuation.RetainedUntil
		return evacuation.DataCentre == dataCentre && until.After(now) && !until.After(reader.entered.Add(retentionAfterRestore))
	})
}

// check compares the evacuations of the reader with the store as it was when it was read.
func (fleet *fleet) check(reader *reader) {
	if reader.era == 0 {
		return
	}
	era := fleet.eras[reader.era-1]
	for _, dataCentre := range []string{"a", "b", "c"} {
		_, exists := era.keys[reader.revision][dataCentre]
		touched := reader.era == 1
		for revision := era.base + 1; revision <= reader.revision; revision++ {
			before, after := era.keys[revision-1][dataCentre], era.keys[revision][dataCentre]
			touched = touched || before != after
		}
		active := reader.View().IsEvacuated(dataCentre)
		switch {
		case exists && !active:
			fleet.t.Fatalf("%s is not evacuated, although era %d has it at revision %d", dataCentre, reader.era, reader.revision)
		case !exists && touched && active && !reader.mayRetain(fleet.now, dataCentre):
			fleet.t.Fatalf("%s is evacuated, although that has ended by revision %d of era %d", dataCentre, reader.revision, reader.era)
		case !exists && !touched && !active && fleet.now.Before(reader.held[dataCentre]):
			fleet.t.Fatalf("the evacuation of %s has ended, although only the restored store of era %d lacks it", dataCentre, reader.era)
		}
	}
}

// TestEvacuationOrder draws writes, deletions, restores, restarts, stale listings, repeated changes and peers that are behind. An
// evacuation must never end or begin by something older than what is known, and one that a restore lost stays for an hour.
func TestEvacuationOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := &fleet{t: t, now: epoch, eras: []*writes{{keys: []map[string]uint64{{}}}}}
		fleet.eras[0].write("a", true)
		for range 3 {
			fleet.readers = append(fleet.readers, &reader{Catalogue: New()})
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			index := rapid.IntRange(0, 2).Draw(t, "reader")
			subject, store := fleet.readers[index], fleet.store()
			switch rapid.SampledFrom([]string{"write", "delete", "restore", "restart", "read", "read", "follow", "follow"}).Draw(t, "step") {
			case "write":
				store.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "data centre"), true)
			case "delete":
				store.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "data centre"), false)
			case "restore":
				base := rapid.IntRange(0, store.revision()).Draw(t, "copy")
				fleet.eras = append(fleet.eras, &writes{base: base, keys: slices.Clone(store.keys[:base+1])})
			case "restart":
				fleet.readers[index] = &reader{Catalogue: New()}
			case "read":
				fleet.read(subject)
			case "follow":
				fleet.follow(subject, fleet.readers[(index+rapid.IntRange(1, 2).Draw(t, "peer"))%3])
			}
			fleet.now = fleet.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "minutes")) * time.Minute)
			for _, reader := range fleet.readers {
				reader.Tick(fleet.now)
				fleet.check(reader)
			}
		}
		fleet.settle()
	})
}

// settle lets all instances read the store and the time of retention pass, after which the store decides.
func (fleet *fleet) settle() {
	store := fleet.store()
	for _, reader := range fleet.readers {
		fleet.list(reader, store.revision())
		reader.Tick(fleet.now.Add(retentionAfterRestore))
		want := slices.Sorted(maps.Keys(store.keys[store.revision()]))
		if got := reader.active(); !slices.Equal(got, want) {
			fleet.t.Fatalf("%v are evacuated, the store has %v", got, want)
		}
	}
}

// TestEvacuatedTargets guards against requests to evacuated targets, and against crashes or leaving processes of such targets
// that are not noticed because they are not in use.
func TestEvacuatedTargets(t *testing.T) {
	catalogue := New()
	for number, dataCentre := range []string{"a", "b", ""} {
		target := target(fmt.Sprint("in-", number), 1)
		target.DataCentre = dataCentre
		catalogue.Register(target)
	}
	catalogue.Evacuate(at(100), "a", storepos.Position{Era: 1, Revision: 5})
	assertUsable(t, catalogue, "in-1", "in-2")
	view := catalogue.View()
	evacuated, restarted := target("in-0", 1), target("in-0", 1)
	restarted.Born++
	if !view.Registered(evacuated) || view.Registered(restarted) {
		t.Errorf("registered: %t, a process of another start: %t", view.Registered(evacuated), view.Registered(restarted))
	}
	if _, ok := view.ReturnedAt("a"); ok {
		t.Error("the data centre has returned while it is evacuated")
	}
	catalogue.TakeBack(at(200), "a", storepos.Position{Era: 1, Revision: 6})
	assertUsable(t, catalogue, "in-0", "in-1", "in-2")
	if returned, ok := catalogue.View().ReturnedAt("a"); !ok || !returned.Equal(at(200)) {
		t.Errorf("returned at %v, %t", returned, ok)
	}
}
