package quarantine

import (
	"testing"
	"time"
)

func assertNextTrial(t *testing.T, tracker *Tracker, now time.Time, want time.Duration) {
	t.Helper()
	if due, ok := tracker.NextTrial(now, 7); !ok || due.Sub(start) != want {
		t.Fatalf("the next trial is due %v after the start, %v, want %v", due.Sub(start), ok, want)
	}
}

// quarantined returns a tracker, and one of a peer, that have quarantined a fingerprint a moment after the start.
func quarantined(t *testing.T) (tracker, peer *Tracker) {
	t.Helper()
	tracker, peer = &Tracker{}, &Tracker{}
	tracker.RecordLoss(start, 7, loss("a", 1, 0))
	peer.Merge(start, tracker.RecordLoss(start, 7, loss("b", 2, 0)))
	assertVerdict(t, tracker, start.Add(settled), Quarantined)
	assertVerdict(t, peer, start.Add(settled), Quarantined)
	return tracker, peer
}

// TestTrialsAreSpacedAndFew checks that all instances know of each trial, and that refusals neither bring the next one nearer nor put it off.
func TestTrialsAreSpacedAndFew(t *testing.T) {
	tracker, peer := quarantined(t)
	at := time.Duration(0)
	for number, delay := range []time.Duration{5 * time.Second, 30 * time.Second, MarkLifetime, MarkLifetime} {
		at += delay
		for range 3 {
			now := start.Add(at - delay/2)
			tracker.RecordRefusal(now, 7)
			peer.RecordRefusal(now, 7)
			assertNextTrial(t, tracker, now, at)
			assertNextTrial(t, peer, now, at)
		}
		now, id := start.Add(at), uint64(100-number)
		mark, ok := tracker.RecordTrial(now, 7, id)
		if !ok || !peer.Merge(now, mark) {
			t.Fatalf("trial %d is not recorded", number)
		}
		mark, ok = tracker.RecordFailedTrial(now, 7, id)
		if !ok || !peer.Merge(now, mark) {
			t.Fatalf("the end of trial %d is not recorded", number)
		}
	}
}

// TestTrialsThatDidNotFail guards against trials that are used up although they showed nothing, such as one of a request to several shards of which
// some have no targets.
func TestTrialsThatDidNotFail(t *testing.T) {
	tracker, peer := quarantined(t)
	for trial := range 10 {
		at := time.Duration(trial+1) * 5 * time.Second
		assertNextTrial(t, tracker, start.Add(at), at)
		assertNextTrial(t, peer, start.Add(at), at)
		mark, _ := tracker.RecordTrial(start.Add(at), 7, uint64(trial+1))
		peer.Merge(start.Add(at), mark)
	}
}

// TestConcurrentTrials checks that of two trials at instances that do not know of each other none is forgotten.
func TestConcurrentTrials(t *testing.T) {
	tracker, peer := quarantined(t)
	now := start.Add(5 * time.Second)
	tracker.RecordTrial(now, 7, 1)
	peer.RecordTrial(now, 7, 2)
	own, _ := tracker.RecordFailedTrial(now, 7, 1)
	other, _ := peer.RecordFailedTrial(now, 7, 2)
	tracker.Merge(now, other)
	peer.Merge(now, own)
	assertNextTrial(t, tracker, now, 5*time.Second+MarkLifetime)
	assertNextTrial(t, peer, now, 5*time.Second+MarkLifetime)
	if tracker.Digest() != peer.Digest() {
		t.Error("the instances have different digests")
	}
}

// TestTrialThatEndsWell checks that a successful trial clears the mark everywhere, and that a later mark has all its trials.
func TestTrialThatEndsWell(t *testing.T) {
	tracker, peer := quarantined(t)
	now := start.Add(5 * time.Second)
	tracker.RecordTrial(now, 7, 1)
	tracker.RecordFailedTrial(now, 7, 1)
	mark, cleared := tracker.RecordServiceSuccess(now, 7, "desk")
	if !cleared || !peer.Merge(now, mark) {
		t.Fatal("the success does not clear the mark")
	}
	assertVerdict(t, tracker, now, Clear)
	assertVerdict(t, peer, now, Untried)
	for wave := range uint64(3) {
		mark = peer.RecordLoss(now, 7, loss(string(rune('c'+wave)), 3+wave, 5*time.Second))
	}
	tracker.Merge(now, mark)
	now = now.Add(completeSettleTime)
	assertNextTrial(t, tracker, now, 10*time.Second)
	assertNextTrial(t, peer, now, 10*time.Second)
}
