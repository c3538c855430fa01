package feed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"shallotreel.example/platform/storetest"
)

// usable returns the ids of the targets that the instance uses.
func (instance *instance) usable() []string {
	var ids []string
	for _, target := range instance.View().Targets("desk") {
		ids = append(ids, target.ID)
	}
	return ids
}

// assertUsable checks that the instance, once it has read all changes of the store, uses the targets.
func assertUsable(t *testing.T, store *storetest.Store, instance *instance, want ...string) {
	t.Helper()
	const marker = "zz"
	store.Register(t, storetest.Target{ID: marker, Seq: 1}) // the last change, after which nothing may be missing
	waitFor(t, "the last change", func() bool { return slices.Contains(instance.usable(), marker) })
	want = slices.Concat(want, []string{marker})
	if got := instance.usable(); !slices.Equal(got, want) {
		t.Errorf("the instance uses %v, want %v", got, want)
	}
}

// TestPagesOfDifferentAge guards against targets that stay in use after their removal, or out of use after their return: the pages of a first
// listing come from replicas of different age.
func TestPagesOfDifferentAge(t *testing.T) {
	const targets = 6
	var all []string
	for i := range targets {
		all = append(all, fmt.Sprint("in-", i))
	}
	for _, test := range []struct {
		name  string
		first bool // whether the first page is old, and the second new
	}{{"an old page after a new one", false}, {"a new page after an old one", true}} {
		open := func(t *testing.T, change func(store *storetest.Store)) (*storetest.Store, *instance) {
			store := storetest.Start(t)
			store.Configure(t, 1)
			for _, id := range all {
				store.Register(t, storetest.Target{ID: id, Seq: 1})
			}
			store.SetPageSize(targets / 2)
			old := store.Copy()
			change(store)
			if test.first {
				store.SetReplicas(old, store.Copy())
			} else {
				store.SetReplicas(store.Copy(), old)
			}
			started := start(t, store.Address(), &fakePeers{})
			waitFor(t, "the catalogue", func() bool { return started.version() == 1 })
			return store, started
		}
		t.Run(test.name+", removed", func(t *testing.T) {
			store, instance := open(t, func(store *storetest.Store) {
				store.Remove(all[0])
				store.Remove(all[targets-1])
			})
			assertUsable(t, store, instance, all[1:targets-1]...)
		})
		t.Run(test.name+", removed and back", func(t *testing.T) {
			store, instance := open(t, func(store *storetest.Store) {
				for _, id := range all {
					store.Remove(id)
				}
				for _, id := range all {
					store.Register(t, storetest.Target{ID: id, Seq: 2})
				}
			})
			assertUsable(t, store, instance, all...)
		})
		t.Run(test.name+", started again with a clock that is behind", func(t *testing.T) {
			store, instance := open(t, func(store *storetest.Store) {
				for _, id := range all {
					store.Register(t, storetest.Target{ID: id, Seq: 9, Born: time.Now().UnixMilli(), Leaving: true})
				}
				for _, id := range all {
					store.Register(t, storetest.Target{ID: id, Seq: 1, Born: 7})
				}
			})
			assertUsable(t, store, instance, all...)
		})
	}
}

// TestEvacuationOnPagesOfDifferentAge guards against an evacuation, or its end, that is missed because the page that has it, or another one, is old.
func TestEvacuationOnPagesOfDifferentAge(t *testing.T) {
	for _, test := range []struct {
		name     string
		change   func(store *storetest.Store)
		isFirst  bool // whether the first page, which has the evacuations, is the old one
		expected []string
	}{
		{"began, on an old page", func(store *storetest.Store) { store.Evacuate("b", nil) }, true, []string{"b"}},
		{"began, before an old page", func(store *storetest.Store) { store.Evacuate("b", nil) }, false, []string{"b"}},
		{"ended, on an old page", func(store *storetest.Store) { store.TakeBack("a") }, true, nil},
		{"ended, before an old page", func(store *storetest.Store) { store.TakeBack("a") }, false, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := evacuable(t)
			if test.expected == nil {
				store.Evacuate("a", nil)
			}
			store.SetPageSize(2)
			old := store.Copy()
			test.change(store)
			replicas := []storetest.Copy{store.Copy(), old}
			if test.isFirst {
				slices.Reverse(replicas)
			}
			store.SetReplicas(replicas...)
			instance := start(t, store.Address(), &fakePeers{})
			store.Register(t, storetest.Target{ID: "zz", Seq: 1, DataCentre: "c"})
			waitFor(t, "the last change", func() bool { return slices.Contains(instance.usable(), "zz") })
			if !instance.evacuated(test.expected...) {
				t.Errorf("the evacuations are %v, want %v", instance.View().Evacuations(), test.expected)
			}
		})
	}
}
