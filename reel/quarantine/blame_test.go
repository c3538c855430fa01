package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const settled = settleTime

// loss returns the loss of a target's process in a wave.
func loss(target string, wave uint64, at time.Duration) Loss {
	return Loss{Target: target, Born: 1, Service: "desk", Wave: wave, At: start.Add(at)}
}

// TestWaves checks which losses quarantine a fingerprint whose attempts are told apart by waves.
func TestWaves(t *testing.T) {
	silent := func(loss Loss) Loss { loss.Silent = true; return loss }
	pending := func(loss Loss) Loss { loss.Silent, loss.Pending = true, true; return loss }
	for _, test := range []struct {
		name   string
		losses []Loss
		proven bool
		want   Verdict
	}{
		{"one wave at several shards", []Loss{loss("a", 1, 0), loss("b", 1, 0), loss("c", 1, 0)}, false, Suspect},
		{"two waves", []Loss{loss("a", 1, 0), loss("b", 2, 0)}, false, Quarantined},
		{"one process twice", []Loss{loss("a", 1, 0), loss("a", 2, time.Minute)}, false, Suspect},
		{"two waves of a request that ran before", []Loss{loss("a", 1, 0), loss("b", 2, 0)}, true, Suspect},
		{"three waves of a request that ran before", []Loss{loss("a", 1, 0), loss("b", 2, 0), loss("c", 3, 0)}, true, Quarantined},
		{"two waves found later", []Loss{silent(loss("a", 1, 0)), silent(loss("b", 2, 0))}, false, Suspect},
		{"three waves found later", []Loss{silent(loss("a", 1, 0)), silent(loss("b", 2, 0)), silent(loss("c", 3, 0))}, false, Quarantined},
		{"three waves found later of a request that ran before", []Loss{silent(loss("a", 1, 0)), silent(loss("b", 2, 0)), silent(loss("c", 3, 0))}, true, Suspect},
		{"three waves, one without evidence", []Loss{silent(loss("a", 1, 0)), silent(loss("b", 2, 0)), pending(loss("c", 3, 0))}, false, Quarantined},
	} {
		t.Run(test.name, func(t *testing.T) {
			var tracker Tracker
			if test.proven {
				tracker.RecordSuccess(start, 7)
			}
			for _, loss := range test.losses {
				tracker.RecordLoss(start, 7, loss)
			}
			assertVerdict(t, &tracker, start.Add(settled), test.want)
		})
	}
}

// TestMarkOfPeerCountsAtOnce guards against one more crash by way of an instance that has just started and learned a mark
// that all others have known for some time.
func TestMarkOfPeerCountsAtOnce(t *testing.T) {
	var tracker, started Tracker
	tracker.RecordLoss(start, 7, loss("a", 1, 0))
	mark := tracker.RecordLoss(start, 7, loss("b", 2, 0))
	assertVerdict(t, &tracker, start, Suspect)
	started.Merge(start.Add(settled), mark)
	assertVerdict(t, &started, start.Add(settled), Quarantined)
}

// TestPendingLosses guards against a request that is refused because targets gave no answer for other reasons.
func TestPendingLosses(t *testing.T) {
	pending := func(target string, wave uint64) Loss {
		pending := loss(target, wave, 0)
		pending.Silent, pending.Pending = true, true
		return pending
	}
	t.Run("alone", func(t *testing.T) {
		var tracker Tracker
		for wave := range uint64(5) {
			tracker.RecordLoss(start, 7, pending(fmt.Sprint(wave), wave+1))
		}
		assertVerdict(t, &tracker, start.Add(settled), Suspect)
		assertVerdict(t, &tracker, start.Add(PendingLifetime), Untried)
	})
	t.Run("beside a crash with evidence", func(t *testing.T) {
		var tracker Tracker
		tracker.RecordLoss(start, 7, loss("a", 1, 0))
		tracker.RecordLoss(start, 7, pending("b", 2))
		tracker.RecordLoss(start, 7, pending("c", 3))
		assertVerdict(t, &tracker, start.Add(settled), Quarantined)
		if got := tracker.Remaining(start.Add(time.Second), 7); got != PendingLifetime-time.Second {
			t.Errorf("the quarantine lasts for %v, want %v", got, PendingLifetime-time.Second)
		}
		assertVerdict(t, &tracker, start.Add(PendingLifetime), Suspect)
	})
}

