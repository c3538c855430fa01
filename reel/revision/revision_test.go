package revision

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)

// voters is an electorate of nine in which this instance is the first.
type voters struct{}

func (voters) List() uint64  { return 1 }
func (voters) Voter() int    { return 0 }
func (voters) Majority() int { return 5 }
func (voters) Empty() bool   { return false }

func published(revision uint64, preset string, chosen uint64) []byte {
	return fmt.Appendf(nil, `{"format":1,"revision":%d,"published_at":"2026-12-03T06:00:00Z","deployment":"d","data_centres":["a"],
"sources":[{"name":"s","slots":1,"connections":9,"connect_cost":"1ms"}],
"kinds":[{"name":"k","source":"s","operation":"search","weight":1,"deadline":"1s","rule":"coverage","repeatable":true}],"events":[],
"presets":[{"name":"ordinary","hedge_quantile":0.9,"extra_load":0,"queue_per_slot":1,"slot_fraction":1,"canary":true,"retry_after":"1s","address_keep":"5s"},
{"name":"peak","hedge_quantile":0.9,"extra_load":0,"queue_per_slot":1,"slot_fraction":1,"canary":true,"retry_after":"1s","address_keep":"5s"}],
"preset_in_force":%q,"preset_revision":%d}`, revision, preset, chosen)
}

func running(t *testing.T) *Machine {
	t.Helper()
	machine := New(voters{})
	offer(t, machine, start, published(1, "ordinary", 1), Held)
	if _, ok := machine.Tick(start, true); !ok {
		t.Fatal("the first revision did not take force")
	}
	return machine
}

func offer(t *testing.T, machine *Machine, now time.Time, data []byte, want Verdict) {
	t.Helper()
	if got, err := machine.Offer(now, data, false); got != want {
		t.Fatalf("offer is %v (%v), want %v", got, err, want)
	}
}

func assertInForce(t *testing.T, machine *Machine, want uint64) {
	t.Helper()
	if got := machine.InForce().Revision; got != want {
		t.Fatalf("revision %d in force, want %d", got, want)
	}
}

func TestOfferJudgesByOrder(t *testing.T) {
	machine := running(t)
	offer(t, machine, start, published(3, "ordinary", 1), Held)
	offer(t, machine, start, published(3, "ordinary", 1), Known)
	offer(t, machine, start, published(2, "ordinary", 1), Older)
	offer(t, machine, start, []byte(`{}`), Invalid)
	assertInForce(t, machine, 3)
}

func TestSwitchWaitsForItsInstantAndAMajority(t *testing.T) {
	machine := running(t)
	offer(t, machine, start, published(2, "peak", 2), Held)
	machine.Tick(start, true)
	votes := machine.Switch()
	votes.Bits = 0b11110
	machine.Heard(start.Add(200*time.Millisecond), votes)
	if _, ok := machine.Tick(start.Add(Lead-time.Millisecond), true); ok {
		t.Fatal("took force before its instant")
	}
	if doc, ok := machine.Tick(start.Add(Lead), true); !ok || doc.PresetInForce != "peak" {
		t.Fatal("did not take force at its instant")
	}
}

func TestSwitchWithoutAMajorityStopsAdmission(t *testing.T) {
	machine := running(t)
	offer(t, machine, start, published(2, "peak", 2), Held)
	if _, ok := machine.Tick(start.Add(time.Minute), true); ok {
		t.Fatal("took force without a majority")
	}
	until, known := machine.Until()
	if latest := start.Add(Lead - Settle); !known || until.After(latest) {
		t.Fatalf("admits until %v, want at most %v", until, latest)
	}
}

func TestLateMajoritySettlesFirst(t *testing.T) {
	machine := running(t)
	offer(t, machine, start, published(2, "peak", 2), Held)
	machine.Tick(start, true)
	votes := machine.Switch()
	votes.Bits = 0b11110
	late := start.Add(10 * time.Second)
	machine.Heard(late, votes)
	if _, ok := machine.Tick(late.Add(Settle-time.Millisecond), true); ok {
		t.Fatal("took force before others can have noticed")
	}
	machine.Tick(late.Add(Settle), true)
	assertInForce(t, machine, 2)
}

func TestEarliestInstantCounts(t *testing.T) {
	machine := running(t)
	offer(t, machine, start.Add(300*time.Millisecond), published(2, "peak", 2), Held)
	heard := machine.Switch()
	heard.At, heard.Bits, heard.List = start.Add(Lead), 0b11111, 1
	machine.Tick(start.Add(300*time.Millisecond), true)
	machine.Heard(start.Add(400*time.Millisecond), heard)
	if at, ok := machine.Next(); !ok || !at.Equal(start.Add(Lead)) {
		t.Fatalf("takes force at %v (%v), want %v", at, ok, start.Add(Lead))
	}
}

func TestSwitchInForceElsewhereIsFollowed(t *testing.T) {
	machine := running(t)
	offer(t, machine, start, published(2, "peak", 2), Held)
	heard := Switch{Force: Force{2, machine.Switch().Choice}, Newest: 2}
	machine.Heard(start.Add(time.Second), heard)
	machine.Tick(start.Add(time.Second), true)
	assertInForce(t, machine, 2)
}

func TestUnknownRevisionInForceStopsAdmission(t *testing.T) {
	machine := running(t)
	now := start.Add(time.Second)
	machine.Heard(now, Switch{Newest: 5, Force: Force{5, Choice{5, 9}}})
	if until, known := machine.Until(); !known || until.After(now) {
		t.Fatalf("admits until %v (%v), want no longer than %v", until, known, now)
	}
}

func TestOtherChangesTakeForceAtOnce(t *testing.T) {
	machine := running(t)
	offer(t, machine, start, published(2, "ordinary", 1), Held)
	assertInForce(t, machine, 2)
}

func TestSwitchBackIsASwitch(t *testing.T) {
	machine := running(t)
	offer(t, machine, start, published(2, "peak", 2), Held)
	offer(t, machine, start.Add(100*time.Millisecond), published(3, "ordinary", 3), Held)
	assertInForce(t, machine, 1)
	if until, _ := machine.Until(); until.After(start.Add(Lead)) {
		t.Fatalf("admits until %v, although the first switch may take force elsewhere at %v", until, start.Add(Lead))
	}
}
