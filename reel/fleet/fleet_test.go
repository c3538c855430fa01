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

func settled(seed uint64, size int) *harness {
	harness := newHarness(seed, size)
	harness.run(6 * time.Second)
	return harness
}

func assertRevision(t *testing.T, harness *harness, want uint64) {
	t.Helper()
	for i, got := range harness.revisions() {
		if got != want {
			t.Fatalf("instance %d has revision %d in force, want %d; all have %v", i, got, want, harness.revisions())
		}
	}
}

func assertStandings(t *testing.T, harness *harness, want contact.Standing, numbers ...int) {
	t.Helper()
	for _, number := range numbers {
		if got := harness.standings()[number]; got != want {
			t.Fatalf("instance %d is %v, want %v", number, got, want)
		}
	}
}

func TestFleetStartsAndAgrees(t *testing.T) {
	for _, size := range []int{1, 2, 9, 30} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			harness := settled(1, size)
			assertRevision(t, harness, 1)
			for i, node := range harness.nodes {
				alive := 0
				for _, known := range node.machine.Members() {
					if known.State == member.Alive {
						alive++
					}
				}
				if alive != size {
					t.Fatalf("instance %d sees %d alive, want %d", i, alive, size)
				}
			}
		})
	}
}

func TestChangeIsInForceWithinThreeSeconds(t *testing.T) {
	for _, size := range []int{9, 30, 90} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			harness := settled(1, size)
			harness.publish(2, "ordinary")
			harness.run(time.Second)
			assertRevision(t, harness, 2)
			harness.publish(3, "peak")
			harness.run(3 * time.Second)
			assertRevision(t, harness, 3)
		})
	}
}

func TestChangeReadByOneInstanceSurvivesAnOutage(t *testing.T) {
	harness := settled(2, 9)
	harness.watch = func(node int) bool { return node == 4 }
	harness.publish(2, "peak")
	harness.run(pollPeriod + 10*time.Millisecond)
	harness.down = true
	harness.run(3 * time.Second)
	assertRevision(t, harness, 2)
}

func TestRestoredOlderDocumentIsRefused(t *testing.T) {
	harness := settled(3, 9)
	harness.publish(5, "peak")
	harness.run(4 * time.Second)
	harness.publish(2, "maintenance")
	harness.run(4 * time.Second)
	assertRevision(t, harness, 5)
	harness.start(7)
	harness.run(5 * time.Second)
	assertRevision(t, harness, 5)
}

func TestRacingOperatorsEndInOneOutcome(t *testing.T) {
	harness := settled(4, 9)
	harness.publish(2, "peak")
	first := harness.values["document"]
	harness.publish(2, "maintenance")
	second := harness.values["document"]
	for i, node := range harness.nodes {
		chosen := first
		if i%2 == 0 {
			chosen = second
		}
		harness.perform(node, node.machine.Read(harness.now, "document", 2, chosen.data))
	}
	harness.run(5 * time.Second)
	if got := harness.admitting(); len(got) != 1 {
		t.Fatalf("presets in force: %v", got)
	}
}

func TestSmallSideStopsBeforeASwitchElsewhere(t *testing.T) {
	harness := settled(5, 9)
	harness.watch = func(node int) bool { return node == 0 || node == 1 }
	small := []int{2, 5, 8}
	harness.cut = func(a, b int) bool { return slices.Contains(small, a) != slices.Contains(small, b) }
	harness.publish(2, "peak")
	harness.onTick = func() {
		if got := harness.admitting(); len(got) > 1 {
			t.Fatalf("at %v presets in force: %v", harness.now, got)
		}
	}
	harness.run(4 * time.Second)
	assertStandings(t, harness, contact.Isolated, small...)
	harness.cut = func(int, int) bool { return false }
	harness.run(6 * time.Second)
	assertRevision(t, harness, 2)
	assertStandings(t, harness, contact.Good, small...)
}