// TestBystanders guards against marks on requests that were running beside the one that crashes targets.
func TestBystanders(t *testing.T) {
	t.Run("at one of its crashes", func(t *testing.T) {
		var tracker Tracker
		for wave, target := range []string{"a", "b", "c"} {
			tracker.RecordLoss(start, 8, loss(target, uint64(wave+10), 0))
		}
		tracker.RecordLoss(start, 7, loss("b", 1, 0))
		tracker.RecordLoss(start, 7, loss("c", 2, 0))
		assertVerdict(t, &tracker, start.Add(settled), Suspect)
	})
	t.Run("at all of its crashes", func(t *testing.T) {
		var tracker Tracker
		for wave, target := range []string{"a", "b"} {
			tracker.RecordLoss(start, 7, loss(target, uint64(wave+1), 0))
			tracker.RecordLoss(start, 8, loss(target, uint64(wave+10), 0))
		}
		assertVerdict(t, &tracker, start.Add(settled), Suspect)
		tracker.RecordLoss(start, 7, loss("c", 3, 0))
		assertVerdict(t, &tracker, start.Add(settled), Quarantined)
		if got := tracker.Verdict(start.Add(settled), 8); got != Suspect {
			t.Errorf("the verdict on the other request is %v, want suspect", got)
		}
	})
	t.Run("at all of its three crashes, until it runs", func(t *testing.T) {
		var tracker Tracker
		for wave, target := range []string{"a", "b", "c"} {
			tracker.RecordLoss(start, 7, loss(target, uint64(wave+1), 0))
			tracker.RecordLoss(start, 8, loss(target, uint64(wave+10), 0))
		}
		assertVerdict(t, &tracker, start.Add(settled), Suspect)
		tracker.RecordServiceSuccess(start, 8, "desk")
		assertVerdict(t, &tracker, start.Add(settled), Quarantined)
	})
	t.Run("at all crashes of several requests, after it was answered by all services", func(t *testing.T) {
		var tracker Tracker
		tracker.RecordServiceSuccess(start, 9, "desk")
		tracker.RecordCompletion(start, 9, anyService)
		for wave, target := range []string{"a", "b", "c", "d"} {
			culprit := Fingerprint(7 + wave%2)
			tracker.RecordLoss(start, culprit, loss(target, uint64(wave+1), 0))
			tracker.RecordLoss(start, 9, loss(target, uint64(wave+10), 0))
		}
		later := start.Add(completeSettleTime)
		assertVerdict(t, &tracker, later, Suspect)
		if got := tracker.Verdict(later, 9); got != Suspect {
			t.Errorf("the verdict on the harmless request is %v, want suspect", got)
		}
		tracker.RecordLoss(start, 7, loss("e", 5, 0))
		assertVerdict(t, &tracker, later, Quarantined)
	})
	t.Run("while targets crash without it", func(t *testing.T) {
		var tracker Tracker
		tracker.RecordLoss(start, 8, loss("c", 9, 0))
		tracker.RecordLoss(start, 7, loss("a", 1, 0))
		tracker.RecordLoss(start, 7, loss("b", 2, 0))
		assertVerdict(t, &tracker, start.Add(settled), Suspect)
		tracker.RecordLoss(start, 7, loss("d", 3, 0))
		assertVerdict(t, &tracker, start.Add(settled), Quarantined)
	})
}

// TestSuccessClearsService checks that a success at one service clears only the losses there, also after a quarantine.
func TestSuccessClearsService(t *testing.T) {
	var tracker, peer Tracker
	other := loss("b", 2, 0)
	other.Service = "other"
	tracker.RecordLoss(start, 7, loss("a", 1, 0))
	peer.Merge(start, tracker.RecordLoss(start, 7, other))
	assertVerdict(t, &tracker, start.Add(settled), Quarantined)
	mark, cleared := tracker.RecordServiceSuccess(start, 7, "desk")
	if !cleared || len(mark.Losses) != 1 || mark.Losses[0].Service != "other" {
		t.Fatalf("the mark is %+v, cleared %v, want only the loss at the other service", mark, cleared)
	}
	peer.Merge(start, mark)
	assertVerdict(t, &peer, start.Add(settled), Suspect)
	if tracker.Digest() != peer.Digest() {
		t.Error("the instances have different digests")
	}
}

func anyService(string) bool { return true }

// TestCompletionClearsFormerServices guards against losses that no success can clear, since the request goes to another service in place of theirs.
func TestCompletionClearsFormerServices(t *testing.T) {
	tracker, peer := quarantined(t)
	now := start.Add(settled)
	if mark, changed := tracker.RecordServiceSuccess(now, 7, "successor"); changed {
		peer.Merge(now, mark)
	}
	assertVerdict(t, tracker, now, Suspect) // proven, so that one crash more is required
	tracker.RecordLoss(now, 7, loss("c", 3, settled))
	now = now.Add(completeSettleTime)
	assertVerdict(t, tracker, now, Quarantined)
	mark, changed := tracker.RecordCompletion(now, 7, func(service string) bool { return service == "successor" })
	if !changed || len(mark.Losses) != 0 {
		t.Fatalf("the mark is %+v, changed %v, want none of the losses at the former service", mark, changed)
	}
	peer.Merge(now, mark)
	assertVerdict(t, tracker, now, Clear)
	assertVerdict(t, peer, now, Untried)
	if tracker.Digest() != peer.Digest() {
		t.Error("the instances have different digests")
	}
}

