package crashwatch

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"shallotreel.example/reel/catalogue"
	"shallotreel.example/reel/crash"
	"shallotreel.example/reel/quarantine"
)

// TestSilenceWithoutSignsOfLife guards against marks on ordinary requests, on all instances, by one that reaches no target.
func TestSilenceWithoutSignsOfLife(t *testing.T) {
	const fingerprint = 7
	one := catalogue.Target{ID: "one", Service: "desk", Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: 1}
	for _, test := range []struct {
		name   string
		alive  bool // whether a target gives a sign of life when the attempt is abandoned
		later  bool // whether one does after that
		lost   bool // whether the path is found to be lost then
		marked bool
	}{
		{"others answer", true, true, false, true},
		{"others answer later", false, true, false, true},
		{"nobody answers", false, false, false, false},
		{"the path is lost, and back later", false, true, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			alive, marks := test.alive, 0
			log := logrus.New()
			log.SetOutput(io.Discard)
			watch := New(&quarantine.Tracker{}, nil, func(quarantine.Fingerprint) { marks++ }, log, tally.NoopScope,
				WithSignsOfLife(func(time.Time) bool { return alive }))
			watch.Sent(crash.Attempt{ID: 1, Fingerprint: fingerprint, Target: one, SentAt: epoch, Suspicion: suspicionTimeout})
			now := epoch.Add(2 * suspicionTimeout)
			watch.Abandoned(now, 1, false)
			if test.lost {
				watch.PathLost(epoch)
			}
			alive = test.later
			watch.Tick(now.Add(tickPeriod))
			if (marks > 0) != test.marked {
				t.Errorf("%d marks are sent to peers, want any: %v", marks, test.marked)
			}
		})
	}
}
