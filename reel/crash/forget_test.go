package crash

import (
	"testing"
	"time"

	"shallotreel.example/reel/catalogue"
)

// TestSilenceWithoutPathIsForgotten guards against attempts that an instance without a path to the targets holds against them, once
// these have really ended.
func TestSilenceWithoutPathIsForgotten(t *testing.T) {
	restarted := catalogue.Target{ID: "one", Service: "desk", Address: address, Born: 2000}
	for _, test := range []struct {
		name  string
		since time.Duration // newest sign of life of any target, from the start
		end   func(*Ledger, time.Time)
		want  []uint64
	}{
		{"in flight when the path was lost", 2 * suspicion, func(*Ledger, time.Time) {}, nil},
		{"broken when the path was lost", 0, func(ledger *Ledger, _ time.Time) { ledger.Broken(1) }, nil},
		{"silent since the path was lost", 0, func(ledger *Ledger, now time.Time) { ledger.Abandoned(now, 1) }, nil},
		{"silent while others answered", 2 * suspicion, func(ledger *Ledger, now time.Time) { ledger.Abandoned(now, 1) }, []uint64{1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			ledger := NewLedger()
			send(ledger, 1, 7, one)
			test.end(ledger, start.Add(3*suspicion))
			ledger.Forget(start.Add(test.since))
			assertAttributed(t, ledger.Registered(start.Add(time.Second), restarted), Restarted, test.want...)
		})
	}
}