// TestRepeatedRequestKeepsMark guards against a mark that expires on a clock and allows further crashes each time, while
// the request keeps coming.
func TestRepeatedRequestKeepsMark(t *testing.T) {
	var tracker, peer Tracker
	tracker.RecordLoss(start, 7, loss("a", 1, 0))
	peer.Merge(start, tracker.RecordLoss(start, 7, loss("b", 2, 0)))
	now := start.Add(settled)
	for range 100 {
		now = now.Add(MarkLifetime / 10)
		if mark, changed := tracker.RecordRefusal(now, 7); changed {
			peer.Merge(now, mark)
		}
		assertVerdict(t, &tracker, now, Quarantined)
		assertVerdict(t, &peer, now, Quarantined)
	}
	assertVerdict(t, &tracker, now.Add(MarkLifetime), Untried)
}

// TestTrustSurvivesCrash guards against the early end of a trust that was withdrawn by a crash and gained again: the
// withdrawn one was still counted among the oldest.
func TestTrustSurvivesCrash(t *testing.T) {
	var tracker Tracker
	tracker.RecordSuccess(start, 7)
	tracker.RecordCrash(start, 7, "a")
	for i := range MaxTrusted - 1 {
		tracker.RecordSuccess(start, Fingerprint(1000+i))
	}
	tracker.RecordSuccess(start, 7)
	assertVerdict(t, &tracker, start, Clear)
}

// TestMarksAreBounded checks that a flood of marks displaces none with more crashes.
func TestMarksAreBounded(t *testing.T) {
	var tracker Tracker
	tracker.RecordLoss(start, 7, loss("a", 1, 0))
	tracker.RecordLoss(start, 7, loss("b", 2, 0))
	for i := range uint64(MaxMarks + 100) {
		now := start.Add(time.Duration(i+1) * time.Millisecond)
		tracker.RecordLoss(now, Fingerprint(1000+i), loss(fmt.Sprint("t", i), 1000+i, time.Hour))
		pending := loss(fmt.Sprint("p", i), 9000+i, time.Hour)
		pending.Pending = true
		tracker.RecordLoss(now, Fingerprint(100_000+i), pending)
	}
	if got := len(tracker.Marks(start)); got != 2*MaxMarks+1 {
		t.Errorf("%d marks are kept, want %d", got, 2*MaxMarks+1)
	}
	if mark, ok := tracker.Mark(start, 7); !ok || mark.Crashes() != 2 {
		t.Error("the mark with the most crashes is displaced")
	}
	if _, ok := tracker.Mark(start, 1000); ok {
		t.Error("the oldest mark with one crash is kept")
	}
}

// TestMarksConverge checks that trackers which exchange all their marks agree on them, whatever happened before.
func TestMarksConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := []*Tracker{{}, {}, {}}
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			tracker := rapid.SampledFrom(trackers).Draw(t, "tracker")
			now := start.Add(time.Duration(step) * time.Second)
			fingerprint := Fingerprint(rapid.IntRange(1, 3).Draw(t, "fingerprint"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				lost := loss(fmt.Sprint("t", rapid.IntRange(0, 4).Draw(t, "target")), uint64(step+1), time.Duration(step)*time.Second)
				lost.Silent = rapid.Bool().Draw(t, "silent")
				lost.Pending = lost.Silent && rapid.Bool().Draw(t, "pending")
				tracker.RecordLoss(now, fingerprint, lost)
			case 2:
				tracker.RecordServiceSuccess(now, fingerprint, "desk")
			case 3:
				tracker.RecordCompletion(now, fingerprint, anyService)
			case 4:
				other := rapid.SampledFrom(trackers).Draw(t, "other")
				for _, mark := range tracker.Marks(now) {
					other.Merge(now, mark)
				}
			}
		}
		now := start.Add(20 * time.Second)
		for range 4 {
			for _, from := range trackers {
				for _, to := range trackers {
					for _, mark := range from.Marks(now) {
						to.Merge(now, mark)
					}
				}
			}
		}
		for _, tracker := range trackers[1:] {
			if tracker.Digest() != trackers[0].Digest() {
				t.Fatalf("trackers disagree: %+v and %+v", trackers[0].Marks(now), tracker.Marks(now))
			}
		}
	})
}