// TestOnePresetUnderFaults draws cuts, outages, freezes and switches, and looks at every tick.
func TestOnePresetUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		harness := settled(rapid.Uint64().Draw(t, "seed"), 9)
		revision := uint64(1)
		highest := make([]uint64, 9)
		harness.onTick = func() {
			if got := harness.admitting(); len(got) > 1 {
				t.Fatalf("at %v presets in force: %v\n%v\n%s", harness.now.Format("05.000"), got, harness.switches, harness.describe())
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
			switch rapid.SampledFrom([]string{"switch", "cut", "heal", "down", "up", "freeze", "thaw"}).Draw(t, "step") {
			case "switch":
				revision++
				harness.publish(revision, rapid.SampledFrom([]string{"ordinary", "peak", "maintenance"}).Draw(t, "preset"))
			case "cut":
				side := rapid.SliceOfN(rapid.Bool(), 9, 9).Draw(t, "side")
				harness.cut = func(a, b int) bool { return side[a] != side[b] }
			case "heal":
				harness.cut = func(int, int) bool { return false }
			case "down":
				harness.down = true
			case "up":
				harness.down = false
			case "freeze":
				harness.nodes[rapid.IntRange(0, 8).Draw(t, "frozen")].frozen = true
			case "thaw":
				for _, node := range harness.nodes {
					node.frozen = false
				}
			}
			harness.run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "wait")) * time.Millisecond)
		}
		harness.cut = func(int, int) bool { return false }
		harness.down = false
		for _, node := range harness.nodes {
			node.frozen = false
		}
		harness.run(10 * time.Second)
		for i, got := range harness.revisions() {
			if got != revision {
				t.Fatalf("instance %d has revision %d in force, want %d", i, got, revision)
			}
		}
	})
}

func TestFrozenInstanceWakesPaused(t *testing.T) {
	harness := settled(6, 9)
	harness.nodes[3].frozen = true
	harness.run(10 * time.Second)
	harness.nodes[3].frozen = false
	harness.run(tickPeriod)
	assertStandings(t, harness, contact.Paused, 3)
	harness.run(3 * time.Second)
	assertStandings(t, harness, contact.Good, 3)
}

func TestDeadInstanceIsNoticedWithinTwoSeconds(t *testing.T) {
	harness := settled(7, 9)
	harness.nodes[2].dead = true
	harness.run(2 * time.Second)
	for i, node := range harness.nodes {
		if i == 2 {
			continue
		}
		for _, known := range node.machine.Members() {
			if known.Name == "i2" && known.State.Serves() {
				t.Fatalf("instance %d still gives work to the dead one", i)
			}
		}
	}
}

func TestReplacedInstanceTakesItsNameOver(t *testing.T) {
	harness := settled(8, 9)
	harness.run(time.Second)
	harness.start(4)
	harness.run(5 * time.Second)
	for i, node := range harness.nodes {
		for _, known := range node.machine.Members() {
			if known.Name == "i4" && known.State != member.Alive {
				t.Fatalf("instance %d sees the replacement as %v", i, known.State)
			}
		}
	}
}

func TestMarksAndLeavingTargetsReachAll(t *testing.T) {
	harness := settled(9, 9)
	first := harness.nodes[0]
	harness.perform(first, first.machine.TellMark(harness.now, first.book.RecordCrash(harness.now, 7, "s/1/1")))
	harness.perform(first, first.machine.TellLeaving(harness.now, "s/1/2"))
	harness.run(200 * time.Millisecond)
	for i, node := range harness.nodes {
		if got := node.book.Judge(harness.now, 7); got != quarantine.Suspect {
			t.Errorf("instance %d judges %v", i, got)
		}
		if got := node.machine.Leaving(harness.now); len(got) != 1 {
			t.Errorf("instance %d knows leaving targets %v", i, got)
		}
	}
}

// TestControlBytesStayFlat logs the slope that docs/CAPACITY.md uses.
func TestControlBytesStayFlat(t *testing.T) {
	for _, size := range []int{9, 30, 90} {
		harness := settled(10, size)
		for _, node := range harness.nodes {
			node.sent, node.packets = 0, 0
		}
		harness.run(10 * time.Second)
		sent, packets := 0, 0
		for _, node := range harness.nodes {
			sent += node.sent
			packets += node.packets
		}
		perNode := float64(sent) / 10 / float64(size)
		t.Logf("%d instances: %.0f bytes/s sent by each, %.1f packets/s, %d bytes a packet", size, perNode,
			float64(packets)/10/float64(size), sent/packets)
		if 2*perNode > 14000 {
			t.Errorf("%d instances: %.0f bytes/s sent and received by each, budget 14000", size, 2*perNode)
		}
	}
}
