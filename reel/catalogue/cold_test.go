package catalogue

import (
	"testing"
	"time"

	"shallotreel.example/reel/storepos"
)

// TestColdPeriodReachesPeers guards against a target that turns cold unnoticed, and against a change at each heartbeat of a target
// that is only counting down, which would be sent to all instances.
func TestColdPeriodReachesPeers(t *testing.T) {
	type report struct {
		at   int // milliseconds
		left time.Duration
	}
	for _, test := range []struct {
		name    string
		reports []report
		want    int // changes after the first report
	}{
		{"counts down", []report{{0, 9 * time.Second}, {3000, 6 * time.Second}, {6200, 2700 * time.Millisecond}, {9500, 0}, {12_000, 0}}, 0},
		{"turns cold", []report{{0, 0}, {3000, 5 * time.Second}}, 1},
		{"turns cold for a moment", []report{{0, 0}, {3000, 500 * time.Millisecond}}, 1},
		{"turns cold again", []report{{0, 2 * time.Second}, {3000, 0}, {6000, 5 * time.Second}, {9000, 2 * time.Second}}, 1},
		{"warm early", []report{{0, 9 * time.Second}, {3000, 0}}, 1},
		{"does not get warmer", []report{{0, 9 * time.Second}, {800, 9 * time.Second}, {1600, 9 * time.Second}}, 1},
		{"old reader", []report{{-1, 0}, {3000, 0}}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			reader, peer := New(), New()
			changes := 0
			var want time.Time
			for i, report := range test.reports {
				target := target("one", uint64(i))
				if report.at >= 0 {
					target.ColdLeft, target.ColdAt = report.left, at(report.at)
				}
				if _, changed := reader.Register(target); changed && i > 0 {
					changes++
				}
				want = target.ColdUntil()
			}
			if changes != test.want {
				t.Errorf("%d changes, want %d", changes, test.want)
			}
			peer.Apply(at(0), reader.Since(at(0), 0), true, storepos.Position{})
			if got := peer.View().Targets("menus")[0].ColdUntil(); !want.IsZero() && got.Sub(want).Abs() > coldTolerance {
				t.Errorf("the peer believes that it is cold until %v, want %v", got, want)
			}
		})
	}
}

// TestOldPeerKeepsColdPeriod guards against a cold period that is forgotten because an instance of the old build tells of the
// target without it.
func TestOldPeerKeepsColdPeriod(t *testing.T) {
	catalogue := New()
	known := target("one", 1)
	known.ColdLeft, known.ColdAt = 9*time.Second, at(0)
	catalogue.Register(known)
	moved := target("one", 2)
	moved.Slots, moved.DataCentre = 4, "b"
	catalogue.Register(moved)
	if got := catalogue.View().Targets("menus")[0]; !got.ColdUntil().Equal(at(9000)) || got.DataCentre != "b" {
		t.Errorf("the target is %+v, want it in b and cold until 9 s", got)
	}
}
