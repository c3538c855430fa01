package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/contact"
	"shallotreel.example/reel/member"
	"shallotreel.example/reel/quarantine"
)

// newSettledHarness returns a harness whose instances have joined and have revision 1 in force.
func newSettledHarness(seed uint64, size int) *harness {
	harness := newHarness(seed, size)
	harness.run(6 * time.Second)
	return harness
}

func assertRevision(t *testing.T, harness *harness, want uint64) {
	t.Helper()
	for i, got := range harness.revisions() {
		if got != want {
			t.Fatalf("instance %d has revision %d in force, want %d; revisions of all instances: %v", i, got,
				want, harness.revisions())
		}
	}
}

func assertStandings(t *testing.T, harness *harness, want contact.Standing, numbers ...int) {
	t.Helper()
	for _, number := range numbers {
		if got := harness.standings()[number]; got != want {
			t.Fatalf("standing of instance %d is %v, want %v", number, got, want)
		}
	}
}

func TestInstancesJoinAndAgree(t *testing.T) {
	for _, size := range []int{1, 2, 9, 30} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			harness := newSettledHarness(1, size)
			assertRevision(t, harness, 1)
			for i, node := range harness.nodes {
				alive := 0
				for _, peer := range node.machine.Members() {
					if peer.State == member.Alive {
						alive++
					}
				}
				if alive != size {
					t.Fatalf("instance %d lists %d instances as alive, want %d", i, alive, size)
				}
			}
		})
	}
}

func TestChangeIsInForceWithinThreeSeconds(t *testing.T) {
	for _, size := range []int{9, 30, 90} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			harness := newSettledHarness(1, size)
			harness.publish(2, "ordinary")
			harness.run(time.Second)
			assertRevision(t, harness, 2)
			harness.publish(3, "peak")
			harness.run(3 * time.Second)
			assertRevision(t, harness, 3)
		})
	}
}

// A revision that a single instance has read before the platform fails must still reach all instances and take effect.
func TestChangeReadByOneInstanceSurvivesAnOutage(t *testing.T) {
	harness := newSettledHarness(2, 9)
	harness.watchesPlatform = func(node int) bool { return node == 4 }
	harness.publish(2, "peak")
	harness.run(pollPeriod + 10*time.Millisecond)
	harness.platformDown = true
	harness.run(3 * time.Second)
	assertRevision(t, harness, 2)
}

// An older document, as after a restore of the platform's data from a backup, must not replace a newer one, neither on
// running instances nor on an instance that restarts and reads the older one first.
func TestRestoredOlderDocumentIsRefused(t *testing.T) {
	harness := newSettledHarness(3, 9)
	harness.publish(5, "peak")
	harness.run(4 * time.Second)
	harness.publish(2, "maintenance")
	harness.run(4 * time.Second)
	assertRevision(t, harness, 5)
	harness.start(7)
	harness.run(5 * time.Second)
	assertRevision(t, harness, 5)
}

// Two operators publish the same revision number with different presets, and instances read one or the other. All must
// choose the same one.
func TestConflictingDocumentsConverge(t *testing.T) {
	harness := newSettledHarness(4, 9)
	harness.publish(2, "peak")
	first := harness.values["document"]
	harness.publish(2, "maintenance")
	second := harness.values["document"]
	for i, node := range harness.nodes {
		chosen := first
		if i%2 == 0 {
			chosen = second
		}
		harness.perform(node, node.machine.HandlePlatformValue(harness.now, "document", 2, chosen.data))
	}
	harness.run(5 * time.Second)
	if got := harness.admittingPresets(); len(got) != 1 {
		t.Fatalf("instances admit under several presets or none: %v", got)
	}
}

// A partition separates three instances from the majority that puts a switch in force. The three must stop admitting
// requests under the old preset before that, and follow after the partition heals.
func TestMinorityStopsBeforeSwitchOfMajority(t *testing.T) {
	harness := newSettledHarness(5, 9)
	harness.watchesPlatform = func(node int) bool { return node == 0 || node == 1 }
	minority := []int{2, 5, 8}
	harness.partitioned = func(a, b int) bool { return slices.Contains(minority, a) != slices.Contains(minority, b) }
	harness.publish(2, "peak")
	harness.onTick = func() {
		if got := harness.admittingPresets(); len(got) > 1 {
			t.Fatalf("at %v instances admit under several presets: %v", harness.now, got)
		}
	}
	harness.run(4 * time.Second)
	assertStandings(t, harness, contact.Isolated, minority...)
	harness.partitioned = func(int, int) bool { return false }
	harness.run(6 * time.Second)
	assertRevision(t, harness, 2)
	assertStandings(t, harness, contact.Good, minority...)
}

