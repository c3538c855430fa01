package member

import (
	"fmt"
	"math"
	"testing"
	"time"
)

const (
	spreadTime = 3 * time.Second  // within which all instances must know of a change
	lostTime   = 5 * time.Second  // within which all must know of a lost data centre; callers keep addresses as long
	settleTime = 30 * time.Second // after a change, until no more messages are due to it
	// maxGrowth is the power of the number of instances by which the traffic of each of them may grow.
	maxGrowth = 0.3
)

// newLargeFleet returns a fleet in six data centres whose messages arrive at once, but for one in fifty.
func newLargeFleet(t *testing.T, size int) *fleet {
	fleet := newFleet(t, 1, size, 6)
	fleet.loss, fleet.hops = 0.02, 8
	return fleet
}

// knows reports whether each instance that runs knows the current state of all others.
func (fleet *fleet) knows() bool {
	for _, node := range fleet.nodes {
		if !node.up || node.partitioned {
			continue
		}
		if !fleet.isCurrent(node) {
			return false
		}
	}
	return true
}

func (fleet *fleet) isCurrent(node *node) bool {
	members := node.Members()
	if len(members) != len(fleet.nodes) {
		return false
	}
	for i, member := range members {
		other := fleet.nodes[i]
		if !other.up || other.partitioned {
			if member.State.Serves() {
				return false
			}
			continue
		}
		if self := other.Self(); member.State != self.State || member.Incarnation != self.Incarnation {
			return false
		}
	}
	return true
}

// assertKnownWithin fails the test unless all instances know the state of all others within the time.
func (fleet *fleet) assertKnownWithin(t *testing.T, limit time.Duration) {
	t.Helper()
	for range limit / step {
		if fleet.knows() {
			return
		}
		fleet.run(1)
	}
	t.Errorf("the instances do not agree after %v", limit)
}

// TestChangesSpread guards against instances that stay unknown to others in a large fleet, for example to one that has just
// started: it would compute another working set and larger shares of budgets and connections than the others.
func TestChangesSpread(t *testing.T) {
	for _, size := range []int{24, 96} {
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			fleet := newLargeFleet(t, size)
			fleet.assertKnownWithin(t, spreadTime)
			fleet.run(int(settleTime / step))

			fleet.nodes[5].up = false
			fleet.assertKnownWithin(t, spreadTime)
			fleet.start(5)
			fleet.assertKnownWithin(t, spreadTime)
			fleet.apply(7, fleet.nodes[7].Leave(fleet.now))
			fleet.assertKnownWithin(t, spreadTime)

			for number := 1; number < size; number += fleet.centres {
				fleet.nodes[number].partitioned = true
			}
			fleet.assertKnownWithin(t, lostTime)
		})
	}
}

// TestTrafficBetweenDataCentres guards against traffic of each instance that grows with the fleet.
func TestTrafficBetweenDataCentres(t *testing.T) {
	const small, large = 24, 96
	type traffic struct{ start, calm, leaving float64 }
	measure := func(size int) traffic {
		fleet := newLargeFleet(t, size)
		crossed := func(steps int) float64 {
			before := fleet.crossed
			fleet.run(steps)
			return float64(fleet.crossed-before) / float64(size)
		}
		fleet.loss = 0
		start := crossed(int(settleTime/step)) / float64(size) // for each member that starts
		calm := crossed(int(settleTime / step))
		fleet.apply(7, fleet.nodes[7].Leave(fleet.now))
		return traffic{start, calm, max(crossed(int(settleTime/step))-calm, 0)}
	}
	before, after := measure(small), measure(large)
	for _, test := range []struct {
		name          string
		before, after float64
	}{{"start", before.start, after.start}, {"calm", before.calm, after.calm}, {"leaving", before.leaving, after.leaving}} {
		t.Run(test.name, func(t *testing.T) {
			if limit := test.before * math.Pow(large/small, maxGrowth); test.after > limit {
				t.Errorf("each of %d instances sends %.1f descriptions to other data centres, each of %d %.1f, want %.1f at most",
					small, test.before, large, test.after, limit)
			}
		})
	}
}
