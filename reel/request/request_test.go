package request

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shallotreel.example/reel/coverage"
	"shallotreel.example/reel/document"
	"shallotreel.example/reel/result"
	"shallotreel.example/reel/target"
)

func TestSearchMergesAllShards(t *testing.T) {
	session := begin(t, plan(document.Coverage, document.Search), true)
	session.assertSent(t, First, First, First, First)
	for i, sub := range session.sent {
		session.answer(10+i, sub, result.OK)
	}
	session.assertOutcome(t, result.OK, result.RanYes, 1)
}

func TestUntriedRequestStartsWithOneShard(t *testing.T) {
	session := begin(t, plan(document.Coverage, document.Search), false)
	session.assertSent(t, Canary)
	session.answer(10, session.sent[0], result.OK)
	session.assertSent(t, Canary, First, First, First)
}

func TestTailReturnsPartialResultAndCoverageWaits(t *testing.T) {
	t.Run("tail", func(t *testing.T) {
		session := begin(t, plan(document.Tail, document.Search), true)
		session.router.budget = 0
		for _, sub := range session.sent[:3] {
			session.answer(10, sub, result.OK)
		}
		session.wake(150)
		session.assertOutcome(t, result.Partial, result.RanYes, 0.75)
	})
	t.Run("coverage", func(t *testing.T) {
		session := begin(t, plan(document.Coverage, document.Search), true)
		session.router.budget = 0
		for _, sub := range session.sent[:3] {
			session.answer(10, sub, result.OK)
		}
		session.wake(150)
		if session.outcome != nil {
			t.Fatal("the request finished before its deadline without full coverage")
		}
		session.answer(900, session.sent[3], result.OK)
		session.assertOutcome(t, result.OK, result.RanYes, 1)
	})
}

func TestHedgeUsesAnotherReplicaAndCancelsTheFirstAttempt(t *testing.T) {
	session := begin(t, plan(document.Coverage, document.Search), true)
	for _, sub := range session.sent[1:4] {
		session.answer(10, sub, result.OK)
	}
	session.wake(50)
	session.assertSent(t, First, First, First, First, Hedge)
	if session.sent[4].Target == session.sent[0].Target {
		t.Fatalf("the hedge was sent to the same target %s", session.sent[4].Target)
	}
	session.answer(60, session.sent[4], result.OK)
	session.assertOutcome(t, result.OK, result.RanYes, 1)
	if !slices.Equal(session.canceled, []target.Attempt{session.sent[0].Request.Attempt}) {
		t.Fatalf("canceled attempts %v, want the first attempt only", session.canceled)
	}
}

func TestNoHedgeWithoutBudget(t *testing.T) {
	session := begin(t, plan(document.Coverage, document.Search), true)
	session.router.budget = 0
	session.wake(60)
	session.assertSent(t, First, First, First, First)
}

func TestRetiredSnapshotRestartsRequest(t *testing.T) {
	session := begin(t, plan(document.Coverage, document.Search), true)
	session.answer(5, session.sent[0], result.OK)
	for replica := range 3 {
		session.router.unavailable[fmt.Sprintf("s/2/%d", replica+1)] = true
	}
	session.router.newer = pinOf(42, 4)
	session.answer(6, session.sent[1], result.SnapshotGone)
	if len(session.sent) != 8 {
		t.Fatalf("sent %d sub-requests, want 4 more on the newer snapshot", len(session.sent))
	}
	session.answer(7, session.sent[2], result.OK) // late answer for the old snapshot
	for _, sub := range session.sent[4:] {
		session.answer(20, sub, result.OK)
	}
	session.assertOutcome(t, result.OK, result.RanYes, 1)
	for _, hit := range session.outcome.Hits {
		if hit.ID[:2] != "42" {
			t.Fatalf("hit %s is not of snapshot 42", hit.ID)
		}
	}
}

func TestOverloadRejectionsReportNotRun(t *testing.T) {
	session := begin(t, plan(document.Coverage, document.Search), true)
	session.router.budget = 0
	answered := 0
	for millis := 1; millis <= 1000 && session.outcome == nil; millis++ {
		for ; answered < len(session.sent); answered++ {
			session.answer(millis, session.sent[answered], result.Overloaded)
		}
		session.wake(millis)
	}
	session.assertOutcome(t, result.Overloaded, result.RanNo, 0)
}

