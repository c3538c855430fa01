package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC)

func assertVerdict(t *testing.T, tracker *Tracker, now time.Time, want Verdict) {
	t.Helper()
	if got := tracker.Verdict(now, 7); got != want {
		t.Fatalf("verdict %v, want %v", got, want)
	}
}

func TestVerdicts(t *testing.T) {
	var tracker Tracker
	assertVerdict(t, &tracker, start, Untried)
	tracker.RecordSuccess(start, 7)
	assertVerdict(t, &tracker, start, Clear)
	tracker.RecordCrash(start, 7, "a")
	assertVerdict(t, &tracker, start, Suspect)
	tracker.RecordCrash(start.Add(500*time.Millisecond), 7, "a")
	assertVerdict(t, &tracker, start, Suspect)
	tracker.RecordCrash(start.Add(2*time.Second), 7, "a")
	assertVerdict(t, &tracker, start, Quarantined)
}

func TestQuarantineExpires(t *testing.T) {
	var tracker Tracker
	tracker.RecordCrash(start, 7, "a")
	tracker.RecordCrash(start, 7, "b")
	assertVerdict(t, &tracker, start.Add(MarkLifetime-time.Second), Quarantined)
	assertVerdict(t, &tracker, start.Add(MarkLifetime), Untried)
	tracker.RemoveExpired(start.Add(MarkLifetime))
	if got := tracker.Marks(start); len(got) != 0 {
		t.Fatalf("marks %v remain after RemoveExpired", got)
	}
}

func TestSuccessfulTrialClearsReplicatedMark(t *testing.T) {
	var local, remote Tracker
	remote.Merge(start, local.RecordCrash(start, 7, "a"))
	cleared, ok := local.RecordSuccess(start, 7)
	if !ok {
		t.Fatal("the successful trial did not clear the mark")
	}
	assertVerdict(t, &remote, start, Suspect)
	if got := remote.VerdictWithTrust(start, 7, Trust{Passed: true, Version: cleared.Version}); got != Clear {
		t.Fatalf("verdict for an instance that received the cleared mark: %v, want clear", got)
	}
	if got := remote.VerdictWithTrust(start, 7, Trust{Passed: true}); got != Suspect {
		t.Fatalf("verdict for an instance whose trust predates the crash: %v, want suspect", got)
	}
	remote.Merge(start, cleared)
	assertVerdict(t, &remote, start, Untried)
}

func TestTrustedFingerprintsAreBounded(t *testing.T) {
	var tracker Tracker
	for i := range MaxTrusted + 100 {
		tracker.RecordSuccess(start, Fingerprint(i))
	}
	if got := tracker.Verdict(start, 0); got != Untried {
		t.Fatalf("verdict on the evicted fingerprint: %v, want untried", got)
	}
	if got := tracker.Verdict(start, MaxTrusted+99); got != Clear {
		t.Fatalf("verdict on the newest fingerprint: %v, want clear", got)
	}
}

// TestTrackersConverge merges marks in random order and checks that all trackers reach the same verdict after each
// has received every mark.
func TestTrackersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := []*Tracker{{}, {}, {}}
		var marks []Mark
		for i := range rapid.IntRange(1, 6).Draw(t, "crashes") {
			tracker := rapid.SampledFrom(trackers).Draw(t, "tracker")
			marks = append(marks, tracker.RecordCrash(start, 7, fmt.Sprintf("t%d", i)))
			if rapid.Bool().Draw(t, "replicate") {
				rapid.SampledFrom(trackers).Draw(t, "other").Merge(start, marks[len(marks)-1])
			}
		}
		for range 2 {
			for _, from := range trackers {
				for _, to := range trackers {
					for _, mark := range from.Marks(start) {
						to.Merge(start, mark)
					}
				}
			}
		}
		for _, tracker := range trackers[1:] {
			if a, b := trackers[0].Verdict(start, 7), tracker.Verdict(start, 7); a != b {
				t.Fatalf("trackers disagree: verdicts %v and %v", a, b)
			}
		}
	})
}
