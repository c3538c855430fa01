package cursor

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/catalogue"
)

const (
	silentPeriod = 10 * time.Second // between two times at which connections go silent
	stopTime     = 5 * time.Second  // from the notice that an instance stops until its process ends
)

// silence makes the connections to the store silent for good, which counts as a disturbance of all instances.
func (simulation *simulation) silence() {
	simulation.silentAt = simulation.Now
	for _, instance := range simulation.instances {
		instance.conn.silent = instance.conn.isOpen
	}
}

// checkInForce checks periodically that a version is in force at all undisturbed instances InForceTime after its acknowledgement.
func (simulation *simulation) checkInForce() {
	for _, instance := range simulation.instances {
		if !instance.inTouch() {
			continue
		}
		if age := simulation.Now.Sub(simulation.configuredAt); instance.version < simulation.versions && age > InForceTime {
			simulation.fail("instance %d has version %d, %v after the acknowledgement of version %d", instance.number, instance.version, age,
				simulation.versions)
		}
	}
	simulation.Schedule(checkPeriod, simulation.checkInForce)
}

// disturbReader plays a drawn end of the reader, or a failure on its way to the store or to its peers.
func (simulation *simulation) disturbReader(t *rapid.T) {
	reader := simulation.reader()
	switch rapid.SampledFrom([]string{"none", "stops", "is killed", "is cut off from the store", "is cut off from peers"}).Draw(t, "reader") {
	case "stops":
		reader.leavingAt = simulation.Now
		simulation.Schedule(stopTime, func() { reader.stop(time.Second) })
	case "is killed":
		reader.stop(time.Duration(rapid.IntRange(300, 5000).Draw(t, "off ms")) * time.Millisecond)
	case "is cut off from the store":
		reader.cutUntil = simulation.Now.Add(time.Duration(rapid.IntRange(100, 6000).Draw(t, "cut ms")) * time.Millisecond)
	case "is cut off from peers":
		reader.apartUntil = simulation.Now.Add(time.Duration(rapid.IntRange(100, 6000).Draw(t, "apart ms")) * time.Millisecond)
	}
}

// TestVersionInForceInTime guards against a configuration that is in force too late by the sum of the timeouts on its way to an instance: its
// peer cannot read the store, and its own connection to the store, or that of the next reader, has gone silent.
func TestVersionInForceInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, 2, rapid.IntRange(2, 5).Draw(t, "instances"))
		simulation.answerTime, simulation.peerTime = ordinaryAnswer, ordinaryAnswer
		simulation.Run(stableTime + time.Second)
		simulation.checkInForce()
		for range rapid.IntRange(1, 3).Draw(t, "rounds") {
			simulation.silence()
			simulation.Run(time.Duration(rapid.IntRange(0, int(silentPeriod.Milliseconds())).Draw(t, "planned work after ms")) * time.Millisecond)
			for range rapid.IntRange(1, 2).Draw(t, "disturbances") {
				simulation.disturbReader(t)
				simulation.Run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause ms")) * time.Millisecond)
				simulation.configure()
			}
			simulation.Run(silentPeriod)
		}
	})
}

// TestInForceTime guards against a bound that grows beyond what is left of InForceTime.
func TestInForceTime(t *testing.T) {
	const answer = 100 * time.Millisecond // of a call by a new connection, to a store that is far
	for _, test := range []struct {
		name  string
		steps []time.Duration
	}{
		{"a peer that has lost the store", []time.Duration{MaxAge, PeerHold, PeerTimeout, answer}},
		{"a peer that is lost", []time.Duration{PeerHold, PeerTimeout, answer}},
		{"a connection that goes silent during a watch", []time.Duration{watchInterval, WatchTimeout, CallTimeout, minBackoff, answer}},
		{"one that goes silent between two reads", []time.Duration{IdleTimeout, CallTimeout, minBackoff, answer}},
	} {
		t.Run(test.name, func(t *testing.T) {
			sum := time.Duration(0)
			for _, step := range test.steps {
				sum += step
			}
			if sum > InForceTime {
				t.Errorf("the steps %v take %v, more than %v", test.steps, sum, InForceTime)
			}
		})
	}
	t.Run("an outage that one watch spans is too short for a registration to expire", func(t *testing.T) {
		if longest := WatchTimeout + CallTimeout + minBackoff; longest > catalogue.MinExpiry {
			t.Errorf("it takes up to %v, more than %v", longest, catalogue.MinExpiry)
		}
	})
	t.Run("pauses between reads leave the connection open", func(t *testing.T) {
		if longest := slices.Max([]time.Duration{watchInterval, peerPollInterval, minBackoff << doublings}); longest >= IdleTimeout {
			t.Errorf("the longest pause is %v, which %v does not exceed", longest, IdleTimeout)
		}
	})
}
