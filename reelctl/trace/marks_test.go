package trace

import (
	"strings"
	"testing"
	"time"
)

// TestMarksAfterTrial guards against marks that are shown as standing after a trial has cleared them, and checks that trials are shown.
func TestMarksAfterTrial(t *testing.T) {
	at := func(second int) time.Time { return time.Date(2026, 12, 7, 6, 0, second, 0, time.UTC) }
	raised := &Line{Time: at(0), Fingerprint: "f", Message: "crash attributed to a request", Crashes: 3, Verdict: "quarantined"}
	refused := &Line{Time: at(1), Fingerprint: "f", Message: refusalMessage, Crashes: 3}
	tried := &Line{Time: at(5), Fingerprint: "f", Message: "quarantined request is tried again", Crashes: 3, Trials: 1}
	for _, test := range []struct {
		name    string
		cleared *Line
		want    string
	}{
		{"no answer yet", nil, "f: quarantined, 1 requests refused"},
		{"all crashes cleared", &Line{Time: at(6), Fingerprint: "f", Message: clearedMessage}, "f: none, 1 requests refused"},
		{"crashes at another service", &Line{Time: at(6), Fingerprint: "f", Message: clearedMessage, Crashes: 2}, "f: quarantined, 1 requests refused"},
	} {
		t.Run(test.name, func(t *testing.T) {
			lines := []*Line{raised, refused, tried}
			if test.cleared != nil {
				lines = append(lines, test.cleared)
			}
			var text strings.Builder
			if err := PrintMarks(&text, Marks(lines)); err != nil {
				t.Fatal(err)
			}
			for _, want := range []string{test.want, "3 crashes, trial 1"} {
				if !strings.Contains(text.String(), want) {
					t.Errorf("%q is missing in\n%s", want, text.String())
				}
			}
		})
	}
}
