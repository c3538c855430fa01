package admit

import (
	"testing"
	"time"
)

// TestSignal guards against limits that shrink because of failures that are not load.
func TestSignal(t *testing.T) {
	const quick, late = 50 * time.Millisecond, 300 * time.Millisecond
	for _, test := range []struct {
		name     string
		evidence Evidence
		want     Signal
	}{
		{"answered in goal", Evidence{Took: quick, Attempts: 10}, Uncongested},
		{"one of many targets has a queue", Evidence{Took: quick, Attempts: 10, Queued: 1}, Uncongested},
		{"a good share of the targets has queues", Evidence{Took: quick, Attempts: 10, Queued: 4}, Congested},
		{"some attempts refused, in goal", Evidence{Took: quick, Attempts: 10, Refused: 3}, Congested},
		{"late with queues", Evidence{Took: late, Attempts: 10, Queued: 4}, Overloaded},
		{"late because of a pause of one target", Evidence{Took: late, Attempts: 10, Queued: 1}, Neutral},
		{"failed after refusals", Evidence{Failed: true, Took: quick, Attempts: 4, Refused: 4}, Overloaded},
		{"failed without free capacity", Evidence{Failed: true, Took: quick, Attempts: 1, NoRoom: 1}, Overloaded},
		{"failed for lack of one full service", Evidence{Failed: true, Took: quick, Attempts: 100, Refused: 3, Missing: 1, Loaded: 1}, Overloaded},
		{"failed for lack of services that are down, one is full", Evidence{Failed: true, Took: quick, Attempts: 100, Refused: 3, Missing: 9, Loaded: 1}, Neutral},
		{"targets are down", Evidence{Failed: true, Took: quick, Attempts: 4, Missing: 2}, Neutral},
		{"targets are silent", Evidence{Failed: true, Took: late}, Neutral},
		{"late without signs of load", Evidence{Took: late, Attempts: 10}, Neutral},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.evidence.Goal = 200 * time.Millisecond
			if got := test.evidence.Signal(); got != test.want {
				t.Errorf("signal %v, want %v", got, test.want)
			}
		})
	}
}