func TestRecordIsNotRetriedAfterUnknownOutcome(t *testing.T) {
	session := begin(t, plan(document.Tail, document.Record), true)
	session.assertSent(t, First)
	session.wake(60)
	session.assertSent(t, First)
	session.answer(70, session.sent[0], result.Broken)
	session.assertOutcome(t, result.Broken, result.RanUnknown, 0)
	session.assertSent(t, First)
}

func TestRecordIsRetriedWhenItDidNotRun(t *testing.T) {
	session := begin(t, plan(document.Tail, document.Record), true)
	session.answer(1, session.sent[0], result.ConnectRefused)
	session.wake(2)
	session.assertSent(t, First, Retry)
	session.answer(10, session.sent[1], result.OK)
	session.assertOutcome(t, result.OK, result.RanYes, 1)
}

func TestSuspectRequestGetsOneTrialOnAnotherTarget(t *testing.T) {
	session := begin(t, plan(document.Coverage, document.Search), false)
	first := session.sent[0]
	session.answer(5, first, result.Broken)
	session.assertSent(t, Canary)
	session.wake(300)
	session.assertSent(t, Canary, Trial)
	if trial := session.sent[1]; !trial.Alone || trial.Target == first.Target {
		t.Fatalf("trial %+v, want it alone and not on the crashed target %s", trial, first.Target)
	}
	session.wake(400)
	session.assertSent(t, Canary, Trial)
	session.answer(410, session.sent[1], result.Broken)
	session.assertOutcome(t, result.Quarantined, result.RanUnknown, 0)
}

func TestTrialIsSkippedWhenQuarantineMarkArrives(t *testing.T) {
	session := begin(t, plan(document.Coverage, document.Search), false)
	session.answer(5, session.sent[0], result.Broken)
	session.tracker.RecordCrash(at(6), 7, session.sent[0].Target)
	session.tracker.RecordCrash(at(100), 7, "s/4/2")
	session.wake(300)
	session.assertSent(t, Canary)
	session.assertOutcome(t, result.Quarantined, result.RanUnknown, 0)
}

func TestCancelCancelsAllAttempts(t *testing.T) {
	session := begin(t, plan(document.Coverage, document.Search), true)
	session.apply(session.machine.Cancel())
	if len(session.canceled) != 4 {
		t.Fatalf("canceled %d of 4 attempts", len(session.canceled))
	}
}

// TestRandomAnswers checks the invariants of a request under random answers, including late and duplicate ones and
// ones for another range or snapshot.
func TestRandomAnswers(t *testing.T) {
	codes := []result.Code{result.OK, result.OK, result.OK, result.Overloaded, result.Draining, result.Broken,
		result.SnapshotGone, result.ConnectRefused, result.HolderLost, result.Mismatch, result.Suspect, result.TooLate}
	rapid.Check(t, func(t *rapid.T) {
		rule := rapid.SampledFrom([]document.Rule{document.Tail, document.Coverage}).Draw(t, "rule")
		operation := rapid.SampledFrom([]document.Operation{document.Search, document.Fetch, document.Record}).Draw(t, "operation")
		session := begin(t, plan(rule, operation), rapid.Bool().Draw(t, "trusted"))
		session.router.budget = rapid.IntRange(0, 3).Draw(t, "budget")
		ran := map[target.Attempt]bool{} // attempts that a target may have run
		answers := map[target.Attempt]result.Code{}
		millis := 0
		for session.outcome == nil {
			millis += rapid.IntRange(0, 60).Draw(t, "pause")
			if len(session.sent) > 0 && millis < 1000 && rapid.Bool().Draw(t, "answers") {
				sub := rapid.SampledFrom(session.sent).Draw(t, "sub")
				code := rapid.SampledFrom(codes).Draw(t, "code")
				if first, answered := answers[sub.Request.Attempt]; answered {
					code = first // a holder never changes its answer to an attempt
				}
				answers[sub.Request.Attempt] = code
				if code.Ran() != result.RanNo {
					ran[sub.Request.Attempt] = true
				}
				if rapid.IntRange(0, 9).Draw(t, "other_range") == 0 {
					sub.Request.Range = coverage.Range{From: 1, To: 2}
				}
				session.answer(millis, sub, code)
				session.answer(millis, sub, code) // duplicate answer
			} else {
				session.wake(millis)
			}
			if millis > 1100 {
				t.Fatal("no outcome by the deadline")
			}
		}
		checkInvariants(t, session, operation, ran)
	})
}

