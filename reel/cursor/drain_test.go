package cursor

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	drainTime   = 3 * time.Second // after the acknowledgement, within which requests may reach a target that is gone
	stableTime  = 4 * time.Second // after a disturbance, for which nothing is asked of an instance
	checkPeriod = 50 * time.Millisecond
	// ordinaryAnswer is the longest time for an answer of a store or a peer that is undisturbed.
	ordinaryAnswer = 20 * time.Millisecond
)

// checkDrained checks periodically that no undisturbed instance uses a target for longer than drainTime after the store, undisturbed too,
// has acknowledged that the target is gone.
func (simulation *simulation) checkDrained() {
	for _, instance := range simulation.instances {
		if !instance.inTouch() {
			continue
		}
		for _, target := range instance.catalogue.View().Targets("desk") {
			if at, gone := simulation.gone[target.ID]; gone && simulation.Now.Sub(at) > drainTime && simulation.storeStable(at) {
				simulation.fail("instance %d uses %s, which is gone for %v", instance.number, target.ID, simulation.Now.Sub(at))
			}
		}
	}
	simulation.Schedule(checkPeriod, simulation.checkDrained)
}

// storeStable reports whether the store was undisturbed at the time.
func (simulation *simulation) storeStable(at time.Time) bool {
	return simulation.downUntil.IsZero() || at.Sub(simulation.downUntil) >= stableTime
}

// inTouch reports whether the instance has been undisturbed for stableTime.
func (instance *instance) inTouch() bool {
	now := instance.simulation.Now
	disturbances := []time.Time{instance.startedAt, instance.cutUntil, instance.apartUntil, instance.simulation.silentAt}
	return instance.offSince.IsZero() && !slices.ContainsFunc(disturbances, func(end time.Time) bool { return now.Sub(end) < stableTime })
}

// TestTargetsGoneWhileReadersAreLost guards against targets that stay in use at undisturbed instances: the reader is cut from the store for
// a while, targets end or leave, and the reader ends or is cut off from its peers while it holds removals back.
func TestTargetsGoneWhileReadersAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, 12, rapid.IntRange(2, 5).Draw(t, "instances"))
		simulation.answerTime, simulation.peerTime = ordinaryAnswer, ordinaryAnswer
		simulation.Run(stableTime + time.Second)
		simulation.checkDrained()
		milliseconds := func(low, high int, label string) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
		}
		next := 0
		for range rapid.IntRange(1, 3).Draw(t, "rounds") {
			reader := simulation.reader()
			reader.cutUntil = simulation.Now.Add(milliseconds(50, 4000, "cut"))
			for range rapid.IntRange(1, 3).Draw(t, "ends") {
				id := fmt.Sprint("i-", next)
				next++
				isDraining := rapid.Bool().Draw(t, "drains")
				simulation.Schedule(milliseconds(0, 7000, "ends after"), func() { simulation.endTarget(id, isDraining) })
			}
			lost := milliseconds(0, 8000, "lost after")
			switch rapid.IntRange(0, 2).Draw(t, "loss") {
			case 0:
				simulation.Schedule(lost, func() { reader.stop(5 * time.Second) })
			case 1:
				simulation.Schedule(lost, func() { reader.apartUntil = simulation.Now.Add(2 * time.Second) })
			}
			simulation.Run(milliseconds(10000, 14000, "round")) // one reader is not cut again before stableTime
		}
		simulation.Run(stableTime + drainTime)
	})
}

// endTarget ends the target, with a report that it leaves or without.
func (simulation *simulation) endTarget(id string, isDraining bool) {
	if isDraining {
		target := simulation.targets[id]
		target.Leaving = true
		simulation.targets[id] = target
	} else {
		delete(simulation.targets, id)
	}
	simulation.report(id)
}

// TestTargetsGoneWhileConnectionsAreSilent guards against targets that stay in use because connections to the store went silent, which
// looks like an outage in which registrations of running targets expire.
func TestTargetsGoneWhileConnectionsAreSilent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, 6, rapid.IntRange(1, 4).Draw(t, "instances"))
		simulation.answerTime, simulation.peerTime = ordinaryAnswer, ordinaryAnswer
		simulation.Run(stableTime + time.Second)
		simulation.checkDrained()
		for i := range rapid.IntRange(1, 3).Draw(t, "rounds") {
			simulation.silence()
			simulation.Run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ends after ms")) * time.Millisecond)
			simulation.endTarget(fmt.Sprint("i-", i), rapid.Bool().Draw(t, "drains"))
			simulation.Run(silentPeriod)
		}
	})
}