// TestOnePresetUnderFaults checks at each tick, during random partitions, platform outages, pauses and preset switches,
// that no two instances admit requests under different presets and that no instance reverts to an older revision. After
// the faults end, the newest revision must take effect on all instances.
func TestOnePresetUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		harness := newSettledHarness(rapid.Uint64().Draw(t, "seed"), 9)
		revision := uint64(1)
		highest := make([]uint64, 9)
		harness.onTick = func() {
			if got := harness.admittingPresets(); len(got) > 1 {
				t.Fatalf("at %v instances admit under several presets: %v\n%v\n%s", harness.now.Format("05.000"), got,
					harness.switches, harness.describe())
			}
			for i, node := range harness.nodes {
				if doc := node.machine.InForce(); doc != nil {
					if doc.Revision < highest[i] {
						t.Fatalf("instance %d reverted from %d to %d", i, highest[i], doc.Revision)
					}
					highest[i] = doc.Revision
				}
			}
		}
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"switch", "partition", "heal", "platform down", "platform up", "pause", "resume"}).Draw(t, "step") {
			case "switch":
				revision++
				harness.publish(revision, rapid.SampledFrom([]string{"ordinary", "peak", "maintenance"}).Draw(t, "preset"))
			case "partition":
				side := rapid.SliceOfN(rapid.Bool(), 9, 9).Draw(t, "side")
				harness.partitioned = func(a, b int) bool { return side[a] != side[b] }
			case "heal":
				harness.partitioned = func(int, int) bool { return false }
			case "platform down":
				harness.platformDown = true
			case "platform up":
				harness.platformDown = false
			case "pause":
				harness.nodes[rapid.IntRange(0, 8).Draw(t, "paused")].paused = true
			case "resume":
				for _, node := range harness.nodes {
					node.paused = false
				}
			}
			harness.run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "wait")) * time.Millisecond)
		}
		harness.partitioned = func(int, int) bool { return false }
		harness.platformDown = false
		for _, node := range harness.nodes {
			node.paused = false
		}
		harness.run(10 * time.Second)
		for i, got := range harness.revisions() {
			if got != revision {
				t.Fatalf("instance %d has revision %d in force, want %d", i, got, revision)
			}
		}
	})
}

func TestResumedInstanceIsPaused(t *testing.T) {
	harness := newSettledHarness(6, 9)
	harness.nodes[3].paused = true
	harness.run(10 * time.Second)
	harness.nodes[3].paused = false
	harness.run(tickPeriod)
	assertStandings(t, harness, contact.Paused, 3)
	harness.run(3 * time.Second)
	assertStandings(t, harness, contact.Good, 3)
}

// Within two seconds the other instances must no longer list a dead instance in a serving state.
func TestDeadInstanceIsNoticedWithinTwoSeconds(t *testing.T) {
	harness := newSettledHarness(7, 9)
	harness.nodes[2].dead = true
	harness.run(2 * time.Second)
	for i, node := range harness.nodes {
		if i == 2 {
			continue
		}
		for _, peer := range node.machine.Members() {
			if peer.Name == "i2" && peer.State.Serves() {
				t.Fatalf("instance %d still considers the dead instance to be serving", i)
			}
		}
	}
}

func TestReplacementTakesOverTheName(t *testing.T) {
	harness := newSettledHarness(8, 9)
	harness.run(time.Second)
	harness.start(4)
	harness.run(5 * time.Second)
	for i, node := range harness.nodes {
		for _, peer := range node.machine.Members() {
			if peer.Name == "i4" && peer.State != member.Alive {
				t.Fatalf("instance %d lists the replacement as %v, want alive", i, peer.State)
			}
		}
	}
}

func TestMarksAndLeavingTargetsReachAll(t *testing.T) {
	harness := newSettledHarness(9, 9)
	first := harness.nodes[0]
	harness.perform(first, first.machine.BroadcastMark(harness.now, first.crashHistory.RecordCrash(harness.now, 7, "s/1/1")))
	harness.perform(first, first.machine.BroadcastLeaving(harness.now, "s/1/2"))
	harness.run(200 * time.Millisecond)
	for i, node := range harness.nodes {
		if got := node.crashHistory.Verdict(harness.now, 7); got != quarantine.Suspect {
			t.Errorf("instance %d: Verdict() = %v, want suspect", i, got)
		}
		if got := node.machine.LeavingTargets(harness.now); len(got) != 1 {
			t.Errorf("instance %d: LeavingTargets() = %v, want one target", i, got)
		}
	}
}

// TestControlTrafficStaysWithinBudget checks that the traffic of one instance stays within its budget as the number of
// instances grows. It logs the figures that docs/CAPACITY.md uses.
func TestControlTrafficStaysWithinBudget(t *testing.T) {
	for _, size := range []int{9, 30, 90} {
		harness := newSettledHarness(10, size)
		for _, node := range harness.nodes {
			node.sentBytes, node.packets = 0, 0
		}
		harness.run(10 * time.Second)
		sent, packets := 0, 0
		for _, node := range harness.nodes {
			sent += node.sentBytes
			packets += node.packets
		}
		perNode := float64(sent) / 10 / float64(size)
		t.Logf("%d instances: %.0f bytes/s sent by each, %.1f packets/s, %d bytes per packet", size, perNode,
			float64(packets)/10/float64(size), sent/packets)
		if 2*perNode > 14000 {
			t.Errorf("%d instances: %.0f bytes/s sent and received by each, budget is 14000", size, 2*perNode)
		}
	}
}