func checkInvariants(t *rapid.T, session *session, operation document.Operation, ran map[target.Attempt]bool) {
	outcome := *session.outcome
	if len(session.sent) > 4*maxAttemptsPerShard*(maxRepins+1) {
		t.Fatalf("sent %d sub-requests, more than the limits of attempts and restarts allow", len(session.sent))
	}
	if operation == document.Record && len(ran) > 1 {
		t.Fatalf("%d attempts of a record may have run, want at most 1", len(ran))
	}
	if outcome.Ran == result.RanNo && len(ran) > 0 {
		t.Fatalf("the outcome states %q although an attempt may have run", outcome.Ran)
	}
	if operation != document.Search {
		return
	}
	seen := map[string]bool{}
	for _, hit := range outcome.Hits {
		if seen[hit.ID] {
			t.Fatalf("hit %s occurs twice in the outcome", hit.ID)
		}
		seen[hit.ID] = true
		if hit.ID[:2] != fmt.Sprint(outcome.Snapshot) {
			t.Fatalf("hit %s in an outcome of snapshot %d", hit.ID, outcome.Snapshot)
		}
	}
	if want := float64(len(seen)) / 4; outcome.Coverage.Fraction != want {
		t.Fatalf("the outcome states coverage %v with hits of %d shards", outcome.Coverage.Fraction, len(seen))
	}
}

func TestRepartitionRestartsRequestOnNewMap(t *testing.T) {
	session := begin(t, plan(document.Coverage, document.Search), true)
	session.answer(5, session.sent[0], result.OK)
	for replica := range 3 {
		session.router.unavailable[fmt.Sprintf("s/2/%d", replica+1)] = true
	}
	session.router.newer = pinOf(41, 5)
	session.router.newer.Map = 2
	session.answer(6, session.sent[1], result.RangeNotHeld)
	restarted := session.sent[4:]
	if len(restarted) != 5 {
		t.Fatalf("sent %d sub-requests on the new map, want 5", len(restarted))
	}
	session.answer(7, session.sent[2], result.OK) // late answer for the old map
	session.router.unavailable = map[string]bool{}
	for _, sub := range restarted[:4] {
		session.answer(20, sub, result.OK)
	}
	session.wake(995)
	session.assertOutcome(t, result.Partial, result.RanYes, float64(coverage.KeySpace-restarted[4].Request.Range.Len())/float64(coverage.KeySpace))
}

func TestCoverageRetriesAfterOverload(t *testing.T) {
	session := begin(t, plan(document.Coverage, document.Search), true)
	session.router.budget = 0
	for _, sub := range session.sent[:3] {
		session.answer(10, sub, result.OK)
	}
	session.answer(11, session.sent[3], result.Overloaded)
	if session.outcome != nil {
		t.Fatalf("the request finished early: %+v", session.outcome)
	}
	session.wake(100)
	session.assertSent(t, First, First, First, First, Retry)
	session.answer(200, session.sent[4], result.OK)
	session.assertOutcome(t, result.OK, result.RanYes, 1)
}

// TestCoverageRetriesWithinTheDeadline guards against a missing shard in the result when all replicas of a slow shard
// under full load reject an attempt. Their RetryAfter is meant for callers and is as long as the whole deadline, so the
// request must retry earlier.
func TestCoverageRetriesWithinTheDeadline(t *testing.T) {
	session := begin(t, plan(document.Coverage, document.Search), true)
	session.router.budget = 0
	for _, sub := range session.sent[:3] {
		session.answer(10, sub, result.OK)
	}
	for i := range 3 {
		session.reject(11, session.sent[3+i], time.Second)
	}
	session.assertSent(t, First, First, First, First, Retry, Retry)
	if session.outcome != nil {
		t.Fatalf("the request finished early: %+v", session.outcome)
	}
	session.wake(510)
	session.answer(550, session.sent[6], result.OK)
	session.assertOutcome(t, result.OK, result.RanYes, 1)
}

func BenchmarkRequest(b *testing.B) {
	for _, shards := range []int{10, 30, 140} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			benchmarkPlan := plan(document.Coverage, document.Search)
			benchmarkPlan.Pin = pinOf(41, shards)
			for b.Loop() {
				session := begin(b, benchmarkPlan, true)
				for _, sub := range session.sent {
					session.answer(10, sub, result.OK)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/sub")
		})
	}
}
