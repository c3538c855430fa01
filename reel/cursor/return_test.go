package cursor

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// heldTime is how long a reader, and after it those that read from it, may hold what a restored store has from before.
const heldTime = 12 * time.Second

// expire removes the entry of a running target, which reports again later.
func (simulation *simulation) expire(id string, later time.Duration) {
	simulation.write(func() (record, bool) {
		_, listed := simulation.state.items[id]
		return record{key: id, deleted: true}, listed
	})
	delete(simulation.gone, id)
	simulation.Schedule(later, func() {
		if _, running := simulation.targets[id]; running {
			simulation.report(id)
		}
	})
}

// restartTarget starts another process of the target under the same id, whose clock may be behind that of the one before.
func (simulation *simulation) restartTarget(id string, isBehind bool) {
	simulation.born++
	target := simulation.targets[id]
	target.Born, target.Seq, target.Leaving = simulation.born, 0, false
	if isBehind {
		target.Born = firstBorn - simulation.born
	}
	simulation.targets[id] = target
	simulation.report(id)
	delete(simulation.gone, id)
}

// changeTargets plays a drawn change of targets, also of several at once.
func (simulation *simulation) changeTargets(t *rapid.T) {
	ids := rapid.SliceOfNDistinct(rapid.SampledFrom(slices.Sorted(maps.Keys(simulation.targets))), 1, 4, rapid.ID[string]).Draw(t, "targets")
	later := time.Duration(rapid.IntRange(50, 1000).Draw(t, "later ms")) * time.Millisecond
	event := rapid.SampledFrom([]string{"expire", "restart", "drain", "leave"}).Draw(t, "change")
	for _, id := range ids {
		switch event {
		case "expire":
			simulation.expire(id, later)
		case "restart":
			simulation.restartTarget(id, rapid.Bool().Draw(t, "clock is behind"))
		case "drain":
			simulation.endTarget(id, true)
		case "leave":
			if len(simulation.targets) > 2 {
				simulation.endTarget(id, false)
			}
		}
	}
}

// disturbInstance starts an instance anew, or cuts it off for some time.
func (simulation *simulation) disturbInstance(t *rapid.T) {
	instance := rapid.SampledFrom(simulation.instances).Draw(t, "instance")
	limit := time.Duration(rapid.IntRange(100, 4000).Draw(t, "for ms")) * time.Millisecond
	switch rapid.SampledFrom([]string{"none", "starts", "is cut off from the store", "is cut off from peers"}).Draw(t, "disturbance") {
	case "starts":
		instance.start()
	case "is cut off from the store":
		instance.cutUntil = simulation.Now.Add(limit)
	case "is cut off from peers":
		instance.apartUntil = simulation.Now.Add(limit)
	}
}

// TestRegisteredTargetsAreUsed guards against targets that stay in use after their end, or out of use after their return: pages of a listing come
// from replicas of different age, and what a page or a peer had already comes again, in another order. Instances start, lose the store or
// their peers, and the store is restored from a copy, while targets expire, return, and start again under the same id.
func TestRegisteredTargetsAreUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, 8, rapid.IntRange(1, 4).Draw(t, "instances"))
		simulation.Run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "begin ms")) * time.Millisecond)
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1, 2, 3:
				simulation.changeTargets(t)
			case 4, 5, 6:
				simulation.disturbInstance(t)
			case 7:
				age := time.Duration(rapid.IntRange(0, int(maxCopyAge.Milliseconds())).Draw(t, "copy ms")) * time.Millisecond
				simulation.restore(0, age)
			}
			simulation.Run(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause ms")) * time.Millisecond)
		}
		for _, instance := range simulation.instances {
			instance.cutUntil, instance.apartUntil = simulation.Now, simulation.Now
		}
		simulation.Run(heldTime + settleTime)
		simulation.assertAgree(t)
	})
}
