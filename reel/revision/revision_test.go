package revision

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)

// testElectorate is an electorate of nine voters in which this instance has index 0.
type testElectorate struct{}

func (testElectorate) ListVersion() uint64 { return 1 }
func (testElectorate) VoterIndex() int     { return 0 }
func (testElectorate) Quorum() int         { return 5 }
func (testElectorate) NoVoters() bool      { return false }

// documentData returns the JSON of a document whose preset was chosen by the given revision.
func documentData(revision uint64, preset string, presetRevision uint64) []byte {
	return fmt.Appendf(nil, `{"format":1,"revision":%d,"published_at":"2026-12-03T06:00:00Z","deployment":"d","data_centres":["a"],
"sources":[{"name":"s","slots":1,"connections":9,"connect_cost":"1ms"}],
"kinds":[{"name":"k","source":"s","operation":"search","weight":1,"deadline":"1s","rule":"coverage","repeatable":true}],"events":[],
"presets":[{"name":"ordinary","hedge_quantile":0.9,"extra_load":0,"queue_per_slot":1,"slot_fraction":1,"canary":true,"retry_after":"1s","address_keep":"5s"},
{"name":"peak","hedge_quantile":0.9,"extra_load":0,"queue_per_slot":1,"slot_fraction":1,"canary":true,"retry_after":"1s","address_keep":"5s"}],
"preset_in_force":%q,"preset_revision":%d}`, revision, preset, presetRevision)
}

// newRunningMachine returns a machine that has revision 1 with the preset "ordinary" in force.
func newRunningMachine(t *testing.T) *Machine {
	t.Helper()
	machine := New(testElectorate{})
	offer(t, machine, start, documentData(1, "ordinary", 1), Accepted)
	if _, ok := machine.Tick(start, true); !ok {
		t.Fatal("the first revision did not take effect")
	}
	return machine
}

func offer(t *testing.T, machine *Machine, now time.Time, data []byte, want Verdict) {
	t.Helper()
	if got, err := machine.Offer(now, data, false); got != want {
		t.Fatalf("Offer() = %v (%v), want %v", got, err, want)
	}
}

func assertInForce(t *testing.T, machine *Machine, want uint64) {
	t.Helper()
	if got := machine.InForce().Revision; got != want {
		t.Fatalf("revision %d is in force, want %d", got, want)
	}
}

func TestOfferOrdersRevisions(t *testing.T) {
	machine := newRunningMachine(t)
	offer(t, machine, start, documentData(3, "ordinary", 1), Accepted)
	offer(t, machine, start, documentData(3, "ordinary", 1), Known)
	offer(t, machine, start, documentData(2, "ordinary", 1), Older)
	offer(t, machine, start, []byte(`{}`), Invalid)
	assertInForce(t, machine, 3)
}

func TestSwitchWaitsForItsTimeAndAMajority(t *testing.T) {
	machine := newRunningMachine(t)
	offer(t, machine, start, documentData(2, "peak", 2), Accepted)
	machine.Tick(start, true)
	votes := machine.SwitchState()
	votes.Bits = 0b11110
	machine.MergeSwitchState(start.Add(200*time.Millisecond), votes)
	if _, ok := machine.Tick(start.Add(SwitchDelay-time.Millisecond), true); ok {
		t.Fatal("the switch took effect before its time")
	}
	if doc, ok := machine.Tick(start.Add(SwitchDelay), true); !ok || doc.PresetInForce != "peak" {
		t.Fatal("the switch did not take effect at its time")
	}
}

func TestSwitchWithoutAMajorityStopsAdmission(t *testing.T) {
	machine := newRunningMachine(t)
	offer(t, machine, start, documentData(2, "peak", 2), Accepted)
	if _, ok := machine.Tick(start.Add(time.Minute), true); ok {
		t.Fatal("the switch took effect without a majority")
	}
	until, known := machine.AdmitUntil()
	if latest := start.Add(SwitchDelay - QuorumDelay); !known || until.After(latest) {
		t.Fatalf("AdmitUntil() = %v, want at most %v", until, latest)
	}
}

// A majority that forms after the time of the switch must wait for QuorumDelay, because until then a
// disconnected instance may still admit requests under the old preset.
func TestLateMajorityWaitsForQuorumDelay(t *testing.T) {
	machine := newRunningMachine(t)
	offer(t, machine, start, documentData(2, "peak", 2), Accepted)
	machine.Tick(start, true)
	votes := machine.SwitchState()
	votes.Bits = 0b11110
	majorityAt := start.Add(10 * time.Second)
	machine.MergeSwitchState(majorityAt, votes)
	if _, ok := machine.Tick(majorityAt.Add(QuorumDelay-time.Millisecond), true); ok {
		t.Fatal("the switch took effect before QuorumDelay had passed since the majority formed")
	}
	machine.Tick(majorityAt.Add(QuorumDelay), true)
	assertInForce(t, machine, 2)
}

func TestEarliestSwitchTimeWins(t *testing.T) {
	machine := newRunningMachine(t)
	offer(t, machine, start.Add(300*time.Millisecond), documentData(2, "peak", 2), Accepted)
	peer := machine.SwitchState()
	peer.At, peer.Bits, peer.List = start.Add(SwitchDelay), 0b11111, 1
	machine.Tick(start.Add(300*time.Millisecond), true)
	machine.MergeSwitchState(start.Add(400*time.Millisecond), peer)
	if at, ok := machine.ActivationTime(); !ok || !at.Equal(start.Add(SwitchDelay)) {
		t.Fatalf("ActivationTime() = %v (%v), want %v", at, ok, start.Add(SwitchDelay))
	}
}

func TestSwitchInForceElsewhereIsFollowed(t *testing.T) {
	machine := newRunningMachine(t)
	offer(t, machine, start, documentData(2, "peak", 2), Accepted)
	peer := SwitchState{Force: RevisionInForce{2, machine.SwitchState().Choice}, Newest: 2}
	machine.MergeSwitchState(start.Add(time.Second), peer)
	machine.Tick(start.Add(time.Second), true)
	assertInForce(t, machine, 2)
}

func TestUnknownRevisionInForceStopsAdmission(t *testing.T) {
	machine := newRunningMachine(t)
	now := start.Add(time.Second)
	machine.MergeSwitchState(now, SwitchState{Newest: 5, Force: RevisionInForce{5, PresetChoice{5, 9}}})
	if until, known := machine.AdmitUntil(); !known || until.After(now) {
		t.Fatalf("AdmitUntil() = %v (%v), want at most %v", until, known, now)
	}
}

func TestChangeWithoutSwitchTakesEffectAtOnce(t *testing.T) {
	machine := newRunningMachine(t)
	offer(t, machine, start, documentData(2, "ordinary", 1), Accepted)
	assertInForce(t, machine, 2)
}

// Publishing the old preset again while a switch is pending must not leave the old preset admitting requests
// after the first switch may have taken effect on instances that have not read the second revision.
func TestSwitchBackStopsAdmissionByFirstSwitch(t *testing.T) {
	machine := newRunningMachine(t)
	offer(t, machine, start, documentData(2, "peak", 2), Accepted)
	offer(t, machine, start.Add(100*time.Millisecond), documentData(3, "ordinary", 3), Accepted)
	assertInForce(t, machine, 1)
	if until, _ := machine.AdmitUntil(); until.After(start.Add(SwitchDelay)) {
		t.Fatalf("AdmitUntil() = %v, but the first switch may take effect on other instances at %v", until, start.Add(SwitchDelay))
	}
}
